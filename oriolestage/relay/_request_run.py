"""The life of one request, from its first attempts to its verdict.

A request has one part for each service that it needs: one for a single
service, one for each shard of a group. The run is told of outcomes and of
the time, and gives actions. It does no input or output and reads no clock.
An answer with enough shards is given just before the objective.
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
from oriolestage.relay._attempt_policy import AttemptPolicy
from oriolestage.relay._batch_replies import BatchReplyHandler
from oriolestage.relay._dispatch import AttemptDispatcher
from oriolestage.relay._parts import Part
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._progress import Progress
from oriolestage.relay._request_results import build_result
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._run_types import (
    Action,
    BatchOutcome,
    Finish,
    PartRequest,
    RunTimes,
)
from oriolestage.relay._stragglers import StragglerDetector
from oriolestage.relay._targets import KnownTarget

#: Statuses from here on are failures of the target.
FIRST_SERVER_ERROR = 500


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
        self._progress = Progress(rule, times, self._parts)
        self._stragglers = StragglerDetector(
            len(parts), placement.seen.work_s(rule.name)
        )
        self._finished = False
        #: Merged records, one entry for each merged batch.
        self._merged: list[bytes] = []
        self._dispatch = AttemptDispatcher(
            rule=rule,
            times=times,
            parts=self._parts,
            placement=placement,
            peers=peers,
            stragglers=self._stragglers,
            merged=self._merged,
            next_attempt=next_attempt,
        )
        self._policy = AttemptPolicy(
            self._progress,
            placement,
            self._dispatch,
            self._stragglers,
        )
        self._replies = BatchReplyHandler(
            parts=self._parts,
            dispatch=self._dispatch,
            placement=placement,
            peers=peers,
            stragglers=self._stragglers,
            merged=self._merged,
        )

    @property
    def sent_count(self) -> int:
        """Attempts and batches sent so far."""
        return self._dispatch.sent_count

    @property
    def wake_at(self) -> float:
        """Steady time at which ``on_time`` is due."""
        wake_at = self._times.deadline
        if self._progress.has_enough:
            wake_at = min(wake_at, self._progress.partial_answer_at)
        for part in self._parts:
            wake_at = min(wake_at, self._policy.due_at(part))
        return wake_at

    def start(self, now: float) -> list[Action]:
        """Send the first attempts, or refuse what cannot be served."""
        for part in self._parts:
            part.request.budget.note_needed(now)
        actions = self._dispatch.send_first_batches(now)
        for part in self._parts:
            self._policy.place_attempt(part, now)
        actions += self._dispatch.flush(now)
        if self._progress.unattainable:
            self._dispatch.cancel_all(now)
            for part in self._parts:
                part.in_flight.clear()
            return self._end(now)
        return actions + self._check_end(now)

    def on_outcome(
        self,
        attempt: int,
        outcome: AttemptOutcome,
        now: float,
    ) -> list[Action]:
        """Take in what became of an attempt at a target."""
        part = self._dispatch.pop_part(attempt)
        if part is None or self._finished:
            return []
        target = part.in_flight.pop(attempt).target
        if target is None:
            return []
        match outcome:
            case AttemptAnswered(answer=answer):
                return self._on_answer(part, target, attempt, answer, now)
            case AttemptNotRun(reason=reason):
                self._on_not_run(part, target, attempt, reason, now)
            case AttemptLost():
                self._placement.seen.note_lost(target, attempt, now)
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
        """Take in a reply to a batch, or its loss."""
        if self._finished:
            return []
        effect = self._replies.apply(batch, outcome, now)
        for part in effect.parts_to_retry:
            self._policy.retry(part, now)
        for part in self._parts:
            self._policy.hedge(part, now)
        actions = effect.actions + self._dispatch.flush(now)
        return actions + self._check_end(now)

    def on_timer(self, now: float) -> list[Action]:
        """Do what is due by now."""
        if self._finished:
            return []
        for part in self._parts:
            if part.next_placement_at <= now:
                part.next_placement_at = float('inf')
                self._policy.place_attempt(part, now)
            self._policy.hedge(part, now)
        return self._dispatch.flush(now) + self._check_end(now)

    def cancel(self, now: float) -> None:
        """End the run because the caller left."""
        self._dispatch.cancel_all(now)
        self._finished = True

    def summary(self) -> dict[str, object]:
        """Give what was done, for the log."""
        return {
            'parts': len(self._parts),
            'answered': self._progress.answered_count,
            'sends': self._dispatch.sent_count,
            'hedges': self._policy.hedge_count,
            'batches': self._dispatch.batch_count,
            'lacking': ','.join(
                f'{part.service}:{part.reason.value}:{"/".join(part.attempt_log)}'
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
        seen = self._placement.seen
        if answer.status >= FIRST_SERVER_ERROR:
            seen.note_failure(target, attempt, now)
        else:
            worked_s = seen.record_answer(target, attempt, now)
            self._stragglers.record_answer(target, worked_s)
        gathers = isinstance(self._rule.destination, ShardGroup)
        if answer.success or (
            answer.status < FIRST_SERVER_ERROR and not gathers
        ):
            part.answer = answer
            return self._dispatch.cancel_direct(part, now) + self._check_end(
                now
            )
        part.may_have_run += 1
        part.failure = answer
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
        seen = self._placement.seen
        match reason:
            case NotRunReason.SHED:
                seen.note_failure(target, attempt, now)
                part.shed_count += 1
                part.reason = GiveUpReason.SHED
            case NotRunReason.OTHER_TARGET:
                seen.note_not_reached(target, attempt, now)
                target.replaced = True
            case NotRunReason.NOT_REACHED:
                seen.note_not_reached(target, attempt, now)
                part.delivered_count -= 1

    def _check_end(self, now: float) -> list[Action]:
        """End the request if it is whole, late, or cannot become better."""
        if self._finished or not self._progress.must_end(now):
            return []
        return self._end(now)

    def _end(self, now: float) -> list[Action]:
        self._finished = True
        result = build_result(
            self._rule.destination,
            self._parts,
            self._merged,
            late=now >= self._times.deadline,
        )
        self._stragglers.report_observations(
            self._placement, self._rule.name, now
        )
        return [Finish(result), *self._dispatch.cancel_all(now)]
