"""Chooses the target of an attempt.

Each attempt goes to the target with the shortest expected delay, estimated
from this host's observations. Targets in back-off or at a limit are skipped.
This copes with targets of many services that are slow, paused, silent or
failing at the same time.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from oriolestage.pacing._target_paces import TargetPaces
from oriolestage.routing._observations import Observations
from oriolestage.routing._placement_types import (
    ChosenTarget,
    HostLocation,
    NoCapacity,
    PlacementResult,
    Room,
    ShortageCause,
    TargetRequirements,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_capacity import TargetCapacity, attempt_limit
from oriolestage.routing._target_rates import TargetRates
from oriolestage.routing._target_selection import TargetSelector
from oriolestage.routing._targets import KnownTarget, TargetDirectory
from oriolestage.routing._version_rules import (
    LAST_EXPOSED,
    NOT_EXPOSED,
    AllVersions,
    VersionRules,
    VersionSplit,
)
from oriolestage.routing._warm_up import WarmUpBounds

#: Shortest time for which no attempt is sent to targets for which another
#: host had no capacity, in seconds: a round trip between regions.
MIN_DECLINED_S = 0.05
#: Delay that sending through another host adds, in seconds: a round trip to a
#: host of the target's region and its work.
RELAY_COST_S = 0.005


class Placement:
    """Chooses targets by expected delay and enforces their limits."""

    def __init__(
        self,
        location: HostLocation,
        directory: TargetDirectory,
        warm_up: WarmUpBounds,
        on_change: Callable[[StateChange], None],
        versions: VersionRules | None = None,
        paces: TargetPaces | None = None,
    ) -> None:
        """Start without observations; this host is the only one.

        ``on_change`` is called with the log event when a target enters
        back-off or answers again. ``versions`` says which versions of targets
        may be used; without it all may. ``paces`` limits the load of targets
        that have started or recovered; None if it is not limited.
        """
        self.location = location
        self._versions: VersionRules = versions or AllVersions()
        self.observations = Observations(location, on_change, paces)
        self.rates = TargetRates(location, on_change)
        self._directory = directory
        self._on_change = on_change
        self._paces = paces
        self._capacity = TargetCapacity(
            location.name, self.observations, self.rates, warm_up, paces
        )
        self._selector = TargetSelector(self._capacity, self.observations)
        self._hosts: tuple[str, ...] = (location.name,)

    @property
    def directory(self) -> TargetDirectory:
        """The targets to choose from."""
        return self._directory

    @property
    def hosts(self) -> tuple[str, ...]:
        """Sorted names of the hosts that share the targets, with this one."""
        return self._hosts

    def replace_hosts(self, regions: Mapping[str, str], now: float) -> None:
        """Replace the hosts that share the targets; this one is added.

        ``regions`` has the region of each registered host by its name.
        """
        own = self.location
        self._hosts = tuple(sorted({*regions, own.name}))
        if self._paces is not None:
            self._paces.replace_hosts(self._hosts)
        if own.name in regions:
            self._capacity.record_registered(now)
        self.rates.replace_hosts(
            {**regions, own.name: own.region},
            self._directory.all_targets(),
            now,
        )

    def forget_removed_targets(self) -> None:
        """Drop the observations of target processes that are gone.

        Those that were removed of late are kept: such a process may register
        again, and its limits hold then as before.
        """
        known = {target.process for target in self._directory.all_targets()}
        known.update(self._directory.removed_processes)
        self._capacity.forget(self.observations.prune(known))
        self.rates.prune(known)

    def draw(self) -> float:
        """Return the draw of a first attempt, see :meth:`choose`."""
        return self._versions.draw()

    def choose(
        self,
        requirements: TargetRequirements,
        excluded: Collection[str],
        now: float,
        *,
        draw: float = NOT_EXPOSED,
        batches: bool = False,
    ) -> PlacementResult:
        """Choose the target with the shortest expected delay.

        ``excluded`` holds identities of targets to skip, such as those that
        were tried before. ``draw`` decides whether the attempt goes to a
        version on trial. If the caller ``batches`` attempts at other regions,
        the host there draws for them, so that the version on trial is used
        here only for attempts that stay in the region.
        """
        split = self._versions.split(requirements.service, now)
        targets = self._candidates(requirements, excluded)
        if split is None:
            return self._choose_among(requirements, targets, now)
        settled = self._settled(split, requirements, excluded)
        usual = self._choose_among(requirements, settled, now)
        if split.spare and not isinstance(usual, ChosenTarget):
            draw = 0
        if not split.exposes(draw):
            return usual
        on_trial = split.on_trial(targets)
        if batches and not split.exposes(LAST_EXPOSED):
            if not self._stays(usual):
                return usual
            on_trial = [
                target
                for target in on_trial
                if self.region_of(target) == self.location.region
            ]
        tried = self._choose_among(requirements, on_trial, now)
        return tried if isinstance(tried, ChosenTarget) else usual

    def permits(
        self, requirements: TargetRequirements, target: KnownTarget, now: float
    ) -> bool:
        """Return whether a region and version allow attempts at a target."""
        return target in self._permitted(requirements, (), now)

    def refuse(
        self, requirements: TargetRequirements, target: KnownTarget, now: float
    ) -> NoCapacity | None:
        """Return why a target has no capacity now, None if it has."""
        return self._capacity.refuse(target, requirements, self._hosts, now)

    def room(self, requirements: TargetRequirements, now: float) -> Room:
        """Return the room for attempts at the targets of a service."""
        free = 0
        total = 0
        for target in self._candidates(requirements, ()):
            refused = self._capacity.refuse(
                target, requirements, self._hosts, now
            )
            limit = attempt_limit(target, requirements, self._hosts)
            if refused is None:
                free += limit - self.observations.load_of(target).outstanding
                total += limit
            elif refused.shortage.cause == ShortageCause.OUTSTANDING:
                total += limit
        return Room(free, total)

    def unreachable(self, requirements: TargetRequirements, now: float) -> bool:
        """Return whether no target is used because none is reached from here.

        That is so while the host reaches no target at all, or while all
        targets that meet the requirements are in back-off.
        """
        if self.observations.reach.cut_off:
            return True
        targets = self._permitted(requirements, (), now)
        return bool(targets) and all(
            self.observations.load_of(target).in_backoff(now)
            for target in targets
        )

    def region_of(self, target: KnownTarget) -> str:
        """Return the region of a target."""
        return self.location.region_of(target.record.data_centre)

    def choose_unreached(
        self,
        requirements: TargetRequirements,
        excluded: Collection[str],
        now: float,
    ) -> ChosenTarget | None:
        """Choose among the targets that are not reached from here.

        These are the targets in back-off, or all while the host reaches none.
        The limits of a target are left to the host that sends the attempt.
        """
        best: ChosenTarget | None = None
        cut_off = self.observations.reach.cut_off
        for target in self._permitted(requirements, excluded, now):
            load = self.observations.load_of(target)
            if now < max(load.full_until, load.rest_until):
                continue
            if not cut_off and not load.in_backoff(now):
                continue
            expected_s = RELAY_COST_S + self.observations.expected_s(
                target, requirements.route, now
            )
            if best is None or expected_s < best.expected_s:
                best = ChosenTarget(target, expected_s, relayed=True)
        return best

    def targets_in_region(self, service: str, region: str) -> list[KnownTarget]:
        """Return the usable targets of a service in one region."""
        return [
            target
            for target in self._directory.usable(service)
            if self.location.region_of(target.record.data_centre) == region
        ]

    def record_sent(
        self, target: KnownTarget, attempt: int, now: float
    ) -> None:
        """Record that an attempt was sent to a target."""
        self.observations.record_sent(target, attempt, now)
        self._capacity.record_sent(target, now)

    def record_withdrawn(
        self, target: KnownTarget, attempt: int, now: float
    ) -> None:
        """Record that an attempt that was decided is not sent after all."""
        self.observations.load_of(target).record_withdrawn(attempt)
        self._capacity.record_withdrawn(target, now)

    def record_rate_limit(
        self, identity: str, limit: float | None, now: float
    ) -> None:
        """Record the rate limit that a response of a target states.

        ``limit`` is in requests per second of all hosts; None for no limit.
        """
        target = self._directory.find_with_removed(identity)
        if target is not None:
            self.rates.record_limit(target, limit, now)

    def record_leaving(self, identity: str) -> None:
        """Send no more attempts to a target that says that it leaves.

        It serves for some time yet, so attempts in flight are not affected.
        """
        target = self._directory.find_with_removed(identity)
        if target is None or target.leaving:
            return
        target.leaving = True
        named = {
            'target': identity,
            'service': target.record.service,
            'peer': target.record.address,
            'draining': target.record.draining,
            'outstanding': self.observations.load_of(target).outstanding,
        }
        self._on_change(StateChange('target_leaving', tuple(named.items())))

    def record_rest(self, identity: str, rest_s: float, now: float) -> None:
        """Record that a target wants no request of this host for a time."""
        target = self._directory.find_with_removed(identity)
        if target is None:
            return
        load = self.observations.load_of(target)
        load.record_rest(now + rest_s, now)
        named = {
            'target': identity,
            'service': target.record.service,
            'peer': target.record.address,
            'for_s': rest_s,
            'outstanding': load.outstanding,
        }
        self._on_change(StateChange('target_rests', tuple(named.items())))

    def record_batch_part(
        self,
        service: str,
        region: str,
        now: float,
        *,
        late: bool,
    ) -> None:
        """Record that another host got a shard's answer, or that it is late.

        The host does not say which target it used, so the observation counts
        for all targets of the service in its region.
        """
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
        retry_after_s: float,
        now: float,
    ) -> None:
        """Record that another host has no capacity for a service.

        Send no attempt to the targets of the service in ``region`` for
        ``retry_after_s``, and for `MIN_DECLINED_S` at least.
        """
        for target in self.targets_in_region(service, region):
            self.observations.load_of(target).record_full(
                now + max(retry_after_s, MIN_DECLINED_S), now
            )

    def _candidates(
        self,
        requirements: TargetRequirements,
        excluded: Collection[str],
    ) -> list[KnownTarget]:
        """Return the targets that meet the requirements, at a limit or not."""
        found: list[KnownTarget] = []
        for target in self._directory.usable(requirements.service):
            if target.record.identity in excluded:
                continue
            region = self.location.region_of(target.record.data_centre)
            if requirements.regions and region not in requirements.regions:
                continue
            found.append(target)
        return found

    def _permitted(
        self,
        requirements: TargetRequirements,
        excluded: Collection[str],
        now: float,
    ) -> list[KnownTarget]:
        """Return the candidates of the versions that all attempts may use.

        While all first attempts go to a version on trial, it is among them.
        """
        targets = self._candidates(requirements, excluded)
        split = self._versions.split(requirements.service, now)
        if split is None:
            return targets
        usable = self._settled(split, requirements, excluded)
        if split.exposes(LAST_EXPOSED):
            usable += split.on_trial(targets)
        return usable

    def _settled(
        self,
        split: VersionSplit,
        requirements: TargetRequirements,
        excluded: Collection[str],
    ) -> list[KnownTarget]:
        """Return the candidates that any attempt may use.

        A version that no order has named stays unused also if all targets of
        the known ones are excluded.
        """
        return [
            target
            for target in split.settled(self._candidates(requirements, ()))
            if target.record.identity not in excluded
        ]

    def _choose_among(
        self,
        requirements: TargetRequirements,
        targets: Iterable[KnownTarget],
        now: float,
    ) -> PlacementResult:
        """Choose among targets that meet the requirements."""
        return self._selector.select(targets, requirements, self._hosts, now)

    def _stays(self, placed: PlacementResult) -> bool:
        """Return whether an attempt stays in the region of this host."""
        if not isinstance(placed, ChosenTarget):
            return True
        return self.region_of(placed.target) == self.location.region
