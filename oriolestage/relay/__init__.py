"""Decisions on callers' requests and the targets that serve them."""
