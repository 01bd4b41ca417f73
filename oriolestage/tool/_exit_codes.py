"""Exit codes of the operator tool."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended."""

    DONE = 0
    #: The command could not be read.
    USAGE = 2
    #: The change was refused; nothing was changed.
    REFUSED = 3
    #: Another operator's change came first; nothing was changed.
    CONFLICT = 4
    #: The write was sent and its effect is not known.
    UNKNOWN = 5
    #: Accepted, and not yet in force on every host.
    NOT_IN_FORCE = 6
    #: No daemon answered.
    UNREACHABLE = 7
