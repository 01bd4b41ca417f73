"""Chooses the target of an attempt.

Answers the load pattern in which some targets of many services are slow,
paused, silent or failing at once: each attempt goes to the target from which
an answer is expected first, by what this host has seen of it, and a target
without room is passed over.
"""

from collections.abc import Collection, Iterator

from oriolestage.relay._delays import (
    PRIOR_OTHER_REGION_S,
    PRIOR_SAME_DATA_CENTRE_S,
    PRIOR_SAME_REGION_S,
    DelayModel,
)
from oriolestage.relay._placement_types import (
    Chosen,
    HostPlace,
    NoRoom,
    NoTarget,
    Placed,
    Wanted,
)
from oriolestage.relay._target_load import TargetLoad
from oriolestage.relay._targets import KnownTarget, TargetDirectory
from oriolestage.relay._warm_up import WarmUpBounds, WarmUpPacer

#: Factor on the expected delay of a cold target.
COLD_FACTOR = 1.6
#: Attempts of one host that may wait at a target beyond its slots.
QUEUED_LIMIT = 4
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
        self.place = place
        self._directory = directory
        self._warm_up = warm_up
        self._delays = DelayModel()
        self._loads: dict[str, TargetLoad] = {}
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
        known = {_process(target) for target in self._directory.all_targets()}
        for name, load in tuple(self._loads.items()):
            if name not in known and not load.outstanding:
                self._loads.pop(name)
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
            expected_s = self._expected_s(target, wanted, now)
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

    def way_to_region_s(self, region: str) -> float:
        """Give the delay of the way to a region and back, in seconds."""
        ways = [
            self._delays.way_s(data_centre, self._prior_way_s(data_centre))
            for data_centre, place in self.place.regions.items()
            if place == region
        ]
        return min(ways, default=PRIOR_OTHER_REGION_S)

    def work_s(self, route: str) -> float:
        """Give the usual work of one request of a route, in seconds."""
        return self._delays.work_s(route)

    def way_s(self, target: KnownTarget) -> float:
        """Give the delay of the way to a target and back, in seconds."""
        data_centre = target.record.data_centre
        return self._delays.way_s(data_centre, self._prior_way_s(data_centre))

    def note_sent(self, target: KnownTarget, attempt: int, now: float) -> None:
        """Note that an attempt is on its way to a target."""
        self._load(target).note_sent(attempt, now)
        if target.cold_until > now:
            self._pacer(target).note_sent(now)

    def note_answer(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> float:
        """Note an answer; give the work that it took, in seconds."""
        load = self._load(target)
        delay_s = now - load.sent_at(attempt, now)
        load.note_answer(attempt, now, failed=False)
        data_centre = target.record.data_centre
        return self._delays.note_way(
            data_centre,
            self._prior_way_s(data_centre),
            delay_s,
        )

    def note_slowness(
        self,
        target: KnownTarget,
        times_usual: float,
        now: float,
    ) -> None:
        """Note how many times the work of others an answer took."""
        self._load(target).note_work(times_usual, now)

    def note_work(self, route: str, worked_s: float) -> None:
        """Note the work of one request of a route."""
        self._delays.note_work(route, worked_s)

    def note_failure(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> None:
        """Note an answer of a target that did not do the work."""
        self._load(target).note_answer(attempt, now, failed=True)

    def note_abandoned(
        self,
        target: KnownTarget,
        attempt: int,
        late_s: float,
        now: float,
    ) -> None:
        """Note an attempt that was given up; ``late_s`` of work is late."""
        way_s = self.way_s(target)
        self._load(target).note_abandoned(attempt, now, way_s + late_s)

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
            load = self._load(target)
            if late:
                load.note_late(now)
            else:
                load.note_work(1, now)

    def note_lost(self, target: KnownTarget, attempt: int, now: float) -> None:
        """Note an attempt that ended without a whole answer."""
        self._load(target).note_lost(attempt, now)

    def note_not_reached(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> None:
        """Note that a target could not be reached."""
        self._load(target).note_not_reached(attempt, now)

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

    def _load(self, target: KnownTarget) -> TargetLoad:
        """Give what was seen of a target's present process."""
        name = _process(target)
        load = self._loads.get(name)
        if load is None:
            load = TargetLoad()
            self._loads[name] = load
        return load

    def _expected_s(
        self,
        target: KnownTarget,
        wanted: Wanted,
        now: float,
    ) -> float:
        work_s = self._delays.work_s(wanted.route)
        if target.cold_until > now:
            work_s *= COLD_FACTOR
        return self._load(target).expected_s(
            self.way_s(target),
            work_s,
            target.record.slots,
            now,
        )

    def _busy_s(
        self,
        target: KnownTarget,
        wanted: Wanted,
        now: float,
    ) -> float:
        """Give the time for which a target has no room; 0 if it has."""
        load = self._load(target)
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
                self.place.name,
                self._hosts,
                now,
            )
            if not allowed:
                return FULL_WAIT_S
        return 0

    def _pacer(self, target: KnownTarget) -> WarmUpPacer:
        name = _process(target)
        pacer = self._pacers.get(name)
        if pacer is None:
            pacer = WarmUpPacer(self._warm_up)
            self._pacers[name] = pacer
        return pacer

    def _prior_way_s(self, data_centre: str) -> float:
        if data_centre == self.place.data_centre:
            return PRIOR_SAME_DATA_CENTRE_S
        if self.place.region_of(data_centre) == self.place.region:
            return PRIOR_SAME_REGION_S
        return PRIOR_OTHER_REGION_S


def _process(target: KnownTarget) -> str:
    """Name the present process of a target."""
    return f'{target.record.identity}/{target.record.started_ms}'
