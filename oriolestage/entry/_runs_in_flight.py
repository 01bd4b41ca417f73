"""The requests that a host runs, which a stop ends in time."""

import contextlib
import dataclasses
import time
from collections.abc import Iterator

from oriolestage._logging import log_event
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._run_driver import RunDriver
from oriolestage.routing._answers import (
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    RequestResult,
)
from oriolestage.routing._recent_durations import RecentDurations
from oriolestage.routing._rules import RouteRule
from oriolestage.routing._stop_plan import RequestNeed, can_end_in_time


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    route: str
    #: Monotonic time at which the request arrived.
    arrived_at: float


class RunsInFlight:
    """Keeps track of running requests and of how long they take."""

    def __init__(self) -> None:
        """Start without requests, at a host that is not being stopped."""
        #: Monotonic time at which all requests end.
        self._ends_at = float('inf')
        self._running: dict[RunDriver, _Running] = {}
        self._durations = RecentDurations()
        self._cut_count = 0

    @property
    def ends_at(self) -> float:
        """Monotonic time at which all requests end; infinite without a stop."""
        return self._ends_at

    @property
    def cut_count(self) -> int:
        """Number of requests that ended because the host was stopped."""
        return self._cut_count

    def end_by(self, ends_at: float) -> None:
        """End all requests by a time, those that run already too."""
        self._ends_at = ends_at
        for driver in self._running:
            driver.end_by(ends_at)

    def can_take(self, rule: RouteRule, request: CallerRequest) -> bool:
        """Return whether a request that has been read may be run."""
        if self._ends_at == float('inf'):
            return True
        now = time.monotonic()
        wait_s = rule.timeout_s
        if request.metadata.time_left_s is not None:
            wait_s = min(wait_s, request.metadata.time_left_s)
        need = RequestNeed(
            deadline=request.arrived_at + wait_s,
            repeatable=rule.repeatable,
            usual_s=self._usual_s(rule.name, now),
        )
        return can_end_in_time(need, self._ends_at, now)

    @contextlib.contextmanager
    def track(
        self, driver: RunDriver, route: str, arrived_at: float
    ) -> Iterator[None]:
        """Keep track of a request while it runs."""
        self._running[driver] = _Running(route, arrived_at)
        try:
            yield
        finally:
            self._running.pop(driver)

    def record_result(
        self, request: CallerRequest, route: str, result: RequestResult
    ) -> None:
        """Record how a request ended; log it if it was cut by the stop."""
        now = time.monotonic()
        age_s = now - request.arrived_at
        match result:
            case Delivered() | Gathered():
                self._durations.record(route, age_s, now)
            case Failed(reason=GiveUpReason.STOPPING):
                self._cut_count += 1
                log_event(
                    'request_cut',
                    {
                        'step': 'stop',
                        'id': request.metadata.request_id,
                        'age_s': age_s,
                        'phase': 'targets',
                    },
                )

    def _usual_s(self, route: str, now: float) -> float | None:
        """Return the longest recent time of a route's requests in seconds.

        Those that still run count too. None if there were too few.
        """
        longest_s = self._durations.longest_s(route, now)
        if longest_s is None:
            return None
        ages = (
            now - running.arrived_at
            for running in self._running.values()
            if running.route == route
        )
        return max(longest_s, max(ages, default=0))
