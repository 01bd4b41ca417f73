"""The parts of one request: a service each, with its attempts."""

import dataclasses

from oriolestage.relay._answers import GiveUpReason, TargetAnswer
from oriolestage.relay._run_types import PartRequest
from oriolestage.relay._targets import KnownTarget

#: Shortest time to come back that is told to a caller, in seconds.
MIN_RETRY_AFTER_S = 0.25
#: Refused attempts of one part after which it is given up.
MAX_SHED_ATTEMPTS = 4


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a part that is on its way."""

    sent_at: float
    #: Delay of the way there and back, in seconds.
    round_trip_s: float
    #: The target; None if another host chooses it.
    target: KnownTarget | None
    #: The batch in which another host got it; 0 if it went directly.
    batch: int = 0
    #: True once another host told that it is late.
    late: bool = False
    #: True once a second attempt was thought of.
    hedge_considered: bool = False


@dataclasses.dataclass(slots=True)
class Part:
    """One service that the request needs."""

    #: Position among the parts of the request.
    position: int
    request: PartRequest
    answer: TargetAnswer | None = None
    #: An answer of a target that is no success.
    failure: TargetAnswer | None = None
    in_flight: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    #: Targets that got an attempt.
    tried: set[str] = dataclasses.field(default_factory=set)
    #: Attempts that reached a target or may have.
    delivered_count: int = 0
    #: Attempts that are over and may have run.
    may_have_run: int = 0
    shed_count: int = 0
    #: Steady time at which a part without room is placed again.
    next_placement_at: float = float('inf')
    #: Steady time since which no target has room for its first attempt.
    no_capacity_since: float = float('inf')
    given_up: bool = False
    reason: GiveUpReason = GiveUpReason.LATE
    #: Attempts as ``place+milliseconds`` from the start, for the log.
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    #: Time after which a target may have room, in seconds.
    retry_after_s: float = MIN_RETRY_AFTER_S

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.request.requirements.service

    @property
    def finished(self) -> bool:
        """Tell whether nothing more can come of the part."""
        return self.answer is not None or (self.given_up and not self.in_flight)

    def give_up(self, reason: GiveUpReason) -> None:
        """Make no further attempt."""
        self.given_up = True
        self.reason = reason
