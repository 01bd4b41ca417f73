"""Outcomes of attempts at targets and results of whole requests."""

import dataclasses
import enum
from http import HTTPStatus

#: Lowest HTTP status that counts as a failure of the target.
FIRST_SERVER_ERROR = 500


class NotRunReason(enum.Enum):
    """Why a target certainly did not run an attempt."""

    #: The target refused it without running it.
    SHED = 'shed'
    #: Another target answered at the target's address.
    OTHER_TARGET = 'other_target'
    #: No connection to the target could be made.
    NOT_REACHED = 'not_reached'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A complete HTTP answer of a target."""

    status: int
    #: End-to-end headers, in order.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Signature that tells a caller which target answered; empty if none.
    signature: str

    @property
    def success(self) -> bool:
        """Whether the status is a success (2xx)."""
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
    """The attempt may have run, but there is no valid answer."""

    #: Step at which it was lost, with the cause, as in ``target.deadline``.
    step: str
    #: True if the connection broke, as it does when the target crashes.
    broken: bool = False
    #: True if a complete response was received that is no valid answer.
    responded: bool = False


AttemptOutcome = AttemptAnswered | AttemptNotRun | AttemptLost


class GiveUpReason(enum.Enum):
    """Why a request ends without an answer of a target."""

    NO_CONFIGURATION = 'no_configuration'
    UNKNOWN_ROUTE = 'unknown_route'
    #: The request has no key of an account, and its route needs one.
    UNKNOWN_KEY = 'unknown_key'
    #: The regions of its route and those of its account have none in common.
    NO_REGION = 'no_region'
    #: Its account has used up its quota.
    OVER_QUOTA = 'over_quota'
    #: The service has no usable target.
    NO_TARGET = 'no_target'
    #: No target has a free slot.
    NO_ROOM = 'no_room'
    #: The retry budget is exhausted.
    NO_BUDGET = 'no_budget'
    #: Targets shed the attempts.
    SHED = 'shed'
    #: Attempts failed or were lost after they may have run.
    LOST = 'lost'
    #: No answer has arrived yet.
    LATE = 'late'
    #: The deadline of the request has passed.
    DEADLINE = 'deadline'
    OVERLOADED = 'overloaded'
    STOPPING = 'stopping'
    #: The request is in quarantine because it crashed targets.
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """One target's answer, passed on to the caller unchanged."""

    answer: TargetAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """The merged answer of the shards of a group, possibly partial."""

    #: The greatest records of all answered shards, in descending order.
    body: bytes
    #: Signatures of the shard answers that were merged.
    signatures: tuple[str, ...]
    #: Number of shards without an answer.
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No target has run the request or will run it; it is safe to retry."""

    reason: GiveUpReason
    #: Time after which a retry may succeed, in seconds.
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run, but there is no answer."""

    reason: GiveUpReason


RequestResult = Delivered | Gathered | Refused | Failed
