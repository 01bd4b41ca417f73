"""Idempotency keys and their journal."""
