"""Errors of the operator tool."""


class CommandSyntaxError(Exception):
    """A command is malformed; the message says where and what may follow."""


class DaemonUnreachableError(Exception):
    """No daemon could be reached, or the one reached did not respond."""


class AnswerLostError(DaemonUnreachableError):
    """A daemon got the request, and its answer was lost or unreadable."""
