"""Takes in what other hosts gathered for one request.

A host answers a batch as soon as the shards that are in time are in, and
sends the late ones afterwards; until then their attempts stay on their way.
"""

import dataclasses
from http import HTTPStatus

from oriolestage.relay._answers import GiveUpReason, TargetAnswer
from oriolestage.relay._batch_planning import Batch
from oriolestage.relay._dispatch import AttemptDispatcher
from oriolestage.relay._parts import Part
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._run_types import (
    Action,
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
)
from oriolestage.relay._stragglers import StragglerDetector


@dataclasses.dataclass(slots=True)
class BatchEffect:
    """What a reply means for the request."""

    actions: list[Action] = dataclasses.field(default_factory=list)
    #: Parts that have no attempt on its way any more.
    parts_to_retry: list[Part] = dataclasses.field(default_factory=list)


class BatchReplyHandler:
    """The replies of other hosts to one request's batches."""

    def __init__(
        self,
        parts: tuple[Part, ...],
        dispatch: AttemptDispatcher,
        placement: Placement,
        peers: PeerBook,
        stragglers: StragglerDetector,
        merged: list[bytes],
    ) -> None:
        """Start without replies; ``merged`` takes their merged records."""
        self._merged = merged
        self._parts = parts
        self._dispatch = dispatch
        self._placement = placement
        self._peers = peers
        self._stragglers = stragglers

    def apply(
        self,
        number: int,
        outcome: BatchOutcome,
        now: float,
    ) -> BatchEffect:
        """Take in one reply to a batch, or its loss."""
        batch = self._dispatch.batch(number)
        effect = BatchEffect()
        if batch is None:
            return effect
        match outcome:
            case BatchAnswered():
                self._note_reply(batch, outcome, now)
                batch.awaits_merged = False
                if outcome.body:
                    self._merged.append(outcome.body)
                answers = len(outcome.signatures)
                self._stragglers.record_work(outcome.work_s, answers)
                for position in batch.positions:
                    part = self._parts[position]
                    self._take_part(part, number, batch, outcome, now, effect)
                if outcome.final:
                    self._end(number, batch)
            case BatchDeclined():
                batch.replied = True
                self._decline(number, batch, outcome, now, effect)
                if outcome.final:
                    self._end(number, batch)
            case BatchLost(not_sent=not_sent):
                self._peers.note_silent(batch.peer.name, now)
                self._lose(number, batch, not_sent=not_sent, effect=effect)
                self._end(number, batch)
        return effect

    def _note_reply(
        self,
        batch: Batch,
        outcome: BatchAnswered,
        now: float,
    ) -> None:
        if batch.replied:
            return
        batch.replied = True
        waited_s = now - batch.sent_at - batch.round_trip_s
        worked_s = outcome.work_s
        if not outcome.final:
            worked_s = max(worked_s, self._stragglers.late_s)
        self._peers.note_reply(batch.peer.name, waited_s - worked_s)

    def _take_part(
        self,
        part: Part,
        number: int,
        batch: Batch,
        outcome: BatchAnswered,
        now: float,
        effect: BatchEffect,
    ) -> None:
        """Take in what a reply says of one shard, if anything."""
        signature = outcome.signatures.get(part.service)
        if signature is not None:
            self._dispatch.remove_batched(part, number)
            self._answer(part, signature, outcome)
            self._note(part, batch, now, late=False)
            effect.actions += self._dispatch.cancel_direct(part, now)
            return
        attempt = self._dispatch.attempt_in_batch(part, number)
        if attempt is None:
            return
        if part.service in outcome.failed:
            self._dispatch.remove_batched(part, number)
            part.may_have_run += 1
            part.reason = GiveUpReason.LOST
            effect.parts_to_retry.append(part)
        elif not attempt.late:
            attempt.late = True
            self._note(part, batch, now, late=True)

    def _answer(
        self,
        part: Part,
        signature: str,
        outcome: BatchAnswered,
    ) -> None:
        body = outcome.bodies.get(part.service)
        # Merged records hold this shard, so what a hedge gave must not be
        # merged again.
        if part.answer is None or body is None:
            part.answer = TargetAnswer(
                HTTPStatus.OK,
                (),
                body or b'',
                signature,
            )

    def _note(
        self,
        part: Part,
        batch: Batch,
        now: float,
        *,
        late: bool,
    ) -> None:
        self._placement.note_batched(
            part.service,
            batch.region,
            now,
            late=late,
        )

    def _decline(
        self,
        number: int,
        batch: Batch,
        outcome: BatchDeclined,
        now: float,
        effect: BatchEffect,
    ) -> None:
        """Place shards elsewhere that have no room in the region."""
        for position in batch.positions:
            part = self._parts[position]
            retry_after_s = outcome.retry_after_s.get(part.service)
            if retry_after_s is None:
                continue
            self._placement.note_declined(
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

    def _lose(
        self,
        number: int,
        batch: Batch,
        *,
        not_sent: bool,
        effect: BatchEffect,
    ) -> None:
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

    def _end(self, number: int, batch: Batch) -> None:
        self._dispatch.forget_batch(number)
        self._peers.note_ended(batch.peer.name)
