"""Chooses the target of an attempt.

Answers the load pattern in which some targets of many services are slow,
paused, silent or failing at once: each attempt goes to the target from which
an answer is expected first, by what this host has seen of it, and a target
without room is passed over.
"""

import dataclasses
from collections.abc import Collection, Mapping

from oriolestage.relay._target_load import TargetLoad
from oriolestage.relay._targets import KnownTarget, TargetDirectory
from oriolestage.relay._warm_up import WarmUpBounds, WarmUpPacer

#: Delay assumed of a target before it is known, by distance, in seconds.
PRIOR_SAME_DATA_CENTRE_S = 0.015
PRIOR_SAME_REGION_S = 0.017
PRIOR_OTHER_REGION_S = 0.055
#: Factor on the expected delay of a cold target.
COLD_FACTOR = 1.6
#: Attempts of one host that may wait at a target beyond its slots.
QUEUED_LIMIT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlace:
    """Where this host stands."""

    name: str
    data_centre: str
    #: Region of each data centre.
    regions: Mapping[str, str]

    @property
    def region(self) -> str:
        """Region of this host."""
        return self.regions.get(self.data_centre, '')


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What an attempt needs of its target."""

    service: str
    #: Regions that may serve it; empty means all.
    regions: frozenset[str]
    #: Connections that a target accepts from all hosts; 0 means no limit.
    connection_limit: int = 0
    #: Requests a second that a cold target carries; 0 means no limit.
    warm_up_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The target that an attempt goes to."""

    target: KnownTarget
    #: Expected delay of the answer, in seconds.
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """Targets exist, but none may take an attempt now."""

    #: Time after which one may have room, in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """The service has no usable target."""


Placed = Chosen | NoRoom | NoTarget

#: Time after which a full target may have room, in seconds.
FULL_WAIT_S = 0.01


class Placement:
    """Chooses targets and keeps what was seen of them."""

    def __init__(
        self,
        place: HostPlace,
        directory: TargetDirectory,
        warm_up: WarmUpBounds,
    ) -> None:
        """Start without knowledge of any target's behaviour."""
        self._place = place
        self._directory = directory
        self._warm_up = warm_up
        self._loads: dict[str, TargetLoad] = {}
        self._pacers: dict[str, WarmUpPacer] = {}
        self._hosts: tuple[str, ...] = (place.name,)

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the hosts that share the targets, this one included."""
        return self._hosts

    def set_hosts(self, names: Collection[str]) -> None:
        """Set the hosts that share the targets."""
        self._hosts = tuple(sorted({*names, self._place.name}))

    def load_of(self, target: KnownTarget) -> TargetLoad:
        """Give what was seen of a target's present process."""
        record = target.record
        name = f'{record.identity}/{record.started_ms}'
        load = self._loads.get(name)
        if load is None:
            load = TargetLoad(self._prior_s(record.data_centre))
            self._loads[name] = load
        return load

    def forget_targets(self) -> None:
        """Drop what was seen of targets that are no longer known."""
        known = {
            f'{target.record.identity}/{target.record.started_ms}'
            for target in self._directory.all_targets()
        }
        for name, load in tuple(self._loads.items()):
            if name not in known and not load.outstanding:
                self._loads.pop(name)
                self._pacers.pop(name.rpartition('/')[0], None)

    def choose(
        self,
        wanted: Wanted,
        excluded: Collection[str],
        now: float,
    ) -> Placed:
        """Choose the target from which an answer is expected first."""
        best: Chosen | None = None
        wait_s = float('inf')
        for target in self._directory.usable(wanted.service):
            if target.record.identity in excluded:
                continue
            if not self._allowed(target, wanted.regions):
                continue
            load = self.load_of(target)
            busy_s = self._busy_s(target, load, wanted, now)
            if busy_s > 0:
                wait_s = min(wait_s, busy_s)
                continue
            expected_s = load.expected_s(target.record.slots, now)
            if target.cold_until > now:
                expected_s *= COLD_FACTOR
            if best is None or expected_s < best.expected_s:
                best = Chosen(target, expected_s)
        if best is not None:
            return best
        return NoTarget() if wait_s == float('inf') else NoRoom(wait_s)

    def note_sent(self, target: KnownTarget, attempt: int, now: float) -> None:
        """Note that an attempt is on its way to a target."""
        self.load_of(target).note_sent(attempt, now)
        if target.cold_until > now:
            self._pacer(target).note_sent(now)

    def _allowed(self, target: KnownTarget, regions: frozenset[str]) -> bool:
        if not regions:
            return True
        region = self._place.regions.get(target.record.data_centre, '')
        return region in regions

    def _busy_s(
        self,
        target: KnownTarget,
        load: TargetLoad,
        wanted: Wanted,
        now: float,
    ) -> float:
        """Give the time for which a target has no room; 0 if it has."""
        if load.is_down(now):
            return max(FULL_WAIT_S, load.down_until - now)
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
                self._place.name,
                self._hosts,
                now,
            )
            if not allowed:
                return FULL_WAIT_S
        return 0

    def _pacer(self, target: KnownTarget) -> WarmUpPacer:
        identity = target.record.identity
        pacer = self._pacers.get(identity)
        if pacer is None:
            pacer = WarmUpPacer(self._warm_up)
            self._pacers[identity] = pacer
        return pacer

    def _prior_s(self, data_centre: str) -> float:
        if data_centre == self._place.data_centre:
            return PRIOR_SAME_DATA_CENTRE_S
        region = self._place.regions.get(data_centre)
        if region == self._place.region:
            return PRIOR_SAME_REGION_S
        return PRIOR_OTHER_REGION_S
