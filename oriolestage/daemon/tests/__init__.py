"""Tests beside the code they test."""
