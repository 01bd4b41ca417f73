"""What became of an attempt at a target, and of a whole request."""

import dataclasses
import enum
from http import HTTPStatus


class NotRunReason(enum.Enum):
    """Why a target certainly did not run an attempt."""

    SHED = 'shed'
    OTHER_TARGET = 'other_target'
    NOT_REACHED = 'not_reached'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A whole answer of a target."""

    status: int
    #: End-to-end headers, in order.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Signature by which a caller tells who answered; empty if none.
    signature: str

    @property
    def success(self) -> bool:
        """Tell whether the target did what was asked."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The target ran the attempt and answered, with success or not."""

    answer: TargetAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptNotRun:
    """The target did not run the attempt and never will."""

    reason: NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLost:
    """The attempt may have run; there is no whole answer."""

    #: Step at which it was lost, with the error.
    step: str
    #: True if the connection broke, as it does when the target crashes.
    broken: bool = False


AttemptOutcome = AttemptAnswered | AttemptNotRun | AttemptLost


class GiveUpReason(enum.Enum):
    """Why a request ends without an answer of a target."""

    NO_CONFIGURATION = 'no_configuration'
    UNKNOWN_ROUTE = 'unknown_route'
    NO_TARGET = 'no_target'
    NO_ROOM = 'no_room'
    NO_BUDGET = 'no_budget'
    SHED = 'shed'
    LOST = 'lost'
    LATE = 'late'
    DEADLINE = 'deadline'
    OVERLOADED = 'overloaded'
    STOPPING = 'stopping'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """One target's answer, to be passed on unchanged."""

    answer: TargetAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """The merged answer of several shards."""

    body: bytes
    #: Signatures of the shard answers that were merged.
    signatures: tuple[str, ...]
    #: Number of shards that are left out.
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing has run and nothing will."""

    reason: GiveUpReason
    #: Earliest useful time to ask again, in seconds from now.
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run; no answer can be given."""

    reason: GiveUpReason


RequestResult = Delivered | Gathered | Refused | Failed
