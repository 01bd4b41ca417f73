"""Tests that run scenario files."""
