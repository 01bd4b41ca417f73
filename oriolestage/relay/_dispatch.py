"""Sends the attempts of one request, directly or through other hosts.

A run decides that a part gets an attempt; this module knows how attempts
travel and which of them are on their way.
"""

import dataclasses
from collections.abc import Callable, Sequence

from oriolestage.relay._first_wave import Batch, plan_batches
from oriolestage.relay._merge import floor_of
from oriolestage.relay._parts import Attempt, Part
from oriolestage.relay._peers import PeerDirectory
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import ChosenTarget
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._run_types import (
    Action,
    BatchPart,
    CancelAttempt,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.relay._stragglers import WorkWatch

#: Time for the work of another host on a batch, in seconds. Its reply tells
#: which shards are late, so only a host that is lost exceeds this.
PEER_MARGIN_S = 0.025
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Launch:
    """An attempt that was decided on and is not sent yet."""

    #: Position of the part.
    position: int
    placed: ChosenTarget
    hedge: bool = False


class Dispatch:
    """The attempts and batches of one request."""

    def __init__(
        self,
        rule: RouteRule,
        times: RunTimes,
        parts: tuple[Part, ...],
        placement: Placement,
        peers: PeerDirectory,
        watch: WorkWatch,
        merged: Sequence[bytes],
        next_attempt: Callable[[], int],
    ) -> None:
        """Start with nothing on its way.

        ``merged`` holds the records that merged batches gave so far.
        """
        self.sends = 0
        self.batches = 0
        self._rule = rule
        self._times = times
        self._parts = parts
        self._placement = placement
        self._peers = peers
        self._watch = watch
        self._merged = merged
        self._next_attempt = next_attempt
        self._of_attempt: dict[int, Part] = {}
        self._batches: dict[int, Batch] = {}
        self._launches: list[_Launch] = []

    def part_of(self, attempt: int) -> Part | None:
        """Give the part of an attempt that is over; None if it was dropped."""
        return self._of_attempt.pop(attempt, None)

    def batch(self, number: int) -> Batch | None:
        """Give a batch that is on its way; None if it was dropped."""
        return self._batches.get(number)

    def batched(self, part: Part, number: int) -> Attempt | None:
        """Give the attempt of a part in a batch, if it is on its way."""
        for attempt in part.live.values():
            if attempt.batch == number:
                return attempt
        return None

    def forget_batch(self, number: int) -> None:
        """Forget a batch that is over."""
        self._batches.pop(number, None)

    def queue(
        self,
        part: Part,
        placed: ChosenTarget,
        *,
        hedge: bool = False,
    ) -> None:
        """Note that a part gets an attempt with the next ``flush``."""
        self._launches.append(_Launch(part.position, placed, hedge))

    def first_batches(self, now: float) -> list[Action]:
        """Give the shards that go far to hosts near their targets."""
        if not isinstance(self._rule.destination, ShardGroup):
            return []
        wants = tuple(part.request.wanted for part in self._parts)
        planned = plan_batches(wants, self._placement, self._peers, now)
        return [self._send_batch(batch, now, merged=True) for batch in planned]

    def flush(self, now: float) -> list[Action]:
        """Send the attempts that were decided on.

        Those to another region go through a host there: its connections to
        its targets are open, and several shards take one request.
        """
        actions: list[Action] = []
        far: dict[str, list[int]] = {}
        for launch in self._launches:
            region = self._far_region(launch.placed)
            if region and self._peers.choose(region) is not None:
                far.setdefault(region, []).append(launch.position)
            else:
                actions.append(self._send(launch, now))
        self._launches.clear()
        for region, positions in far.items():
            peer = self._peers.choose(region)
            if peer is not None:
                batch = Batch(peer, region, tuple(positions))
                actions.append(self._send_batch(batch, now, merged=False))
        return actions

    def drop_live(self, part: Part, now: float) -> list[Action]:
        """Give up the attempts of a part that are on their way."""
        actions: list[Action] = []
        for attempt, sent in tuple(part.live.items()):
            if sent.target is None:
                continue
            part.live.pop(attempt)
            self._of_attempt.pop(attempt, None)
            self._placement.observations.record_abandoned(
                sent.target,
                attempt,
                self._watch.late_s,
                now,
            )
            actions.append(CancelAttempt(attempt))
        return actions

    def drop_batched(self, part: Part, number: int) -> None:
        """Forget the attempt of a part in a batch."""
        for attempt, sent in tuple(part.live.items()):
            if sent.batch == number:
                part.live.pop(attempt)

    def drop_all(self, now: float) -> list[Action]:
        """Give up everything that is on its way."""
        actions: list[Action] = []
        for part in self._parts:
            actions.extend(self.drop_live(part, now))
        for number, batch in self._batches.items():
            if now >= batch.due_at and not batch.replied:
                self._peers.record_silent(batch.peer.name, now)
            self._peers.record_ended(batch.peer.name)
            actions.append(CancelAttempt(number))
        self._batches.clear()
        return actions

    def _far_region(self, placed: ChosenTarget) -> str:
        """Give the region of a shard's target if it is another one."""
        if not isinstance(self._rule.destination, ShardGroup):
            return ''
        location = self._placement.location
        region = location.region_of(placed.target.record.data_centre)
        return '' if region == location.region else region

    def _send_batch(
        self,
        batch: Batch,
        now: float,
        *,
        merged: bool,
    ) -> SendBatch:
        number = self._next_attempt()
        round_trip_s = self._placement.observations.round_trip_to_region_s(
            batch.region
        )
        batch.sent_at = now
        batch.round_trip_s = round_trip_s
        batch.awaits_merged = merged
        round_trip_s += PEER_MARGIN_S
        batch.due_at = now + round_trip_s + self._watch.late_s
        self.batches += 1
        self._batches[number] = batch
        self._peers.record_sent(batch.peer.name)
        sent: list[BatchPart] = []
        for position in batch.positions:
            part = self._parts[position]
            attempt = self._next_attempt()
            part.live[attempt] = Attempt(now, round_trip_s, None, number)
            part.arrivals += 1
            part.history.append(self._step(batch.region, now))
            part.tried.update(
                target.record.identity
                for target in self._placement.targets_in_region(
                    part.service,
                    batch.region,
                )
            )
            sent.append(BatchPart(attempt, part.service))
        self.sends += 1
        return SendBatch(
            batch=number,
            peer=batch.peer,
            parts=tuple(sent),
            regions=frozenset((batch.region,)),
            top_records=getattr(self._rule.destination, 'top_records', 0),
            merged=merged,
            floor=b'' if merged else self._floor(),
            late_s=self._watch.late_s,
            work_s=self._watch.work_s,
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
        return floor_of([*bodies, *self._merged], destination.top_records)

    def _send(self, launch: _Launch, now: float) -> SendAttempt:
        part = self._parts[launch.position]
        placed = launch.placed
        attempt = self._next_attempt()
        round_trip_s = self._placement.observations.round_trip_s(placed.target)
        part.live[attempt] = Attempt(now, round_trip_s, placed.target)
        part.tried.add(placed.target.record.identity)
        part.arrivals += 1
        location = placed.target.record.data_centre
        part.history.append(self._step(location, now))
        self.sends += 1
        self._of_attempt[attempt] = part
        self._placement.record_sent(placed.target, attempt, now)
        return SendAttempt(
            attempt=attempt,
            target=placed.target,
            deadline=self._times.deadline,
            hedge=launch.hedge,
        )

    def _step(self, location: str, now: float) -> str:
        return f'{location}+{(now - self._times.started) * MS_PER_S:.0f}'
