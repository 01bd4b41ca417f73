"""A shared query tier between callers and many sharded targets."""
