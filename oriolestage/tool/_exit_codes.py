"""Exit codes of the operator tool."""

import enum


class ExitCode(enum.IntEnum):
    """Outcome of a command; of several commands, the highest is returned."""

    #: The command succeeded.
    DONE = 0
    #: The command is malformed, or the file of commands cannot be read.
    USAGE = 2
    #: The command was refused; nothing was changed.
    REFUSED = 3
    #: Another operator's change was written first; nothing was changed.
    CONFLICT = 4
    #: The write was sent, but it is unknown whether it took effect.
    UNKNOWN = 5
    #: The revision was not in force on every host in time.
    NOT_IN_FORCE = 6
    #: No daemon responded.
    UNREACHABLE = 7
