"""The entry host: serves callers, calls targets, follows the store."""
