"""State machine of one request, from its first attempts to its result.

A request has one part for each service it needs: a single part for a route
to one service, or one part per shard for a shard group. The driver of a
``RequestRun`` passes in outcomes and the current time and carries out the
actions that are returned; the run itself does no I/O and reads no clock.
A shard query that has enough shards returns a partial answer just before
its latency objective.
"""

from collections.abc import Callable

from oriolestage.admission._waiting_line import Waiter
from oriolestage.routing._answers import (
    FIRST_SERVER_ERROR,
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    GiveUpReason,
    NotRunReason,
    TargetAnswer,
)
from oriolestage.routing._attempt_policy import AttemptPolicy
from oriolestage.routing._batch_replies import BatchReplyHandler
from oriolestage.routing._capacity_waits import CapacityWaits
from oriolestage.routing._dispatch import AttemptDispatcher
from oriolestage.routing._due_parts import DueParts
from oriolestage.routing._merge import GatheredRecords
from oriolestage.routing._parts import Part, PartTally, describe_shortages
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._progress import Progress
from oriolestage.routing._request_results import build_result
from oriolestage.routing._rules import RouteRule, ShardGroup
from oriolestage.routing._run_types import (
    Action,
    BatchOutcome,
    Finish,
    PartRequest,
    RunTimes,
)
from oriolestage.routing._stragglers import StragglerDetector
from oriolestage.routing._target_choice import TargetChooser
from oriolestage.routing._targets import KnownTarget


class RequestRun:
    """Decides which attempts one request makes and when it ends."""

    def __init__(
        self,
        rule: RouteRule,
        parts: tuple[PartRequest, ...],
        times: RunTimes,
        placement: Placement,
        peers: PeerDirectory,
        next_attempt: Callable[[], int],
        waiter: Waiter | None = None,
    ) -> None:
        """Initialise the run; ``start`` returns the first actions.

        ``next_attempt`` returns a new number for each attempt and batch.
        ``waiter`` stands for the request in the line of the host; None if
        the host has none.
        """
        self._rule = rule
        self._placement = placement
        self._peers = peers
        tally = PartTally(len(parts))
        self._parts = tuple(
            Part(position, part, tally) for position, part in enumerate(parts)
        )
        self._progress = Progress(rule, times, len(parts), tally)
        self._stragglers = StragglerDetector(
            len(parts), placement.observations.work_s(rule.name)
        )
        self._finished = False
        #: Monotonic time since which there are enough answers.
        self._enough_since = float('inf')
        self._partial_answer_due_at: float | None = None
        self._refusal_due_at: float | None = None
        #: Monotonic time at which the run ends if no attempt was sent.
        self._refuse_by = float('inf')
        self._records = GatheredRecords(
            getattr(rule.destination, 'top_records', 0)
        )
        self._due = DueParts(self._stragglers, repeatable=rule.repeatable)
        chooser = TargetChooser(
            placement,
            peers,
            gathers=isinstance(rule.destination, ShardGroup),
        )
        self._dispatch = AttemptDispatcher(
            rule=rule,
            times=times,
            parts=self._parts,
            placement=placement,
            peers=peers,
            chooser=chooser,
            stragglers=self._stragglers,
            records=self._records,
            due=self._due,
            next_attempt=next_attempt,
            waiter=waiter,
        )
        self._waiter = waiter
        self._waits = CapacityWaits(self._progress, placement, waiter)
        self._policy = AttemptPolicy(
            self._progress,
            placement,
            chooser,
            self._dispatch,
            self._stragglers,
            self._due,
            self._waits,
        )
        self._replies = BatchReplyHandler(
            parts=self._parts,
            dispatch=self._dispatch,
            placement=placement,
            peers=peers,
            stragglers=self._stragglers,
            records=self._records,
            due=self._due,
        )

    @property
    def sent_count(self) -> int:
        """Number of direct attempts and batches sent so far."""
        return self._dispatch.sent_count

    @property
    def wake_at(self) -> float:
        """Monotonic time at which ``on_timer`` must be called."""
        return min(self.end_at, self._due.next_due_at())

    @property
    def end_at(self) -> float:
        """Monotonic time at which the run ends with the answers so far."""
        times = self._progress.times
        if self._progress.has_enough:
            return min(times.deadline, self._progress.partial_answer_at)
        if self._dispatch.sent_count:
            return times.deadline
        return min(times.deadline, self._refuse_by)

    @property
    def partial_answer_due_at(self) -> float | None:
        """Monotonic time at which a partial answer was due.

        None if the run has not ended, or if it ended for another reason.
        """
        return self._partial_answer_due_at

    @property
    def refusal_due_at(self) -> float | None:
        """Monotonic time at which a refusal was due.

        None if the run has not ended, or if it ended for another reason.
        """
        return self._refusal_due_at

    @property
    def turned_away(self) -> bool:
        """Whether targets have no room for a part that was given up.

        They turned its attempts away, or are known to take none. A part that
        this host's own limits left without a target does not count.
        """
        return any(
            part.given_up and self._waits.is_turned_away(part)
            for part in self._parts
        )

    def start(self, now: float) -> list[Action]:
        """Return the first attempts, or the end if too few can be placed."""
        refuse_by = self._progress.times.refuse_by
        if now < refuse_by:
            self._refuse_by = refuse_by
        for part in self._parts:
            part.request.budget.record_request(now)
        actions, choices = self._dispatch.send_first_batches(now)
        for part in self._parts:
            choice = choices[part.position] if choices else None
            self._policy.place_attempt(part, now, choice)
        actions += self._dispatch.flush(now)
        if self._progress.unattainable:
            self._dispatch.withdraw_all(now)
            return self._end(now)
        return actions + self._check_end(now)

    def record_unsent(self, attempt: int) -> None:
        """Record that an attempt that was decided is sent later."""
        self._dispatch.record_unsent(attempt)

    def record_sent(self, attempt: int, now: float) -> None:
        """Record when an attempt was sent.

        A host sends the attempts of a query one after another; without the
        times of their sending, the last ones would look late.
        """
        self._dispatch.record_sent(attempt, now)

    def on_outcome(
        self,
        attempt: int,
        outcome: AttemptOutcome,
        now: float,
    ) -> list[Action]:
        """Process the outcome of a direct attempt and return what follows."""
        part = self._dispatch.pop_part(attempt)
        if part is None or self._finished:
            return []
        ended = part.remove_attempt(attempt)
        self._record_ended(attempt, outcome, now)
        target = ended.target
        if target is None:
            return self._on_relayed(part, ended.relay, outcome, now)
        match outcome:
            case AttemptAnswered(answer=answer):
                return self._on_answer(part, target, attempt, answer, now)
            case AttemptNotRun(reason=reason):
                self._on_not_run(part, target, attempt, reason, now)
            case AttemptLost(responded=responded):
                self._placement.observations.record_lost(
                    target, attempt, now, responded=responded
                )
                part.may_have_run += 1
                part.reason = GiveUpReason.LOST
        self._policy.retry(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def on_batch_outcome(
        self,
        batch: int,
        outcome: BatchOutcome,
        now: float,
    ) -> list[Action]:
        """Process a reply to a batch, or its loss, and return what follows."""
        if self._finished:
            return []
        effect = self._replies.apply(batch, outcome, now)
        for part in effect.parts_to_retry:
            self._policy.retry(part, now)
        self._policy.decide_due(now)
        actions = effect.actions + self._dispatch.flush(now)
        return actions + self._check_end(now)

    def on_timer(self, now: float) -> list[Action]:
        """Place waiting parts, hedge late ones, and end the run if due."""
        if self._finished:
            return []
        self._policy.decide_due(now)
        return self._dispatch.flush(now) + self._check_end(now)

    def end_by(self, ends_at: float) -> None:
        """Bring the deadline forward because the host is being stopped."""
        times = self._progress.times.ended_by_stop(ends_at)
        self._progress.times = times
        self._dispatch.change_times(times)

    def cancel(self, now: float) -> None:
        """End the run because the caller disconnected.

        All attempts in flight are removed from the load of their targets;
        the driver of the run cancels the attempts themselves.
        """
        self._dispatch.cancel_all(now)
        self._finished = True
        self._leave_line(now)

    def summary(self) -> dict[str, object]:
        """Return the log fields that describe what the run did."""
        return {
            'parts': len(self._parts),
            'answered': self._progress.answered_count,
            'sends': self._dispatch.sent_count,
            'hedges': self._policy.hedge_count,
            'unhedged': ','.join(
                f'{reason}:{count}'
                for reason, count in self._policy.unhedged.items()
            ),
            'batches': self._dispatch.batch_count,
            'shortages': describe_shortages(self._parts),
            'lacking': ','.join(
                f'{part.service}:{part.reason.value}:{"/".join(part.trace)}'
                for part in self._parts
                if part.answer is None
            ),
        }

    def _on_answer(
        self,
        part: Part,
        target: KnownTarget,
        attempt: int,
        answer: TargetAnswer,
        now: float,
    ) -> list[Action]:
        observations = self._placement.observations
        if answer.status >= FIRST_SERVER_ERROR:
            observations.record_failure(target, attempt, now)
        else:
            worked_s = observations.record_answer(target, attempt, now)
            self._stragglers.record_answer(target, worked_s)
        return self._take_answer(part, answer, now)

    def _take_answer(
        self, part: Part, answer: TargetAnswer, now: float
    ) -> list[Action]:
        gathers = isinstance(self._rule.destination, ShardGroup)
        if answer.success or (
            answer.status < FIRST_SERVER_ERROR and not gathers
        ):
            self._dispatch.store_answer(part, answer)
            return self._dispatch.cancel_direct(part, now) + self._check_end(
                now
            )
        part.may_have_run += 1
        part.failure = answer
        part.reason = GiveUpReason.LOST
        self._policy.retry(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def _on_relayed(
        self,
        part: Part,
        relay: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> list[Action]:
        """Process the outcome of an attempt that another host sent.

        It says nothing about the way from this host to the target.
        """
        self._peers.record_ended(relay)
        match outcome:
            case AttemptAnswered(answer=answer):
                return self._take_answer(part, answer, now)
            case AttemptNotRun(reason=NotRunReason.SHED):
                part.shed_count += 1
                part.reason = GiveUpReason.SHED
            case AttemptNotRun():
                self._peers.record_unreachable(relay, (part.service,), now)
                part.delivered_count -= 1
                part.reason = GiveUpReason.NO_ROOM
            case AttemptLost():
                part.may_have_run += 1
                part.reason = GiveUpReason.LOST
        self._policy.retry(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def _on_not_run(
        self,
        part: Part,
        target: KnownTarget,
        attempt: int,
        reason: NotRunReason,
        now: float,
    ) -> None:
        observations = self._placement.observations
        match reason:
            case NotRunReason.SHED:
                observations.record_failure(target, attempt, now)
                part.shed_count += 1
                part.reason = GiveUpReason.SHED
            case NotRunReason.OTHER_TARGET:
                observations.record_not_reached(target, attempt, now)
                target.replaced = True
            case NotRunReason.NOT_REACHED:
                observations.record_not_reached(target, attempt, now)
                part.delivered_count -= 1

    def _check_end(self, now: float) -> list[Action]:
        """Return the final actions if the request must end now."""
        if self._finished:
            return []
        if self._progress.has_enough:
            self._enough_since = min(self._enough_since, now)
        ended = now >= self.end_at or self._progress.must_end(now)
        return self._end(now) if ended else []

    def _record_ended(
        self, attempt: int, outcome: AttemptOutcome, now: float
    ) -> None:
        if self._waiter is not None:
            answered = isinstance(outcome, AttemptAnswered)
            self._waiter.record_ended(attempt, now, answered=answered)

    def _leave_line(self, now: float) -> None:
        if self._waiter is not None:
            self._waiter.close(now)

    def _end(self, now: float) -> list[Action]:
        self._finished = True
        if not self._dispatch.sent_count:
            self._waits.refuse_waiting(now)
            if now >= self._refuse_by:
                self._refusal_due_at = self._refuse_by
        partial_answer_at = self._progress.partial_answer_at
        if self._progress.has_enough and now >= partial_answer_at:
            self._partial_answer_due_at = max(
                self._enough_since, partial_answer_at
            )
        times = self._progress.times
        late = now >= times.deadline
        result = build_result(
            self._rule.destination,
            self._parts,
            self._records,
            late_reason=times.deadline_reason if late else None,
        )
        self._stragglers.report_observations(
            self._placement, self._rule.name, now
        )
        cancelled = self._dispatch.cancel_all(now)
        self._leave_line(now)
        return [Finish(result), *cancelled]
