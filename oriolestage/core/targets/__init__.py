"""Targets: ownership, admission control, life cycle and selection."""
