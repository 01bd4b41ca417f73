"""Measurements behind docs/MEASUREMENTS.md and docs/CAPACITY.md."""
