"""Processes the replies of other hosts to the batches of one request.

A host replies to a batch as soon as all shards that are not late have
answered, and sends the late ones in further replies. The attempts at late
shards stay in flight until then.
"""

import dataclasses
from http import HTTPStatus

from oriolestage.routing._answers import GiveUpReason, TargetAnswer
from oriolestage.routing._batch_planning import Batch
from oriolestage.routing._dispatch import AttemptDispatcher
from oriolestage.routing._due_parts import DueParts
from oriolestage.routing._merge import GatheredRecords
from oriolestage.routing._parts import Part
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._run_types import (
    Action,
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
)
from oriolestage.routing._stragglers import StragglerDetector


@dataclasses.dataclass(slots=True)
class BatchEffect:
    """What the run has to do after a reply."""

    actions: list[Action] = dataclasses.field(default_factory=list)
    #: Parts whose attempt in the batch ended without an answer.
    parts_to_retry: list[Part] = dataclasses.field(default_factory=list)


class BatchReplyHandler:
    """Applies the replies to batches to the parts of one request."""

    def __init__(
        self,
        parts: tuple[Part, ...],
        dispatch: AttemptDispatcher,
        placement: Placement,
        peers: PeerDirectory,
        stragglers: StragglerDetector,
        records: GatheredRecords,
        due: DueParts,
    ) -> None:
        """Start without replies.

        The records of merged batches are merged into ``records``, and parts
        that another host reports as late are added to ``due``.
        """
        self._records = records
        self._parts = parts
        self._dispatch = dispatch
        self._placement = placement
        self._peers = peers
        self._stragglers = stragglers
        self._due = due

    def apply(
        self,
        number: int,
        outcome: BatchOutcome,
        now: float,
    ) -> BatchEffect:
        """Apply one reply to a batch, or its loss.

        A reply to a batch that is no longer in flight has no effect.
        """
        batch = self._dispatch.batch(number)
        effect = BatchEffect()
        if batch is None:
            return effect
        match outcome:
            case BatchAnswered():
                self._record_reply(batch, outcome, now)
                batch.awaits_merged = False
                self._records.add(outcome.body)
                answers = len(outcome.signatures)
                self._stragglers.record_work(outcome.work_s, answers)
                self._apply_answers(number, batch, outcome, now, effect)
                if outcome.final:
                    self._end_batch(number, batch)
            case BatchDeclined():
                batch.replied = True
                self._apply_decline(number, batch, outcome, now, effect)
                if outcome.final:
                    self._end_batch(number, batch)
            case BatchLost(not_sent=not_sent):
                self._peers.record_silent(batch.peer.name, now)
                self._apply_loss(
                    number, batch, not_sent=not_sent, effect=effect
                )
                self._end_batch(number, batch)
        return effect

    def _record_reply(
        self,
        batch: Batch,
        outcome: BatchAnswered,
        now: float,
    ) -> None:
        """Record the host's overhead, as shown by its first reply.

        A first reply that omits late shards was sent when they became late.
        """
        if batch.replied:
            return
        batch.replied = True
        waited_s = now - batch.sent_at - batch.round_trip_s
        worked_s = outcome.work_s
        if not outcome.final:
            worked_s = max(worked_s, self._stragglers.late_s)
        self._peers.record_reply(batch.peer.name, waited_s - worked_s)

    def _apply_answers(
        self,
        number: int,
        batch: Batch,
        outcome: BatchAnswered,
        now: float,
        effect: BatchEffect,
    ) -> None:
        """Apply what a reply reports about its shards.

        The first reply leaves out the shards that are late. Later ones are
        about those that they name, so the others are not visited again.
        """
        for service, signature in outcome.signatures.items():
            part = self._take_unanswered(batch, service)
            if part is None:
                continue
            self._dispatch.remove_batched(part, number)
            self._store_answer(part, signature, outcome)
            self._record_batch_part(part, batch, now, late=False)
            effect.actions += self._dispatch.cancel_direct(part, now)
        for service in outcome.failed:
            part = self._take_unanswered(batch, service)
            if part is None:
                continue
            if self._dispatch.attempt_in_batch(part, number) is None:
                continue
            self._dispatch.remove_batched(part, number)
            part.may_have_run += 1
            part.reason = GiveUpReason.LOST
            effect.parts_to_retry.append(part)
        if not batch.late_marked:
            batch.late_marked = True
            self._mark_late(number, batch, now)

    def _take_unanswered(self, batch: Batch, service: str) -> Part | None:
        """Return the part of a service, once for each batch."""
        position = batch.unanswered.pop(service, None)
        return None if position is None else self._parts[position]

    def _mark_late(self, number: int, batch: Batch, now: float) -> None:
        for position in batch.unanswered.values():
            part = self._parts[position]
            attempt = self._dispatch.attempt_in_batch(part, number)
            if attempt is None:
                continue
            attempt.late = True
            self._due.add(part)
            self._record_batch_part(part, batch, now, late=True)

    def _store_answer(
        self,
        part: Part,
        signature: str,
        outcome: BatchAnswered,
    ) -> None:
        body = outcome.bodies.get(part.service)
        answer = TargetAnswer(HTTPStatus.OK, (), body or b'', signature)
        if body is None:
            # The merged body already contains the records of this shard, so
            # an earlier answer of a hedge must not be merged as well.
            part.record_answer(answer)
        elif part.answer is None:
            self._dispatch.store_answer(part, answer)

    def _record_batch_part(
        self,
        part: Part,
        batch: Batch,
        now: float,
        *,
        late: bool,
    ) -> None:
        self._placement.record_batch_part(
            part.service,
            batch.region,
            now,
            late=late,
        )

    def _apply_decline(
        self,
        number: int,
        batch: Batch,
        outcome: BatchDeclined,
        now: float,
        effect: BatchEffect,
    ) -> None:
        """Release the declined shards so that they are placed elsewhere.

        A host without a path to the targets says nothing about the targets,
        which other hosts may reach.
        """
        self._peers.record_unreachable(
            batch.peer.name, outcome.unreachable, now
        )
        for position in batch.positions:
            part = self._parts[position]
            retry_after_s = outcome.retry_after_s.get(part.service)
            if retry_after_s is None:
                continue
            if part.service not in outcome.unreachable:
                self._placement.record_declined(
                    part.service,
                    batch.region,
                    retry_after_s,
                    now,
                )
            if self._dispatch.attempt_in_batch(part, number) is None:
                continue
            self._dispatch.remove_batched(part, number)
            part.delivered_count -= 1
            part.reason = GiveUpReason.NO_ROOM
            effect.parts_to_retry.append(part)

    def _apply_loss(
        self,
        number: int,
        batch: Batch,
        *,
        not_sent: bool,
        effect: BatchEffect,
    ) -> None:
        """Release the shards of a lost batch so that they are retried."""
        for position in batch.positions:
            part = self._parts[position]
            if self._dispatch.attempt_in_batch(part, number) is None:
                continue
            self._dispatch.remove_batched(part, number)
            if not_sent:
                part.delivered_count -= 1
            else:
                part.may_have_run += 1
            part.reason = GiveUpReason.LOST
            effect.parts_to_retry.append(part)

    def _end_batch(self, number: int, batch: Batch) -> None:
        self._dispatch.forget_batch(number)
        self._peers.record_ended(batch.peer.name)
