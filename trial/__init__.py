"""Runs the whole query tier on this machine, beside stand-ins, for a trial."""
