"""Sends the attempts of one request, directly or through other hosts.

``AttemptPolicy`` decides which part gets an attempt at which target. This
module decides whether the attempt goes directly to the target or in a batch
to an entry host of the target's region, and tracks what is in flight.
"""

import dataclasses
from collections.abc import Callable, Sequence

from oriolestage.admission._waiting_line import Waiter
from oriolestage.routing._answers import TargetAnswer
from oriolestage.routing._batch_planning import Batch, plan_batches
from oriolestage.routing._due_parts import DueParts
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._host_choice import HostChooser
from oriolestage.routing._merge import GatheredRecords
from oriolestage.routing._parts import Attempt, Part
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import ChosenTarget, PlacementResult
from oriolestage.routing._rules import RouteRule, ShardGroup
from oriolestage.routing._run_types import (
    Action,
    BatchPart,
    CancelAttempt,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing._stragglers import StragglerDetector
from oriolestage.routing._target_choice import TargetChooser

#: Processing time allowed for another host on a batch, in seconds. The host
#: replies without the shards that are late, so only a host that is down or
#: unreachable takes longer.
PEER_MARGIN_S = 0.025
MS_PER_S = 1000
#: Time of sending of an attempt that is decided and not sent yet.
UNSENT = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedAttempt:
    """An attempt that the next ``flush`` sends."""

    #: Index of the part in the request.
    position: int
    placed: ChosenTarget
    hedge: bool = False
    #: True if an attempt of the part was made before.
    repeat: bool = False


class AttemptDispatcher:
    """Sends and tracks the attempts and batches of one request."""

    def __init__(
        self,
        rule: RouteRule,
        times: RunTimes,
        parts: tuple[Part, ...],
        placement: Placement,
        peers: PeerDirectory,
        chooser: TargetChooser,
        stragglers: StragglerDetector,
        records: GatheredRecords,
        due: DueParts,
        next_attempt: Callable[[], int],
        waiter: Waiter | None,
    ) -> None:
        """Start with nothing in flight.

        The records of answers are merged into ``records``, and parts with a
        new attempt are added to ``due``. ``waiter`` is told of the attempts.
        """
        self.sent_count = 0
        self.batch_count = 0
        self._rule = rule
        self._times = times
        self._parts = parts
        self._placement = placement
        self._peers = peers
        self._chooser = chooser
        self._gathers = isinstance(rule.destination, ShardGroup)
        self._hosts = HostChooser(placement, peers, gathers=self._gathers)
        self._stragglers = stragglers
        self._records = records
        self._due = due
        self._next_attempt = next_attempt
        self._waiter = waiter
        self._part_by_attempt: dict[int, Part] = {}
        self._batches: dict[int, Batch] = {}
        self._queued: list[_QueuedAttempt] = []

    def change_times(self, times: RunTimes) -> None:
        """Send attempts with another deadline from now on."""
        self._times = times

    def pop_part(self, attempt: int) -> Part | None:
        """Return and forget the part of a direct attempt that has ended.

        Return None if the attempt was cancelled.
        """
        return self._part_by_attempt.pop(attempt, None)

    def record_unsent(self, attempt: int) -> None:
        """Record that a direct attempt is not late until it was sent."""
        self._record_sent_at(attempt, UNSENT)

    def record_sent(self, attempt: int, now: float) -> None:
        """Record when a direct attempt was sent, if it is still in flight."""
        part = self._record_sent_at(attempt, now)
        if part is not None:
            self._due.add(part)

    def _record_sent_at(self, attempt: int, sent_at: float) -> Part | None:
        part = self._part_by_attempt.get(attempt)
        if part is None:
            return None
        sent = part.in_flight[attempt]
        sent.sent_at = sent_at
        if sent.target is not None:
            self._placement.observations.record_sent(
                sent.target, attempt, sent_at
            )
        return part

    def batch(self, number: int) -> Batch | None:
        """Return a batch in flight; None if it has ended or was cancelled."""
        return self._batches.get(number)

    def attempt_in_batch(self, part: Part, number: int) -> Attempt | None:
        """Return a part's attempt in a batch; None if it is not in flight."""
        for attempt in part.in_flight.values():
            if attempt.batch == number:
                return attempt
        return None

    def forget_batch(self, number: int) -> None:
        """Stop tracking a batch that has ended."""
        self._batches.pop(number, None)

    def store_answer(self, part: Part, answer: TargetAnswer) -> None:
        """Store the answer of a part and merge its records.

        They are merged only when the result is built if a merged batch that
        may contain the part is outstanding: its reply replaces them.
        """
        if self._gathers and not self._awaits_merged(part):
            self._records.add(answer.body)
            answer = dataclasses.replace(answer, body=b'')
        part.record_answer(answer)

    def enqueue(
        self,
        part: Part,
        placed: ChosenTarget,
        *,
        hedge: bool = False,
    ) -> None:
        """Add an attempt of a part, to be sent by the next ``flush``."""
        self._queued.append(
            _QueuedAttempt(part.position, placed, hedge, part.attempted)
        )

    def send_first_batches(
        self, now: float
    ) -> tuple[list[Action], Sequence[PlacementResult]]:
        """Batch the shards served by another region to hosts there.

        Record the batched attempts as in flight. Return the batches and the
        choice for each part, which is empty if the request is not a query.
        """
        if not self._gathers:
            return [], ()
        plan = plan_batches(
            self._parts, self._chooser, self._placement, self._peers, now
        )
        actions: list[Action] = [
            self._send_batch(batch, now, merged=True) for batch in plan.batches
        ]
        return actions, plan.choices

    def flush(self, now: float) -> list[Action]:
        """Return the actions that send the queued attempts.

        Attempts at shards in another region go through an entry host there,
        which already has connections to its targets and takes several shards
        in one request.
        """
        actions: list[Action] = []
        remote: dict[tuple[HostRecord, str, bool], list[int]] = {}
        for queued in self._queued:
            part = self._parts[queued.position]
            part.relay_count += queued.placed.relayed
            peer = self._hosts.choose(part, queued.placed, now)
            if peer is None:
                actions.append(self._send_direct(queued, now))
                continue
            if not self._gathers:
                actions.append(self._send_relayed(queued, peer, now))
                continue
            region = self._hosts.remote_region(queued.placed)
            group = (peer, region, queued.repeat)
            remote.setdefault(group, []).append(queued.position)
        self._queued.clear()
        for (peer, region, repeat), positions in remote.items():
            batch = Batch(peer, region, tuple(positions))
            actions.append(
                self._send_batch(batch, now, merged=False, repeat=repeat)
            )
        return actions

    def cancel_direct(self, part: Part, now: float) -> list[Action]:
        """Cancel the direct attempts of a part that are in flight."""
        actions: list[Action] = []
        for attempt, sent in tuple(part.in_flight.items()):
            if sent.target is None and not sent.relay:
                continue
            part.remove_attempt(attempt)
            self._part_by_attempt.pop(attempt, None)
            actions.append(CancelAttempt(attempt))
            if sent.target is None:
                self._peers.record_ended(sent.relay)
                continue
            if self._waiter is not None:
                self._waiter.record_ended(attempt, now)
            if sent.sent_at == UNSENT:
                self._placement.record_withdrawn(sent.target, attempt, now)
                continue
            self._placement.observations.record_abandoned(
                sent.target,
                attempt,
                self._stragglers.late_s,
                now,
            )
        return actions

    def withdraw_all(self, now: float) -> None:
        """Remove all attempts and batches, none of which was sent.

        They do not count against the limits of their targets.
        """
        for part in self._parts:
            for number, attempt in tuple(part.in_flight.items()):
                part.remove_attempt(number)
                if attempt.target is not None:
                    self._placement.record_withdrawn(
                        attempt.target, number, now
                    )
                elif attempt.relay:
                    self._peers.record_ended(attempt.relay)
        for batch in self._batches.values():
            self._peers.record_ended(batch.peer.name)
        self._batches.clear()
        self._part_by_attempt.clear()

    def remove_batched(self, part: Part, number: int) -> None:
        """Remove a part's attempt in a batch from those in flight."""
        for attempt, sent in tuple(part.in_flight.items()):
            if sent.batch == number:
                part.remove_attempt(attempt)

    def cancel_all(self, now: float) -> list[Action]:
        """Cancel all direct attempts and batches in flight.

        A host whose batch is overdue without any reply is marked silent.
        """
        actions: list[Action] = []
        for part in self._parts:
            actions.extend(self.cancel_direct(part, now))
        for number, batch in self._batches.items():
            if now >= batch.due_at and not batch.replied:
                self._peers.record_silent(batch.peer.name, now)
            self._peers.record_ended(batch.peer.name)
            actions.append(CancelAttempt(number))
        self._batches.clear()
        return actions

    def _awaits_merged(self, part: Part) -> bool:
        """Return whether a merged body with the part may still arrive."""
        for attempt in part.in_flight.values():
            batch = self._batches.get(attempt.batch)
            if batch is not None and batch.awaits_merged:
                return True
        return False

    def _send_batch(
        self,
        batch: Batch,
        now: float,
        *,
        merged: bool,
        repeat: bool = False,
    ) -> SendBatch:
        number = self._next_attempt()
        round_trip_s = self._hosts.round_trip_s(batch.peer, batch.region)
        batch.sent_at = now
        batch.round_trip_s = round_trip_s
        batch.awaits_merged = merged
        batch.unanswered = {
            self._parts[position].service: position
            for position in batch.positions
        }
        round_trip_s += PEER_MARGIN_S
        batch.due_at = now + round_trip_s + self._stragglers.late_s
        self.batch_count += 1
        self._batches[number] = batch
        self._peers.record_sent(batch.peer.name)
        sent: list[BatchPart] = []
        for position in batch.positions:
            part = self._parts[position]
            attempt = self._next_attempt()
            part.add_attempt(attempt, Attempt(now, round_trip_s, None, number))
            self._due.add(part)
            part.delivered_count += 1
            part.trace.append(self._log_entry(batch.region, now))
            part.tried.update(
                target.record.identity
                for target in self._placement.targets_in_region(
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
            floor=b'' if merged else self._records.floor,
            late_s=self._stragglers.late_s,
            work_s=self._stragglers.work_s,
            deadline=self._times.deadline,
            repeat=repeat,
        )

    def _send_direct(self, queued: _QueuedAttempt, now: float) -> SendAttempt:
        part = self._parts[queued.position]
        placed = queued.placed
        attempt = self._next_attempt()
        round_trip_s = self._placement.observations.round_trip_s(placed.target)
        part.add_attempt(attempt, Attempt(now, round_trip_s, placed.target))
        self._due.add(part)
        part.tried.add(placed.target.record.identity)
        part.delivered_count += 1
        data_centre = placed.target.record.data_centre
        part.trace.append(self._log_entry(data_centre, now))
        self.sent_count += 1
        self._part_by_attempt[attempt] = part
        self._placement.record_sent(placed.target, attempt, now)
        if self._waiter is not None:
            self._waiter.record_sent(part.service, attempt, now)
        return SendAttempt(
            attempt=attempt,
            target=placed.target,
            deadline=self._times.deadline,
            hedge=queued.hedge,
        )

    def _send_relayed(
        self, queued: _QueuedAttempt, peer: HostRecord, now: float
    ) -> SendAttempt:
        """Return an attempt at a single service through another host."""
        part = self._parts[queued.position]
        target = queued.placed.target
        attempt = self._next_attempt()
        region = self._placement.region_of(target)
        round_trip_s = self._hosts.round_trip_s(peer, region) + PEER_MARGIN_S
        part.add_attempt(
            attempt, Attempt(now, round_trip_s, None, relay=peer.name)
        )
        self._due.add(part)
        part.delivered_count += 1
        part.trace.append(self._log_entry(peer.name, now))
        self.sent_count += 1
        self._part_by_attempt[attempt] = part
        self._peers.record_sent(peer.name)
        return SendAttempt(
            attempt=attempt,
            target=target,
            deadline=self._times.deadline,
            hedge=queued.hedge,
            relay=peer,
            repeat=queued.repeat,
        )

    def _log_entry(self, destination: str, now: float) -> str:
        return f'{destination}+{(now - self._times.started) * MS_PER_S:.0f}'
