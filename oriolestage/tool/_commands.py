"""Commands of operators as typed data."""

import dataclasses
from pathlib import Path

from oriolestage.core import Change


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """One part of a filter."""

    field: str
    expected: str


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """Shows what is happening."""

    subject: str
    conditions: tuple[Condition, ...] = ()
    #: Number of newest entries, or 0 for all.
    last: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MakeChange:
    """Changes the configuration and waits until it is in force."""

    change: Change


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Waits until a revision is in force everywhere."""

    #: The revision, or 0 for the one in force at the daemon asked.
    revision: int = 0
    wait_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """Shows what changed between two revisions."""

    older: int
    newer: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckFile:
    """Checks a document without applying it."""

    path: Path


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyFile:
    """Replaces the whole document by that of a file."""

    path: Path


@dataclasses.dataclass(frozen=True, slots=True)
class Help:
    """Explains the language."""


Command = Show | MakeChange | Watch | Compare | CheckFile | ApplyFile | Help
