"""Whose request it is, and whether and in which order it may run."""
