"""Chooses the target of an attempt.

Answers the load pattern in which some targets of many services are slow,
paused, silent or failing at once: each attempt goes to the target from which
an answer is expected first, by what this host has seen of it, and a target
without room is passed over.
"""

from collections.abc import Callable, Collection, Iterator

from oriolestage.relay._beliefs import BeliefChanged
from oriolestage.relay._observations import Observations, process_name
from oriolestage.relay._placement_types import (
    Chosen,
    HostPlace,
    NoRoom,
    NoTarget,
    Placed,
    Wanted,
)
from oriolestage.relay._targets import KnownTarget, TargetDirectory
from oriolestage.relay._warm_up import WarmUpBounds, WarmUpPacer

#: Attempts of one host that may wait at a target beyond its slots.
QUEUED_LIMIT = 4
#: Time after which a full target may have room, in seconds.
FULL_WAIT_S = 0.01
#: Shortest time for which another host's lack of room is remembered, in
#: seconds: a way to another region and back.
DECLINED_S = 0.05


class Placement:
    """Chooses targets and keeps what was seen of them."""

    def __init__(
        self,
        place: HostPlace,
        directory: TargetDirectory,
        warm_up: WarmUpBounds,
        on_change: Callable[[BeliefChanged], None],
    ) -> None:
        """Start without knowledge of any target's behaviour.

        ``on_change`` is told when a target is left alone or used again.
        """
        self.place = place
        self.seen = Observations(place, on_change)
        self._directory = directory
        self._warm_up = warm_up
        self._pacers: dict[str, WarmUpPacer] = {}
        self._hosts: tuple[str, ...] = (place.name,)

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts that share the targets, this one included."""
        return self._hosts

    def share_with(self, names: Collection[str]) -> None:
        """Set the hosts that share the targets."""
        self._hosts = tuple(sorted({*names, self.place.name}))

    def forget_targets(self) -> None:
        """Drop what was seen of targets that are no longer known."""
        known = {
            process_name(target) for target in self._directory.all_targets()
        }
        for name in self.seen.keep_only(known):
            self._pacers.pop(name, None)

    def choose(
        self,
        wanted: Wanted,
        excluded: Collection[str],
        now: float,
    ) -> Placed:
        """Choose the target from which an answer is expected first."""
        best: Chosen | None = None
        wait_s = float('inf')
        for target in self._candidates(wanted, excluded):
            busy_s = self._busy_s(target, wanted, now)
            if busy_s > 0:
                wait_s = min(wait_s, busy_s)
                continue
            expected_s = self.seen.expected_s(target, wanted.route, now)
            if best is None or expected_s < best.expected_s:
                best = Chosen(target, expected_s)
        if best is not None:
            return best
        return NoTarget() if wait_s == float('inf') else NoRoom(wait_s)

    def targets_in(self, service: str, region: str) -> list[KnownTarget]:
        """Give a service's targets in one region."""
        return [
            target
            for target in self._directory.usable(service)
            if self.place.region_of(target.record.data_centre) == region
        ]

    def note_sent(self, target: KnownTarget, attempt: int, now: float) -> None:
        """Note that an attempt is on its way to a target."""
        self.seen.note_sent(target, attempt, now)
        if target.cold_until > now:
            self._pacer(target).note_sent(now)

    def note_batched(
        self,
        service: str,
        region: str,
        now: float,
        *,
        late: bool,
    ) -> None:
        """Note what another host saw of a service in its region."""
        for target in self.targets_in(service, region):
            load = self.seen.load_of(target)
            if late:
                load.note_late(now)
            else:
                load.record_work(1, now)

    def note_declined(
        self,
        service: str,
        region: str,
        room_after_s: float,
        now: float,
    ) -> None:
        """Note that a host found no room for a service in its region."""
        for target in self.targets_in(service, region):
            self.seen.load_of(target).note_full(
                now + max(room_after_s, DECLINED_S),
            )

    def _candidates(
        self,
        wanted: Wanted,
        excluded: Collection[str],
    ) -> Iterator[KnownTarget]:
        """Give the targets that may serve, with or without room."""
        for target in self._directory.usable(wanted.service):
            if target.record.identity in excluded:
                continue
            region = self.place.region_of(target.record.data_centre)
            if wanted.regions and region not in wanted.regions:
                continue
            yield target

    def _busy_s(
        self,
        target: KnownTarget,
        wanted: Wanted,
        now: float,
    ) -> float:
        """Give the time for which a target has no room; 0 if it has."""
        load = self.seen.load_of(target)
        if load.is_down(now):
            return max(FULL_WAIT_S, load.down_until - now)
        if now < load.full_until:
            return max(FULL_WAIT_S, load.full_until - now)
        limit = target.record.slots + QUEUED_LIMIT
        if wanted.connection_limit:
            share = wanted.connection_limit // len(self._hosts)
            limit = min(limit, max(1, share))
        if load.outstanding >= limit:
            return FULL_WAIT_S
        if wanted.warm_up_rate and target.cold_until > now:
            allowed = self._pacer(target).allows(
                target.record.identity,
                wanted.warm_up_rate,
                self.place.name,
                self._hosts,
                now,
            )
            if not allowed:
                return FULL_WAIT_S
        return 0

    def _pacer(self, target: KnownTarget) -> WarmUpPacer:
        name = process_name(target)
        pacer = self._pacers.get(name)
        if pacer is None:
            pacer = WarmUpPacer(self._warm_up)
            self._pacers[name] = pacer
        return pacer
