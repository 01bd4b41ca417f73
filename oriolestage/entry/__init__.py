"""The entry host: serves callers, calls targets and follows the store."""
