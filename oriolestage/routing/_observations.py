"""Load, health and expected delay of all targets, as observed by this host.

Work is the time that a target takes to process a request, without the round
trip.
"""

from collections.abc import Callable, Collection

from oriolestage.pacing._target_paces import (
    PACED_BACKOFF_LIMIT_S,
    TargetPaces,
)
from oriolestage.routing._delays import (
    PRIOR_OTHER_REGION_S,
    PRIOR_SAME_DATA_CENTRE_S,
    PRIOR_SAME_REGION_S,
    DelayModel,
)
from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_load import BACKOFF_LIMIT_S, TargetLoad
from oriolestage.routing._target_reach import TargetReach
from oriolestage.routing._targets import KnownTarget

#: Work of a cold target as a multiple of that of a warm one.
COLD_FACTOR = 1.6


class Observations:
    """Load and health by target process, and a delay model for all of them.

    A target that restarts is a new process and starts without history.
    """

    def __init__(
        self,
        location: HostLocation,
        on_change: Callable[[StateChange], None],
        paces: TargetPaces | None = None,
    ) -> None:
        """Start without observations.

        ``on_change`` is called with the log event when a target enters
        back-off or answers again. ``paces`` is told what replies say about
        their targets; None if targets are not paced.
        """
        self._location = location
        self._on_change = on_change
        self._paces = paces
        self._backoff_limit_s = (
            BACKOFF_LIMIT_S if paces is None else PACED_BACKOFF_LIMIT_S
        )
        self._delays = DelayModel()
        self.reach = TargetReach(on_change)
        self._loads: dict[str, TargetLoad] = {}

    def load_of(self, target: KnownTarget) -> TargetLoad:
        """Return the load and health of a target's current process."""
        load = self._loads.get(target.process)
        if load is None:
            load = TargetLoad(self._backoff_limit_s)
            self._loads[target.process] = load
        return load

    def prune(self, processes: Collection[str]) -> list[str]:
        """Drop processes that are idle and not in ``processes``.

        Return the names of the dropped ones.
        """
        forgotten = [
            name
            for name, load in self._loads.items()
            if name not in processes and not load.outstanding
        ]
        for name in forgotten:
            self._loads.pop(name)
        return forgotten

    def round_trip_to_region_s(self, region: str) -> float:
        """Return the shortest round trip to a region, in seconds."""
        round_trips = [
            self._round_trip_to_s(data_centre)
            for data_centre, candidate in self._location.regions.items()
            if candidate == region
        ]
        return min(round_trips, default=PRIOR_OTHER_REGION_S)

    def round_trip_s(self, target: KnownTarget) -> float:
        """Return the round-trip time to a target, in seconds."""
        return self._round_trip_to_s(target.record.data_centre)

    def work_s(self, route: str) -> float:
        """Return the typical work of one request of a route, in seconds."""
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
            self.round_trip_s(target),
            work_s,
            target.record.slots,
            now,
        )

    def record_sent(
        self, target: KnownTarget, attempt: int, now: float
    ) -> None:
        """Record that an attempt was sent to a target."""
        self.load_of(target).record_sent(attempt, now)

    def record_answer(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> float:
        """Record an answer; return the work that it took, in seconds."""
        delay_s = now - self.load_of(target).sent_at(attempt, now)
        self._record_response(target, attempt, now, failed=False)
        data_centre = target.record.data_centre
        return self._delays.record_round_trip(
            data_centre,
            self._prior_round_trip_s(data_centre),
            delay_s,
        )

    def record_slowness(
        self,
        target: KnownTarget,
        work_ratio: float,
        now: float,
    ) -> None:
        """Record the work of an answer as a multiple of that of others."""
        self.load_of(target).record_work(work_ratio, now)
        if self._paces is not None:
            self._paces.record_ratio(target, work_ratio, now)

    def record_work(self, route: str, worked_s: float) -> None:
        """Record the work of one request of a route, in seconds."""
        self._delays.record_work(route, worked_s)
        if self._paces is not None:
            self._paces.record_work(route, worked_s)

    def record_failure(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> None:
        """Record a refusal or an error that a target answered."""
        self._record_response(target, attempt, now, failed=True)

    def record_abandoned(
        self,
        target: KnownTarget,
        attempt: int,
        late_s: float,
        now: float,
    ) -> None:
        """Record an abandoned attempt.

        It counts as late if it had taken more than ``late_s`` seconds of work.
        """
        load = self.load_of(target)
        earlier_until = load.backoff_until
        waited_s = self.round_trip_s(target) + late_s
        sent_at = load.sent_at(attempt, now)
        if now - sent_at >= waited_s:
            self.reach.record_unreached(target.process, sent_at, now)
            if self._paces is not None:
                self._paces.record_late(target)
        load.record_abandoned(attempt, now, waited_s, self._spread_s(target))
        self._report_new_backoff(target, earlier_until, 'silent', now)

    def record_lost(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
        *,
        responded: bool,
    ) -> None:
        """Record an attempt that ended without a valid answer.

        ``responded`` tells whether a complete response was received. Without
        one, nothing shows that the target is reached.
        """
        load = self.load_of(target)
        earlier_until = load.backoff_until
        sent_at = load.sent_at(attempt, now)
        if responded:
            self.reach.record_response(now)
        else:
            self.reach.record_unreached(target.process, sent_at, now)
        load.record_lost(
            attempt, now, self._spread_s(target), responded=responded
        )
        if self._paces is not None:
            self._paces.record_failed(target)
        self._report_new_backoff(target, earlier_until, 'lost', now)

    def record_not_reached(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
    ) -> None:
        """Record that no connection to a target could be made."""
        load = self.load_of(target)
        earlier_until = load.backoff_until
        sent_at = load.sent_at(attempt, now)
        self.reach.record_unreached(target.process, sent_at, now)
        load.record_not_reached(attempt, now, self._spread_s(target))
        self._report_new_backoff(target, earlier_until, 'not_reached', now)

    def _record_response(
        self,
        target: KnownTarget,
        attempt: int,
        now: float,
        *,
        failed: bool,
    ) -> None:
        load = self.load_of(target)
        was_awaiting_recovery = load.awaiting_recovery
        self.reach.record_response(now)
        load.record_answer(attempt, now, failed=failed)
        if was_awaiting_recovery:
            self._report('target_answers_again', target, failed=failed)
        if self._paces is None:
            return
        if was_awaiting_recovery:
            self._paces.record_recovered(target, now)
        if failed:
            self._paces.record_failed(target)

    def _spread_s(self, target: KnownTarget) -> float:
        """Return by how much this host's part in probing extends back-off."""
        if self._paces is None:
            return 0
        return self._paces.probe_spread_s(target)

    def _report_new_backoff(
        self,
        target: KnownTarget,
        earlier_until: float,
        cause: str,
        now: float,
    ) -> None:
        load = self.load_of(target)
        if load.backoff_until <= earlier_until:
            return
        if self._paces is not None:
            self._paces.record_unreached(target, now)
        self._report(
            'target_left_alone',
            target,
            cause=cause,
            for_s=load.backoff_until - now,
            outstanding=load.outstanding,
            slowness=load.slowness(now),
            failure_rate=load.failure_rate(now),
        )

    def _report(
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
        self._on_change(StateChange(event, tuple(named.items())))

    def _round_trip_to_s(self, data_centre: str) -> float:
        round_trip_s = self._delays.round_trip_s(data_centre)
        if round_trip_s is None:
            return self._prior_round_trip_s(data_centre)
        return round_trip_s

    def _prior_round_trip_s(self, data_centre: str) -> float:
        if data_centre == self._location.data_centre:
            return PRIOR_SAME_DATA_CENTRE_S
        if self._location.region_of(data_centre) == self._location.region:
            return PRIOR_SAME_REGION_S
        return PRIOR_OTHER_REGION_S
