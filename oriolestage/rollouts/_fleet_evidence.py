"""Sums the counters of all hosts for one order."""

from oriolestage.rollouts._counts import (
    RouteCounts,
    add_by_route,
    subtract_by_route,
)
from oriolestage.rollouts._orders import HostEvidence
from oriolestage.rollouts._verdict import Verdict, judge

#: Mean age of the counters of other hosts, in seconds, and the shortest time
#: from which a rate is derived.
REPORT_AGE_S = 1.8
MIN_RATE_S = 0.7


class FleetEvidence:
    """The highest counters seen from each process, and their sum.

    The counters of a process that is gone are kept.
    """

    def __init__(self) -> None:
        """Start without counters."""
        self.requests = 0
        self.exposed = 0
        self._reports: dict[str, HostEvidence] = {}
        self._old: dict[str, RouteCounts] = {}
        self._new: dict[str, RouteCounts] = {}
        self._ramp: dict[str, RouteCounts] = {}
        self._base: dict[str, RouteCounts] = {}
        self._verdict: Verdict | None = None

    @property
    def verdict(self) -> Verdict:
        """What the counters say about the new version."""
        if self._verdict is None:
            self._verdict = judge(self._old, self._new, self._ramp, self._base)
        return self._verdict

    def rate(self, elapsed_s: float) -> float:
        """Return the requests per second since the order.

        ``elapsed_s`` is the time since the order, in seconds.
        """
        return self.requests / max(MIN_RATE_S, elapsed_s - REPORT_AGE_S)

    def add(self, report: HostEvidence) -> None:
        """Replace the counters of a process if these are newer."""
        known = self._reports.get(report.process)
        if known is not None:
            if not report.newer_than(known):
                return
            self.requests -= known.requests
            self.exposed -= known.exposed
            subtract_by_route(self._old, known.old)
            subtract_by_route(self._new, known.new)
            subtract_by_route(self._ramp, known.ramp)
            subtract_by_route(self._base, known.base)
        self._reports[report.process] = report
        self.requests += report.requests
        self.exposed += report.exposed
        add_by_route(self._old, report.old)
        add_by_route(self._new, report.new)
        add_by_route(self._ramp, report.ramp)
        add_by_route(self._base, report.base)
        self._verdict = None
