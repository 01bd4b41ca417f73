"""State of the parts of one request and of their attempts.

A part is the share of a request that one service answers: the whole request
for a route to a single service, one shard for a shard group.
"""

import dataclasses
import enum
from collections.abc import Iterable

from oriolestage.routing._answers import GiveUpReason, TargetAnswer
from oriolestage.routing._placement_types import Shortage, ShortageCause
from oriolestage.routing._run_types import PartRequest
from oriolestage.routing._targets import KnownTarget

#: Minimum retry-after time that a caller is given, in seconds.
MIN_RETRY_AFTER_S = 0.25
#: Number of attempts shed by targets after which a part is given up.
MAX_SHED_ATTEMPTS = 4


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a part in flight."""

    #: Monotonic time at which it was sent.
    sent_at: float
    #: Network round-trip time in seconds; for a batch it includes the
    #: processing time of the other host.
    round_trip_s: float
    #: The target; None if another host chooses it.
    target: KnownTarget | None
    #: Number of the batch that contains it; 0 if it was sent directly.
    batch: int = 0
    #: Name of the host that sends it to a single service; empty if none.
    relay: str = ''
    #: True once another host has reported the shard as late.
    late: bool = False
    #: True once the attempt was considered for a hedge, sent or not.
    hedge_considered: bool = False

    @property
    def idle_answer_at(self) -> float:
        """Monotonic time at which an answer without any work arrives."""
        return self.sent_at + self.round_trip_s


class PartState(enum.Enum):
    """Whether a part has its answer or can still get one."""

    OPEN = 'open'
    ANSWERED = 'answered'
    #: Nothing is in flight and no further attempt is made.
    FAILED = 'failed'


class PartTally:
    """Number of the parts of one request in each state."""

    def __init__(self, parts: int) -> None:
        """Start with all parts open."""
        self._counts = {state: 0 for state in PartState}
        self._counts[PartState.OPEN] = parts

    def count(self, state: PartState) -> int:
        """Return the number of parts in a state."""
        return self._counts[state]

    def move(self, before: PartState, after: PartState) -> None:
        """Count one part in another state."""
        self._counts[before] -= 1
        self._counts[after] += 1


@dataclasses.dataclass(slots=True)
class Part:
    """One service that the request needs, with its attempts so far.

    Its answer and its attempts are changed by methods only, which keep the
    tally up to date.
    """

    #: Index among the parts of the request.
    position: int
    request: PartRequest
    tally: PartTally
    state: PartState = PartState.OPEN
    #: The answer that counts for the result.
    answer: TargetAnswer | None = None
    #: The latest unsuccessful answer of a target.
    failure: TargetAnswer | None = None
    #: Attempts in flight by number.
    in_flight: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    #: Identities of the targets that may have received an attempt.
    tried: set[str] = dataclasses.field(default_factory=set)
    #: Number of attempts that reached a target or may have reached one.
    delivered_count: int = 0
    #: Number of ended attempts that ran or may have run.
    may_have_run: int = 0
    #: Number of attempts that targets shed.
    shed_count: int = 0
    #: Number of attempts sent through other hosts because this host does not
    #: reach the target.
    relay_count: int = 0
    #: Monotonic time at which a part without a free target is placed again.
    next_placement_at: float = float('inf')
    #: Monotonic time since which no target is free for its first attempt.
    no_capacity_since: float = float('inf')
    #: True if no further attempt is made.
    given_up: bool = False
    #: Why the part has no answer yet.
    reason: GiveUpReason = GiveUpReason.LATE
    #: One entry per attempt, for the log: the data centre, or the region for
    #: a batch, then ``+`` and the milliseconds since the request arrived.
    trace: list[str] = dataclasses.field(default_factory=list)
    #: Why no target had capacity when it was placed last; None if one had.
    shortage: Shortage | None = None
    #: Time after which a target may be free, in seconds.
    retry_after_s: float = MIN_RETRY_AFTER_S
    #: Draw that decides whether its first attempt goes to a version on trial;
    #: None before it is drawn.
    draw: float | None = None

    @property
    def attempted(self) -> bool:
        """Whether an attempt was made, whatever became of it."""
        return bool(self.trace)

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.request.requirements.service

    @property
    def finished(self) -> bool:
        """Whether the part is answered or can get no answer."""
        return self.state != PartState.OPEN

    @property
    def only_attempt(self) -> Attempt | None:
        """The attempt in flight if there is exactly one."""
        if len(self.in_flight) != 1:
            return None
        return next(iter(self.in_flight.values()))

    def record_answer(self, answer: TargetAnswer) -> None:
        """Set the answer that counts for the result."""
        self.answer = answer
        self._update_state()

    def give_up(self, reason: GiveUpReason | None = None) -> None:
        """Make no further attempt, for ``reason`` or the one known so far."""
        self.given_up = True
        self.reason = reason or self.reason
        self._update_state()

    def add_attempt(self, number: int, attempt: Attempt) -> None:
        """Add an attempt in flight."""
        self.in_flight[number] = attempt
        self._update_state()

    def remove_attempt(self, number: int) -> Attempt:
        """Remove and return an attempt that is no longer in flight."""
        attempt = self.in_flight.pop(number)
        self._update_state()
        return attempt

    def _update_state(self) -> None:
        state = PartState.OPEN
        if self.answer is not None:
            state = PartState.ANSWERED
        elif self.given_up and not self.in_flight:
            state = PartState.FAILED
        if state != self.state:
            self.tally.move(self.state, state)
            self.state = state


def describe_shortages(parts: Iterable[Part]) -> str:
    """Return why unanswered parts found no capacity, for the log.

    The text has ``CAUSE:PARTS:AGE`` for each cause, separated by commas; the
    age is that of the newest of the facts, in seconds.
    """
    ages: dict[ShortageCause, list[float]] = {}
    for part in parts:
        if part.answer is None and part.shortage is not None:
            shortage = part.shortage
            ages.setdefault(shortage.cause, []).append(shortage.age_s)
    return ','.join(
        f'{cause.value}:{len(known)}:{min(known):.2f}'
        for cause, known in ages.items()
    )
