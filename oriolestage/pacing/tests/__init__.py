"""Tests of the pacing package."""
