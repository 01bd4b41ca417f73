"""The life of one request: which attempts are made and when it ends.

A request has one part for each service that it needs: one for a single
service, one for each shard of a group. The run is told of outcomes and of
the time, and gives actions. It does no input or output and reads no clock.

Load patterns answered: targets that pause or slow down while a query waits
for all shards (hedges, then an answer with the shards that are in just
before the objective), targets that shed or fail (another target, under the
shared budget), and services without a target (an early end).
"""

import dataclasses
from collections.abc import Callable

from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    NotRunReason,
    Refused,
    TargetAnswer,
    Verdict,
)
from oriolestage.relay._extra_budget import ExtraBudget
from oriolestage.relay._merge import merge_records
from oriolestage.relay._placement import (
    Chosen,
    NoRoom,
    NoTarget,
    Placement,
    Wanted,
)
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._targets import KnownTarget

#: A hedge is sent after this many times the expected delay ...
HEDGE_FACTOR = 2.0
#: ... and this time more, in seconds.
HEDGE_MARGIN_S = 0.012
#: Time between the end of a run and the caller's receipt, in seconds: the
#: way to the caller, its connection's set-up and the work on the answer.
DELIVERY_MARGIN_S = 0.018
#: Time kept back from the caller's deadline for the final answer, seconds.
DEADLINE_MARGIN_S = 0.02
#: Time between two tries to place a part that has no room, in seconds.
PLACE_AGAIN_S = 0.01
#: Shed answers of one part after which it is given up.
SHED_LIMIT = 4
#: Shortest time to come back that is told to a caller, in seconds.
RETRY_AFTER_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a target."""

    attempt: int
    service: str
    target: KnownTarget
    #: Steady time at which the target may stop.
    deadline: float
    hedge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt whose answer is of no more use."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the request."""

    verdict: Verdict


Action = SendAttempt | CancelAttempt | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimes:
    """When a request came and when it has to be over, in steady time."""

    started: float
    #: Time within which an answer has its full use.
    objective: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartRequest:
    """One service that a request needs."""

    wanted: Wanted
    budget: ExtraBudget


@dataclasses.dataclass(slots=True)
class _Attempt:
    target: KnownTarget
    sent_at: float
    hedge_at: float


@dataclasses.dataclass(slots=True)
class _Part:
    request: PartRequest
    answer: TargetAnswer | None = None
    #: An answer of a target that is no success.
    failure: TargetAnswer | None = None
    live: dict[int, _Attempt] = dataclasses.field(default_factory=dict)
    #: Targets that got an attempt.
    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: int = 0
    sheds: int = 0
    place_at: float = float('inf')
    given_up: bool = False
    reason: GiveUpReason = GiveUpReason.NO_TARGET
    #: Earliest time at which a target may have room, seconds from then.
    room_after_s: float = RETRY_AFTER_S

    @property
    def over(self) -> bool:
        """Tell whether nothing more can come of the part."""
        return self.answer is not None or (self.given_up and not self.live)


class RequestRun:
    """Decides on the attempts of one request until it is over."""

    def __init__(
        self,
        rule: RouteRule,
        parts: tuple[PartRequest, ...],
        times: RunTimes,
        placement: Placement,
        next_attempt: Callable[[], int],
    ) -> None:
        """Prepare the run; nothing is sent before ``start``."""
        self._rule = rule
        self._times = times
        self._placement = placement
        self._next_attempt = next_attempt
        self._parts = tuple(_Part(part) for part in parts)
        self._of_attempt: dict[int, _Part] = {}
        self._gathers = isinstance(rule.destination, ShardGroup)
        self._finished = False

    @property
    def finished(self) -> bool:
        """Tell whether the verdict was given."""
        return self._finished

    @property
    def sends(self) -> int:
        """Attempts made so far."""
        return sum(part.sends for part in self._parts)

    @property
    def wake_at(self) -> float:
        """Steady time at which ``on_time`` is due."""
        wake_at = min(self._times.deadline, self._cut_off_at())
        for part in self._parts:
            wake_at = min(wake_at, part.place_at)
            if part.answer is not None:
                continue
            for attempt in part.live.values():
                wake_at = min(wake_at, attempt.hedge_at)
        return wake_at

    def start(self, now: float) -> list[Action]:
        """Send the first attempts, or refuse what cannot be served."""
        actions: list[Action] = []
        for part in self._parts:
            part.request.budget.note_needed(now)
        for part in self._parts:
            actions.extend(self._place(part, now))
        if self._hopeless():
            self._forget(now)
            return self._end(now)
        return actions + self._check_end(now)

    def on_outcome(
        self,
        attempt: int,
        outcome: AttemptOutcome,
        now: float,
    ) -> list[Action]:
        """Take in what became of an attempt."""
        part = self._of_attempt.pop(attempt, None)
        if part is None or self._finished:
            return []
        sent = part.live.pop(attempt)
        load = self._placement.load_of(sent.target)
        match outcome:
            case AttemptAnswered(answer=answer):
                failed = answer.status >= 500
                load.note_answer(attempt, now, failed=failed)
                return self._on_answer(part, answer, now)
            case AttemptNotRun(reason=reason):
                return self._on_not_run(part, sent, attempt, reason, now)
            case AttemptLost():
                load.note_lost(attempt, now)
                part.may_have_run += 1
                part.reason = GiveUpReason.LOST
                return self._repeat(part, now) + self._check_end(now)

    def on_time(self, now: float) -> list[Action]:
        """Do what is due by now."""
        if self._finished:
            return []
        actions: list[Action] = []
        for part in self._parts:
            if part.place_at <= now:
                part.place_at = float('inf')
                actions.extend(self._place(part, now))
            actions.extend(self._hedge(part, now))
        return actions + self._check_end(now)

    def cancel(self, now: float) -> None:
        """End the run because the caller left."""
        self._forget(now)
        self._finished = True

    def _on_answer(
        self,
        part: _Part,
        answer: TargetAnswer,
        now: float,
    ) -> list[Action]:
        if answer.success or (answer.status < 500 and not self._gathers):
            part.answer = answer
            return self._drop_live(part, now) + self._check_end(now)
        part.may_have_run += 1
        part.failure = answer
        part.reason = GiveUpReason.LOST
        return self._repeat(part, now) + self._check_end(now)

    def _on_not_run(
        self,
        part: _Part,
        sent: _Attempt,
        attempt: int,
        reason: NotRunReason,
        now: float,
    ) -> list[Action]:
        load = self._placement.load_of(sent.target)
        match reason:
            case NotRunReason.SHED:
                load.note_answer(attempt, now, failed=True)
                part.sheds += 1
                part.reason = GiveUpReason.SHED
            case NotRunReason.OTHER_TARGET:
                load.note_not_reached(attempt, now)
                sent.target.replaced = True
            case NotRunReason.NOT_REACHED:
                load.note_not_reached(attempt, now)
        if part.sheds >= SHED_LIMIT:
            part.given_up = True
            return self._check_end(now)
        return self._repeat(part, now, not_run=True) + self._check_end(now)

    def _repeat(
        self,
        part: _Part,
        now: float,
        *,
        not_run: bool = False,
    ) -> list[Action]:
        """Try another target after a failed attempt, if it may be done."""
        if part.live or part.answer is not None:
            return []
        if not (self._rule.repeatable or not_run):
            part.given_up = True
            return []
        if part.may_have_run >= self._rule.attempts_limit:
            part.given_up = True
            return []
        return self._place(part, now)

    def _place(self, part: _Part, now: float) -> list[Action]:
        """Send an attempt of a part that has none on its way."""
        if part.live or part.over:
            return []
        placed = self._choose(part, now)
        match placed:
            case Chosen():
                hosts = len(self._placement.hosts)
                first = part.sends == 0
                if not first and not part.request.budget.take(hosts, now):
                    part.given_up = True
                    return []
                return [self._send(part, placed, now, hedge=False)]
            case NoRoom(wait_s=wait_s):
                part.room_after_s = max(RETRY_AFTER_S, wait_s)
                part.reason = GiveUpReason.NO_ROOM
                if now + wait_s >= self._times.deadline:
                    part.given_up = True
                    return []
                part.place_at = now + max(PLACE_AGAIN_S, wait_s)
            case NoTarget():
                part.given_up = True
        return []

    def _choose(self, part: _Part, now: float) -> Chosen | NoRoom | NoTarget:
        """Choose a target not tried yet, else any."""
        placed = self._placement.choose(part.request.wanted, part.tried, now)
        if part.tried and not isinstance(placed, Chosen):
            return self._placement.choose(part.request.wanted, (), now)
        return placed

    def _hedge(self, part: _Part, now: float) -> list[Action]:
        """Send a second attempt when the first one takes too long."""
        if part.answer is not None or len(part.live) != 1:
            return []
        attempt = next(iter(part.live.values()))
        if attempt.hedge_at > now:
            return []
        attempt.hedge_at = float('inf')
        limit = self._rule.attempts_limit
        if part.may_have_run + len(part.live) >= limit:
            return []
        placed = self._placement.choose(part.request.wanted, part.tried, now)
        if not isinstance(placed, Chosen):
            return []
        if now + placed.expected_s >= self._times.deadline:
            return []
        if not part.request.budget.take(len(self._placement.hosts), now):
            return []
        return [self._send(part, placed, now, hedge=True)]

    def _send(
        self,
        part: _Part,
        placed: Chosen,
        now: float,
        *,
        hedge: bool,
    ) -> SendAttempt:
        attempt = self._next_attempt()
        hedge_at = float('inf')
        if self._rule.repeatable:
            hedge_at = self._hedge_at(placed.expected_s, now)
        part.live[attempt] = _Attempt(placed.target, now, hedge_at)
        part.tried.add(placed.target.record.identity)
        part.sends += 1
        self._of_attempt[attempt] = part
        self._placement.note_sent(placed.target, attempt, now)
        return SendAttempt(
            attempt=attempt,
            service=part.request.wanted.service,
            target=placed.target,
            deadline=self._times.deadline,
            hedge=hedge,
        )

    def _hedge_at(self, expected_s: float, now: float) -> float:
        return now + expected_s * HEDGE_FACTOR + HEDGE_MARGIN_S

    def _cut_off_at(self) -> float:
        """Time at which an answer with enough shards is given."""
        if not self._gathers:
            return float('inf')
        return self._times.objective - DELIVERY_MARGIN_S

    def _answered(self) -> int:
        return sum(1 for part in self._parts if part.answer is not None)

    def _needed(self) -> int:
        """Smallest number of parts that makes an answer."""
        match self._rule.destination:
            case ShardGroup(least_coverage=least):
                total = len(self._parts)
                for count in range(1, total + 1):
                    if count / total >= least:
                        return count
                return total
            case _:
                return 1

    def _hopeless(self) -> bool:
        """Tell whether too few parts can still be answered."""
        possible = sum(
            1
            for part in self._parts
            if part.answer is not None or not part.over
        )
        return possible < self._needed()

    def _check_end(self, now: float) -> list[Action]:
        """End the request if it is whole, late, or cannot become better."""
        if self._finished:
            return []
        if all(part.over for part in self._parts):
            return self._end(now)
        if now >= self._times.deadline or self._hopeless():
            return self._end(now)
        if now >= self._cut_off_at() and self._answered() >= self._needed():
            return self._end(now)
        return []

    def _end(self, now: float) -> list[Action]:
        verdict = self._verdict(now)
        self._finished = True
        actions: list[Action] = [Finish(verdict)]
        for part in self._parts:
            actions.extend(self._drop_live(part, now))
        return actions

    def _verdict(self, now: float) -> Verdict:
        answers = [
            part.answer for part in self._parts if part.answer is not None
        ]
        match self._rule.destination:
            case ShardGroup(top_records=top_records):
                if len(answers) >= self._needed():
                    return Gathered(
                        body=merge_records(
                            (answer.body for answer in answers),
                            top_records,
                        ),
                        signatures=tuple(
                            answer.signature for answer in answers
                        ),
                        missing=len(self._parts) - len(answers),
                    )
            case _:
                for answer in answers:
                    return Delivered(answer)
                for part in self._parts:
                    if part.failure is not None:
                        return Delivered(part.failure)
        return self._without_answer(now)

    def _without_answer(self, now: float) -> Verdict:
        sent = any(
            part.may_have_run or part.live or part.answer is not None
            for part in self._parts
        )
        lacking = [part for part in self._parts if part.answer is None]
        reason = lacking[0].reason
        if now >= self._times.deadline:
            reason = GiveUpReason.DEADLINE
        if sent:
            return Failed(reason)
        return Refused(
            reason,
            max(part.room_after_s for part in lacking),
        )

    def _drop_live(self, part: _Part, now: float) -> list[Action]:
        actions: list[Action] = []
        for attempt, sent in part.live.items():
            self._placement.load_of(sent.target).note_abandoned(attempt, now)
            self._of_attempt.pop(attempt, None)
            actions.append(CancelAttempt(attempt))
        part.live = {}
        return actions

    def _forget(self, now: float) -> None:
        for part in self._parts:
            self._drop_live(part, now)

    def summary(self) -> dict[str, object]:
        """Give what was done, for the log."""
        return {
            'parts': len(self._parts),
            'answered': self._answered(),
            'sends': self.sends,
            'lacking': ','.join(
                f'{part.request.wanted.service}:{part.reason.value}'
                for part in self._parts
                if part.answer is None
            ),
        }
