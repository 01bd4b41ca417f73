"""Tests of the operator tool."""
