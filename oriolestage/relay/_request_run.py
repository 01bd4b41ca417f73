"""The life of one request: which attempts are made and when it ends.

A request has one part for each service that it needs: one for a single
service, one for each shard of a group. The run is told of outcomes and of
the time, and gives actions. It does no input or output and reads no clock.

Load patterns answered: targets that pause or slow down while a query waits
for all shards (hedges, then an answer with the shards that are in just
before the objective), targets that shed or fail (another target, under the
shared budget), and services without a target (an early end).
"""

from collections.abc import Callable

from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    GiveUpReason,
    NotRunReason,
    TargetAnswer,
)
from oriolestage.relay._batch_replies import BatchReplies
from oriolestage.relay._dispatch import Dispatch
from oriolestage.relay._parts import RETRY_AFTER_S, SHED_LIMIT, Attempt, Part
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import Chosen, NoRoom, NoTarget
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._run_types import (
    Action,
    BatchOutcome,
    Finish,
    PartRequest,
    RunTimes,
)
from oriolestage.relay._stragglers import WorkWatch
from oriolestage.relay._verdicts import least_parts, verdict_of

#: Time between the end of a run and the caller's receipt, in seconds: the
#: way to the caller, its connection's set-up and the work on the answer.
DELIVERY_MARGIN_S = 0.017
#: Part of the objective for which a request may wait for room.
HOLD_PART = 0.25
#: Statuses from here on are failures of the target.
SERVER_ERRORS = 500


class RequestRun:
    """Decides on the attempts of one request until it is over."""

    def __init__(
        self,
        rule: RouteRule,
        parts: tuple[PartRequest, ...],
        times: RunTimes,
        placement: Placement,
        peers: PeerBook,
        next_attempt: Callable[[], int],
    ) -> None:
        """Prepare the run; nothing is sent before ``start``."""
        self._rule = rule
        self._times = times
        self._placement = placement
        self._parts = tuple(
            Part(position, part) for position, part in enumerate(parts)
        )
        self._watch = WorkWatch(len(parts), placement.seen.work_s(rule.name))
        self._least = least_parts(rule.destination, len(parts))
        self._finished = False
        self._hedges = 0
        #: Merged records, one entry for each merged batch.
        self._merged: list[bytes] = []
        self._dispatch = Dispatch(
            rule=rule,
            times=times,
            parts=self._parts,
            placement=placement,
            peers=peers,
            watch=self._watch,
            merged=self._merged,
            next_attempt=next_attempt,
        )
        self._replies = BatchReplies(
            parts=self._parts,
            dispatch=self._dispatch,
            placement=placement,
            peers=peers,
            watch=self._watch,
            merged=self._merged,
        )

    @property
    def sends(self) -> int:
        """Attempts and batches sent so far."""
        return self._dispatch.sends

    @property
    def wake_at(self) -> float:
        """Steady time at which ``on_time`` is due."""
        wake_at = self._times.deadline
        if self._answered() >= self._least:
            wake_at = min(wake_at, self._cut_off_at())
        for part in self._parts:
            wake_at = min(wake_at, self._due_at(part))
        return wake_at

    def start(self, now: float) -> list[Action]:
        """Send the first attempts, or refuse what cannot be served."""
        for part in self._parts:
            part.request.budget.note_needed(now)
        actions = self._dispatch.first_batches(now)
        for part in self._parts:
            self._place(part, now)
        actions += self._dispatch.flush(now)
        if self._hopeless():
            self._dispatch.drop_all(now)
            for part in self._parts:
                part.live.clear()
            return self._end(now)
        return actions + self._check_end(now)

    def on_outcome(
        self,
        attempt: int,
        outcome: AttemptOutcome,
        now: float,
    ) -> list[Action]:
        """Take in what became of an attempt at a target."""
        part = self._dispatch.part_of(attempt)
        if part is None or self._finished:
            return []
        target = part.live.pop(attempt).target
        if target is None:
            return []
        match outcome:
            case AttemptAnswered(answer=answer):
                if answer.status >= SERVER_ERRORS:
                    self._placement.seen.note_failure(target, attempt, now)
                else:
                    self._watch.note_answer(
                        target,
                        self._placement.seen.note_answer(target, attempt, now),
                    )
                return self._on_answer(part, answer, now)
            case AttemptNotRun(reason=NotRunReason.SHED):
                self._placement.seen.note_failure(target, attempt, now)
                part.sheds += 1
                part.reason = GiveUpReason.SHED
            case AttemptNotRun(reason=reason):
                self._placement.seen.note_not_reached(target, attempt, now)
                if reason == NotRunReason.OTHER_TARGET:
                    target.replaced = True
                else:
                    part.arrivals -= 1
            case AttemptLost():
                self._placement.seen.note_lost(target, attempt, now)
                part.may_have_run += 1
                part.reason = GiveUpReason.LOST
        self._repeat(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def on_batch(
        self,
        batch: int,
        outcome: BatchOutcome,
        now: float,
    ) -> list[Action]:
        """Take in a reply to a batch, or its loss."""
        if self._finished:
            return []
        effect = self._replies.take(batch, outcome, now)
        for part in effect.ended:
            self._repeat(part, now)
        for part in self._parts:
            self._hedge(part, now)
        actions = effect.actions + self._dispatch.flush(now)
        return actions + self._check_end(now)

    def on_time(self, now: float) -> list[Action]:
        """Do what is due by now."""
        if self._finished:
            return []
        for part in self._parts:
            if part.place_at <= now:
                part.place_at = float('inf')
                self._place(part, now)
            self._hedge(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def cancel(self, now: float) -> None:
        """End the run because the caller left."""
        self._dispatch.drop_all(now)
        self._finished = True

    def summary(self) -> dict[str, object]:
        """Give what was done, for the log."""
        return {
            'parts': len(self._parts),
            'answered': self._answered(),
            'sends': self._dispatch.sends,
            'hedges': self._hedges,
            'batches': self._dispatch.batches,
            'lacking': ','.join(
                f'{part.service}:{part.reason.value}:{"/".join(part.history)}'
                for part in self._parts
                if part.answer is None
            ),
        }

    def _on_answer(
        self,
        part: Part,
        answer: TargetAnswer,
        now: float,
    ) -> list[Action]:
        gathers = isinstance(self._rule.destination, ShardGroup)
        if answer.success or (answer.status < SERVER_ERRORS and not gathers):
            part.answer = answer
            return self._dispatch.drop_live(part, now) + self._check_end(now)
        part.may_have_run += 1
        part.failure = answer
        part.reason = GiveUpReason.LOST
        self._repeat(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def _repeat(self, part: Part, now: float) -> None:
        """Try another target after a failed attempt, if it may be done."""
        if part.live or part.answer is not None:
            return
        once = not self._rule.repeatable and part.may_have_run
        spent = part.may_have_run >= self._rule.attempts_limit
        if once or spent or part.sheds >= SHED_LIMIT:
            part.given_up = True
            return
        self._place(part, now)

    def _place(self, part: Part, now: float) -> None:
        """Decide on an attempt of a part that has none on its way."""
        if part.live or part.over:
            return
        placed = self._choose(part, now)
        match placed:
            case Chosen():
                if part.arrivals and not self._take_extra(part, now):
                    part.given_up = True
                    part.reason = GiveUpReason.NO_BUDGET
                    return
                self._dispatch.queue(part, placed)
            case NoRoom(wait_s=wait_s):
                part.room_after_s = max(RETRY_AFTER_S, wait_s)
                part.reason = GiveUpReason.NO_ROOM
                part.place_at = now + wait_s
                part.given_up = part.place_at >= self._hold_until(part, now)
            case NoTarget():
                part.given_up = True
                part.reason = GiveUpReason.NO_TARGET

    def _choose(self, part: Part, now: float) -> Chosen | NoRoom | NoTarget:
        """Choose a target not tried yet, else any."""
        placed = self._placement.choose(part.request.wanted, part.tried, now)
        if part.tried and not isinstance(placed, Chosen):
            return self._placement.choose(part.request.wanted, (), now)
        return placed

    def _hedge(self, part: Part, now: float) -> None:
        """Decide on a second attempt when the first takes too long."""
        if part.answer is not None or len(part.live) != 1:
            return
        attempt = next(iter(part.live.values()))
        if self._late_at(attempt) > now:
            return
        attempt.hedged = True
        if part.may_have_run + 1 >= self._rule.attempts_limit:
            return
        placed = self._placement.choose(part.request.wanted, part.tried, now)
        if not isinstance(placed, Chosen):
            return
        if not self._in_time(placed, now) or not self._take_extra(part, now):
            return
        self._hedges += 1
        self._dispatch.queue(part, placed, hedge=True)

    def _in_time(self, placed: Chosen, now: float) -> bool:
        """Tell whether a hedge can still be of use."""
        answered_at = now + placed.expected_s
        if self._answered() >= self._least:
            return answered_at < self._cut_off_at()
        return answered_at < self._times.deadline

    def _take_extra(self, part: Part, now: float) -> bool:
        """Take an extra attempt; the last ones are for answers at all."""
        hosts = len(self._placement.hosts)
        lacking = len(self._parts) - self._answered()
        optional = lacking <= len(self._parts) - self._least
        budget = part.request.budget
        if optional and budget.scarce(hosts, now):
            return False
        return budget.take(hosts, now)

    def _late_at(self, attempt: Attempt) -> float:
        """Time at which a second attempt is worth it."""
        if attempt.hedged or not self._rule.repeatable:
            return float('inf')
        if attempt.late:
            return attempt.sent_at
        return attempt.sent_at + attempt.way_s + self._watch.late_s

    def _due_at(self, part: Part) -> float:
        """Time at which something is due for a part."""
        if part.answer is not None:
            return float('inf')
        due_at = part.place_at
        if len(part.live) == 1:
            for attempt in part.live.values():
                due_at = min(due_at, self._late_at(attempt))
        return due_at

    def _hold_until(self, part: Part, now: float) -> float:
        """Time until which a part may wait for room.

        What no target got is refused soon, so that the caller may go
        elsewhere; what may have run cannot be refused any more.
        """
        if part.arrivals:
            return self._times.deadline
        part.lacking_since = min(part.lacking_since, now)
        objective_s = self._times.objective - self._times.started
        return part.lacking_since + objective_s * HOLD_PART

    def _cut_off_at(self) -> float:
        """Time at which an answer with enough shards is given."""
        if not isinstance(self._rule.destination, ShardGroup):
            return float('inf')
        return self._times.objective - DELIVERY_MARGIN_S

    def _answered(self) -> int:
        return sum(1 for part in self._parts if part.answer is not None)

    def _hopeless(self) -> bool:
        """Tell whether too few parts can still be answered."""
        possible = sum(
            1
            for part in self._parts
            if part.answer is not None or not part.over
        )
        return possible < self._least

    def _check_end(self, now: float) -> list[Action]:
        """End the request if it is whole, late, or cannot become better."""
        if self._finished:
            return []
        if all(part.over for part in self._parts) or self._hopeless():
            return self._end(now)
        if now >= self._times.deadline:
            return self._end(now)
        if now >= self._cut_off_at() and self._answered() >= self._least:
            return self._end(now)
        return []

    def _end(self, now: float) -> list[Action]:
        self._finished = True
        verdict = verdict_of(
            self._rule.destination,
            self._parts,
            self._merged,
            late=now >= self._times.deadline,
        )
        self._watch.settle(self._placement, self._rule.name, now)
        return [Finish(verdict), *self._dispatch.drop_all(now)]
