"""What calls to targets come back with, as tagged data."""

import dataclasses

from oriolestage.core.queries._outcomes import KeyRange


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a response tells of the target itself."""

    #: Identifies the target's process; empty when the target did not say.
    process: str = ''
    #: True when the target says that it is leaving.
    leaving: bool = False
    #: True when the target says that it is cold.
    cold: bool = False
    #: Index versions it can serve; empty when the target did not say.
    versions: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The target answered."""

    target_status: TargetStatus
    version: int
    covered: KeyRange
    partition_revision: int
    rows: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRefused:
    """The target said that it did not start the work."""

    target_status: TargetStatus
    #: The target's own word, such as ``shed`` or ``version``.
    why: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotReached:
    """No connection could be made; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetConnectionLost:
    """The connection ended after the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetTimedOut:
    """No answer came within the time given."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailed:
    """The target answered with an error or with something malformed."""

    detail: str


TargetResult = (
    TargetAnswered
    | TargetRefused
    | TargetNotReached
    | TargetConnectionLost
    | TargetTimedOut
    | TargetFailed
)
