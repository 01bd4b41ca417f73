"""Parsed commands of operators."""

import dataclasses
from pathlib import Path

from oriolestage.core import Change


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """One condition of a ``where`` clause: a column equals a text."""

    field: str
    expected: str


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """Show the entries of a subject that meet all conditions."""

    #: A subject of the grammar, such as ``targets``.
    subject: str
    conditions: tuple[Condition, ...] = ()
    #: Number of entries to show from the end, or 0 for all.
    last: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MakeChange:
    """Change the configuration and wait until the change is in force."""

    change: Change


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait until a revision is in force on all hosts."""

    #: The revision, or 0 for the one in force at the daemon that answers.
    revision: int = 0
    wait_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """Show the changes after revision ``older``, up to ``newer``."""

    older: int
    newer: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckFile:
    """Validate a configuration document without applying it."""

    path: Path


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyFile:
    """Replace the whole configuration by the document in a file."""

    path: Path


@dataclasses.dataclass(frozen=True, slots=True)
class Help:
    """Show the commands of the language."""


Command = Show | MakeChange | Watch | Compare | CheckFile | ApplyFile | Help
