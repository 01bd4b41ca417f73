"""Results of calls to targets, as a union of data classes."""

import dataclasses

from oriolestage.core.queries._outcomes import KeyRange


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a response reports about the target itself."""

    #: Identifier of the target's process, which changes with each restart;
    #: empty if not reported.
    process: str = ''
    #: True if the target reports that it is leaving.
    leaving: bool = False
    #: True if the target reports that it is cold.
    cold: bool = False
    #: Index versions that it can serve; empty if not reported.
    versions: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The target ran the request and answered with rows."""

    target_status: TargetStatus
    version: int
    covered: KeyRange
    partition_revision: int
    rows: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRefused:
    """The target refused the request without starting it."""

    target_status: TargetStatus
    #: The reason as the target gave it, such as ``shed`` or ``version``.
    why: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotReached:
    """The connection could not be established; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetConnectionLost:
    """The connection was lost after the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetTimedOut:
    """No answer arrived in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailed:
    """The target answered with an error or a malformed response."""

    detail: str


TargetResult = (
    TargetAnswered
    | TargetRefused
    | TargetNotReached
    | TargetConnectionLost
    | TargetTimedOut
    | TargetFailed
)
