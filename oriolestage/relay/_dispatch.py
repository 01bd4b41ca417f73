"""Sends the attempts of one request, directly or through other hosts.

A run decides that a part gets an attempt; this module knows how attempts
travel and which of them are on their way.
"""

import dataclasses
from collections.abc import Callable, Sequence

from oriolestage.relay._batch_planning import Batch, plan_batches
from oriolestage.relay._merge import top_records_floor
from oriolestage.relay._parts import Attempt, Part
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import Chosen
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._run_types import (
    Action,
    BatchPart,
    CancelAttempt,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.relay._stragglers import StragglerDetector

#: Time for the work of another host on a batch, in seconds. Its reply tells
#: which shards are late, so only a host that is lost exceeds this.
PEER_MARGIN_S = 0.025
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedAttempt:
    """An attempt that was decided on and is not sent yet."""

    #: Position of the part.
    position: int
    placed: Chosen
    hedge: bool = False


class AttemptDispatcher:
    """The attempts and batches of one request."""

    def __init__(
        self,
        rule: RouteRule,
        times: RunTimes,
        parts: tuple[Part, ...],
        placement: Placement,
        peers: PeerBook,
        stragglers: StragglerDetector,
        merged: Sequence[bytes],
        next_attempt: Callable[[], int],
    ) -> None:
        """Start with nothing on its way.

        ``merged`` holds the records that merged batches gave so far.
        """
        self.sent_count = 0
        self.batch_count = 0
        self._rule = rule
        self._times = times
        self._parts = parts
        self._placement = placement
        self._peers = peers
        self._stragglers = stragglers
        self._merged = merged
        self._next_attempt = next_attempt
        self._part_by_attempt: dict[int, Part] = {}
        self._batches: dict[int, Batch] = {}
        self._queued: list[_QueuedAttempt] = []

    def pop_part(self, attempt: int) -> Part | None:
        """Give the part of an attempt that is over; None if it was dropped."""
        return self._part_by_attempt.pop(attempt, None)

    def batch(self, number: int) -> Batch | None:
        """Give a batch that is on its way; None if it was dropped."""
        return self._batches.get(number)

    def attempt_in_batch(self, part: Part, number: int) -> Attempt | None:
        """Give the attempt of a part in a batch, if it is on its way."""
        for attempt in part.in_flight.values():
            if attempt.batch == number:
                return attempt
        return None

    def forget_batch(self, number: int) -> None:
        """Forget a batch that is over."""
        self._batches.pop(number, None)

    def enqueue(
        self,
        part: Part,
        placed: Chosen,
        *,
        hedge: bool = False,
    ) -> None:
        """Note that a part gets an attempt with the next ``flush``."""
        self._queued.append(_QueuedAttempt(part.position, placed, hedge))

    def send_first_batches(self, now: float) -> list[Action]:
        """Give the shards that go far to hosts near their targets."""
        if not isinstance(self._rule.destination, ShardGroup):
            return []
        part_requirements = tuple(
            part.request.requirements for part in self._parts
        )
        planned = plan_batches(
            part_requirements, self._placement, self._peers, now
        )
        return [self._send_batch(batch, now, merged=True) for batch in planned]

    def flush(self, now: float) -> list[Action]:
        """Send the attempts that were decided on.

        Those to another region go through a host there: its connections to
        its targets are open, and several shards take one request.
        """
        actions: list[Action] = []
        far: dict[str, list[int]] = {}
        for queued in self._queued:
            region = self._remote_region(queued.placed)
            if region and self._peers.choose(region) is not None:
                far.setdefault(region, []).append(queued.position)
            else:
                actions.append(self._send(queued, now))
        self._queued.clear()
        for region, positions in far.items():
            peer = self._peers.choose(region)
            if peer is not None:
                batch = Batch(peer, region, tuple(positions))
                actions.append(self._send_batch(batch, now, merged=False))
        return actions

    def cancel_direct(self, part: Part, now: float) -> list[Action]:
        """Give up the attempts of a part that are on their way."""
        actions: list[Action] = []
        for attempt, sent in tuple(part.in_flight.items()):
            if sent.target is None:
                continue
            part.in_flight.pop(attempt)
            self._part_by_attempt.pop(attempt, None)
            self._placement.seen.note_abandoned(
                sent.target,
                attempt,
                self._stragglers.late_s,
                now,
            )
            actions.append(CancelAttempt(attempt))
        return actions

    def remove_batched(self, part: Part, number: int) -> None:
        """Forget the attempt of a part in a batch."""
        for attempt, sent in tuple(part.in_flight.items()):
            if sent.batch == number:
                part.in_flight.pop(attempt)

    def cancel_all(self, now: float) -> list[Action]:
        """Give up everything that is on its way."""
        actions: list[Action] = []
        for part in self._parts:
            actions.extend(self.cancel_direct(part, now))
        for number, batch in self._batches.items():
            if now >= batch.due_at and not batch.replied:
                self._peers.note_silent(batch.peer.name, now)
            self._peers.note_ended(batch.peer.name)
            actions.append(CancelAttempt(number))
        self._batches.clear()
        return actions

    def _remote_region(self, placed: Chosen) -> str:
        """Give the region of a shard's target if it is another one."""
        if not isinstance(self._rule.destination, ShardGroup):
            return ''
        place = self._placement.place
        region = place.region_of(placed.target.record.data_centre)
        return '' if region == place.region else region

    def _send_batch(
        self,
        batch: Batch,
        now: float,
        *,
        merged: bool,
    ) -> SendBatch:
        number = self._next_attempt()
        round_trip_s = self._placement.seen.way_to_region_s(batch.region)
        batch.sent_at = now
        batch.round_trip_s = round_trip_s
        batch.awaits_merged = merged
        round_trip_s += PEER_MARGIN_S
        batch.due_at = now + round_trip_s + self._stragglers.late_s
        self.batch_count += 1
        self._batches[number] = batch
        self._peers.note_sent(batch.peer.name)
        sent: list[BatchPart] = []
        for position in batch.positions:
            part = self._parts[position]
            attempt = self._next_attempt()
            part.in_flight[attempt] = Attempt(now, round_trip_s, None, number)
            part.delivered_count += 1
            part.attempt_log.append(self._log_entry(batch.region, now))
            part.tried.update(
                target.record.identity
                for target in self._placement.targets_in(
                    part.service,
                    batch.region,
                )
            )
            sent.append(BatchPart(attempt, part.service))
        self.sent_count += 1
        return SendBatch(
            batch=number,
            peer=batch.peer,
            parts=tuple(sent),
            regions=frozenset((batch.region,)),
            top_records=getattr(self._rule.destination, 'top_records', 0),
            merged=merged,
            floor=b'' if merged else self._floor(),
            late_s=self._stragglers.late_s,
            work_s=self._stragglers.work_s,
            deadline=self._times.deadline,
        )

    def _floor(self) -> bytes:
        """Give the record that those of further shards must exceed.

        Only records that stay in the answer count: what a hedge gave for a
        shard of a merged batch is taken out again when that batch comes.
        """
        destination = self._rule.destination
        if not isinstance(destination, ShardGroup):
            return b''
        replaceable: set[int] = set()
        for batch in self._batches.values():
            if batch.awaits_merged:
                replaceable.update(batch.positions)
        bodies = [
            part.answer.body
            for part in self._parts
            if part.answer is not None and part.position not in replaceable
        ]
        return top_records_floor(
            [*bodies, *self._merged], destination.top_records
        )

    def _send(self, queued: _QueuedAttempt, now: float) -> SendAttempt:
        part = self._parts[queued.position]
        placed = queued.placed
        attempt = self._next_attempt()
        round_trip_s = self._placement.seen.way_s(placed.target)
        part.in_flight[attempt] = Attempt(now, round_trip_s, placed.target)
        part.tried.add(placed.target.record.identity)
        part.delivered_count += 1
        place = placed.target.record.data_centre
        part.attempt_log.append(self._log_entry(place, now))
        self.sent_count += 1
        self._part_by_attempt[attempt] = part
        self._placement.note_sent(placed.target, attempt, now)
        return SendAttempt(
            attempt=attempt,
            target=placed.target,
            deadline=self._times.deadline,
            hedge=queued.hedge,
        )

    def _log_entry(self, place: str, now: float) -> str:
        return f'{place}+{(now - self._times.started) * MS_PER_S:.0f}'
