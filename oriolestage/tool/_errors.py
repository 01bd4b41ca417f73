"""Errors of the operator tool."""


class CommandSyntaxError(Exception):
    """A command cannot be read; the text shows the place and what fits."""


class DaemonUnreachableError(Exception):
    """No daemon answered."""
