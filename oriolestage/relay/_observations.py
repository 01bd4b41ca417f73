"""What this host has seen of the targets, and the delays it expects."""

from collections.abc import Callable, Collection

from oriolestage.relay._beliefs import BeliefChanged
from oriolestage.relay._delays import (
    PRIOR_OTHER_REGION_S,
    PRIOR_SAME_DATA_CENTRE_S,
    PRIOR_SAME_REGION_S,
    DelayModel,
)
from oriolestage.relay._placement_types import HostPlace
from oriolestage.relay._target_load import TargetLoad
from oriolestage.relay._targets import KnownTarget

#: Factor on the expected work of a cold target.
COLD_FACTOR = 1.6


class Observations:
    """Keeps the load and behaviour of each target's present process."""

    def __init__(
        self,
        place: HostPlace,
        on_change: Callable[[BeliefChanged], None],
    ) -> None:
        """Start without knowledge of any target's behaviour.

        ``on_change`` is told when a target is left alone or used again.
        """
        self._place = place
        self._on_change = on_change
        self._delays = DelayModel()
        self._loads: dict[str, TargetLoad] = {}

    def load_of(self, target: KnownTarget) -> TargetLoad:
        """Give what was seen of a target's present process."""
        name = process_name(target)
        load = self._loads.get(name)
        if load is None:
            load = TargetLoad()
            self._loads[name] = load
        return load

    def keep_only(self, processes: Collection[str]) -> list[str]:
        """Forget idle processes that are not listed; give their names."""
        forgotten = [
            name
            for name, load in self._loads.items()
            if name not in processes and not load.outstanding
        ]
        for name in forgotten:
            self._loads.pop(name)
        return forgotten

    def way_to_region_s(self, region: str) -> float:
        """Give the delay of the way to a region and back, in seconds."""
        ways = [
            self._way_to_s(data_centre)
            for data_centre, its_region in self._place.regions.items()
            if its_region == region
        ]
        return min(ways, default=PRIOR_OTHER_REGION_S)

    def way_s(self, target: KnownTarget) -> float:
        """Give the delay of the way to a target and back, in seconds."""
        return self._way_to_s(target.record.data_centre)

    def work_s(self, route: str) -> float:
        """Give the usual work of one request of a route, in seconds."""
        return self._delays.work_s(route)

    def expected_s(
        self,
        target: KnownTarget,
        route: str,
        now: float,
    ) -> float:
        """Estimate the delay of one more attempt, in seconds."""
        work_s = self._delays.work_s(route)
        if target.cold_until > now:
            work_s *= COLD_FACTOR
        return self.load_of(target).expected_s(
            self.way_s(target),
            work_s,
            target.record.slots,
            now,
        )

    def note_sent(self, target: KnownTarget, attempt: int, now: float) -> None:
        """Note that an attempt is on its way to a target."""
        self.load_of(target).note_sent(attempt, now)

    def record_answer(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> float:
        """Note an answer; give the work that it took, in seconds."""
        delay_s = now - self.load_of(target).sent_at(attempt, now)
        self._note_alive(target, attempt, now, failed=False)
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
        self.load_of(target).record_work(times_usual, now)

    def record_work(self, route: str, worked_s: float) -> None:
        """Note the work of one request of a route."""
        self._delays.record_work(route, worked_s)

    def note_failure(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> None:
        """Note an answer of a target that did not do the work."""
        self._note_alive(target, attempt, now, failed=True)

    def note_abandoned(
        self,
        target: KnownTarget,
        attempt: int,
        late_s: float,
        now: float,
    ) -> None:
        """Note an attempt that was given up; ``late_s`` of work is late."""
        load = self.load_of(target)
        known_until = load.down_until
        load.note_abandoned(attempt, now, self.way_s(target) + late_s)
        self._tell_if_left_alone(target, known_until, 'silent', now)

    def note_lost(self, target: KnownTarget, attempt: int, now: float) -> None:
        """Note an attempt that ended without a whole answer."""
        self.load_of(target).note_lost(attempt, now)

    def note_not_reached(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> None:
        """Note that a target could not be reached."""
        load = self.load_of(target)
        known_until = load.down_until
        load.note_not_reached(attempt, now)
        self._tell_if_left_alone(target, known_until, 'not_reached', now)

    def _note_alive(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
        *,
        failed: bool,
    ) -> None:
        load = self.load_of(target)
        was_left_alone = load.left_alone
        load.record_answer(attempt, now, failed=failed)
        if was_left_alone:
            self._tell('target_answers_again', target, failed=failed)

    def _tell_if_left_alone(
        self,
        target: KnownTarget,
        known_until: float,
        cause: str,
        now: float,
    ) -> None:
        load = self.load_of(target)
        if load.down_until <= known_until:
            return
        self._tell(
            'target_left_alone',
            target,
            cause=cause,
            for_s=load.down_until - now,
            outstanding=load.outstanding,
            slowness=load.slowness(now),
            failure_rate=load.failure_rate(now),
        )

    def _tell(
        self,
        event: str,
        target: KnownTarget,
        **fields: object,
    ) -> None:
        named = {
            'target': target.record.identity,
            'service': target.record.service,
            'peer': target.record.address,
            **fields,
        }
        self._on_change(BeliefChanged(event, tuple(named.items())))

    def _way_to_s(self, data_centre: str) -> float:
        return self._delays.way_s(data_centre, self._prior_way_s(data_centre))

    def _prior_way_s(self, data_centre: str) -> float:
        if data_centre == self._place.data_centre:
            return PRIOR_SAME_DATA_CENTRE_S
        if self._place.region_of(data_centre) == self._place.region:
            return PRIOR_SAME_REGION_S
        return PRIOR_OTHER_REGION_S


def process_name(target: KnownTarget) -> str:
    """Name the present process of a target."""
    return f'{target.record.identity}/{target.record.started_ms}'
