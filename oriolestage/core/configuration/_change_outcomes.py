"""Commands of operators and their outcomes."""

import dataclasses

import msgspec

from oriolestage.core.configuration._changes import Change


class ChangeAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The change is in the history and will reach every host."""

    revision: int


class ChangeRefused(msgspec.Struct, frozen=True, tag='refused'):
    """The change was not made."""

    why: str


class ChangeConflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another change took the revision first; nothing was changed."""

    revision: int
    operator: str
    after: str


class ChangeUnknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The write was sent, and it is unknown whether it took effect."""

    command_id: str
    why: str


ChangeOutcome = ChangeAccepted | ChangeRefused | ChangeConflict | ChangeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorCommand:
    """A change requested by an operator."""

    change: Change
    operator: str
    #: Chosen by the tool. A command that took effect is not applied again; if
    #: its id is a UUID of version 7, its whole history is searched.
    command_id: str
    #: Wall-clock time in milliseconds since the epoch.
    at_ms: int
