"""Errors of the operator tool."""


class CommandSyntaxError(Exception):
    """A command is malformed; the message says where and what may follow."""


class DaemonUnreachableError(Exception):
    """No daemon could be reached, or the one reached did not respond."""
