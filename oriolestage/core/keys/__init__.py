"""Idempotency keys, the hosts that own them, and their journal in the store."""
