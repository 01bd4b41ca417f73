"""Runs the query tier on this machine, with stand-ins for other systems."""
