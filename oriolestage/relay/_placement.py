"""Chooses the target of an attempt.

Answers the load pattern in which some targets of many services are slow,
paused, silent or failing at once: each attempt goes to the target from which
an answer is expected first, by what this host has seen of it, and a target
without room is passed over.
"""

from collections.abc import Callable, Collection, Iterator

from oriolestage.relay._state_changes import StateChange
from oriolestage.relay._observations import Observations, process_name
from oriolestage.relay._placement_types import (
    ChosenTarget,
    HostLocation,
    NoRoom,
    NoTarget,
    PlacementResult,
    TargetRequirements,
)
from oriolestage.relay._targets import KnownTarget, TargetDirectory
from oriolestage.relay._warm_up import WarmUpBounds, WarmUpPacer

#: Attempts of one host that may wait at a target beyond its slots.
QUEUED_LIMIT = 4
#: Time after which a full target may have room, in seconds.
FULL_WAIT_S = 0.01
#: Shortest time for which another host's lack of room is remembered, in
#: seconds: a way to another region and back.
MIN_DECLINED_S = 0.05


class Placement:
    """Chooses targets and keeps what was seen of them."""

    def __init__(
        self,
        location: HostLocation,
        directory: TargetDirectory,
        warm_up: WarmUpBounds,
        on_change: Callable[[StateChange], None],
    ) -> None:
        """Start without knowledge of any target's behaviour.

        ``on_change`` is told when a target is left alone or used again.
        """
        self.location = location
        self.observations = Observations(location, on_change)
        self._directory = directory
        self._warm_up = warm_up
        self._pacers: dict[str, WarmUpPacer] = {}
        self._hosts: tuple[str, ...] = (location.name,)

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts that share the targets, this one included."""
        return self._hosts

    def replace_hosts(self, names: Collection[str]) -> None:
        """Set the hosts that share the targets."""
        self._hosts = tuple(sorted({*names, self.location.name}))

    def forget_removed_targets(self) -> None:
        """Drop what was seen of targets that are no longer known."""
        known = {
            process_name(target) for target in self._directory.all_targets()
        }
        for name in self.observations.prune(known):
            self._pacers.pop(name, None)

    def choose(
        self,
        requirements: TargetRequirements,
        excluded: Collection[str],
        now: float,
    ) -> PlacementResult:
        """Choose the target from which an answer is expected first."""
        best: ChosenTarget | None = None
        wait_s = float('inf')
        for target in self._candidates(requirements, excluded):
            busy_s = self._busy_s(target, requirements, now)
            if busy_s > 0:
                wait_s = min(wait_s, busy_s)
                continue
            expected_s = self.observations.expected_s(
                target, requirements.route, now
            )
            if best is None or expected_s < best.expected_s:
                best = ChosenTarget(target, expected_s)
        if best is not None:
            return best
        return NoTarget() if wait_s == float('inf') else NoRoom(wait_s)

    def targets_in_region(self, service: str, region: str) -> list[KnownTarget]:
        """Give a service's targets in one region."""
        return [
            target
            for target in self._directory.usable(service)
            if self.location.region_of(target.record.data_centre) == region
        ]

    def record_sent(
        self, target: KnownTarget, attempt: int, now: float
    ) -> None:
        """Note that an attempt is on its way to a target."""
        self.observations.record_sent(target, attempt, now)
        if target.cold_until > now:
            self._pacer(target).record_sent(now)

    def record_batch_part(
        self,
        service: str,
        region: str,
        now: float,
        *,
        late: bool,
    ) -> None:
        """Note what another host saw of a service in its region."""
        for target in self.targets_in_region(service, region):
            load = self.observations.load_of(target)
            if late:
                load.record_late(now)
            else:
                load.record_work(1, now)

    def record_declined(
        self,
        service: str,
        region: str,
        room_after_s: float,
        now: float,
    ) -> None:
        """Note that a host found no room for a service in its region."""
        for target in self.targets_in_region(service, region):
            self.observations.load_of(target).record_full(
                now + max(room_after_s, MIN_DECLINED_S),
            )

    def _candidates(
        self,
        requirements: TargetRequirements,
        excluded: Collection[str],
    ) -> Iterator[KnownTarget]:
        """Give the targets that may serve, with or without room."""
        for target in self._directory.usable(requirements.service):
            if target.record.identity in excluded:
                continue
            region = self.location.region_of(target.record.data_centre)
            if requirements.regions and region not in requirements.regions:
                continue
            yield target

    def _busy_s(
        self,
        target: KnownTarget,
        requirements: TargetRequirements,
        now: float,
    ) -> float:
        """Give the time for which a target has no room; 0 if it has."""
        load = self.observations.load_of(target)
        if load.in_backoff(now):
            return max(FULL_WAIT_S, load.backoff_until - now)
        if now < load.full_until:
            return max(FULL_WAIT_S, load.full_until - now)
        limit = target.record.slots + QUEUED_LIMIT
        if requirements.connection_limit:
            share = requirements.connection_limit // len(self._hosts)
            limit = min(limit, max(1, share))
        if load.outstanding >= limit:
            return FULL_WAIT_S
        if requirements.warm_up_rate and target.cold_until > now:
            allowed = self._pacer(target).allows(
                target.record.identity,
                requirements.warm_up_rate,
                self.location.name,
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
