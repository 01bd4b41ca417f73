"""Execution of caller requests on an entry host: queries and commands."""
