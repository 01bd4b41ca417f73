"""Counts the responses that this host gets, by service, version and route."""

import dataclasses
from oriolestage.rollouts._counts import (
    RouteCounts,
    add_by_route,
    bucket_of,
    copy_by_route,
)
from oriolestage.rollouts._orders import HostEvidence, RolloutOrder

#: Time after which older responses of the old version are forgotten while
#: there is no order, in seconds; they are kept for up to twice as long.
WINDOW_S = 60.0
#: Volume of a new version without requests.
NO_VOLUME = (0, 0)

_ByRoute = dict[str, RouteCounts]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt ended."""

    service: str
    version: str
    route: str
    #: Time that the target had, without the network, in seconds.
    work_s: float
    #: True if the response was an error, invalid or cut off.
    failed: bool = False
    #: True if the attempt ended without waiting for a response.
    abandoned: bool = False

    def count(self, totals: _ByRoute) -> None:
        """Add this attempt to counts by route."""
        counts = totals.setdefault(self.route, RouteCounts())
        if self.abandoned:
            counts.abandoned[bucket_of(self.work_s)] += 1
            return
        counts.responses += 1
        if self.failed:
            counts.failures += 1
        else:
            counts.work[bucket_of(self.work_s)] += 1


class _Window:
    """Responses of the last one or two minutes."""

    def __init__(self, now: float) -> None:
        self._current: _ByRoute = {}
        self._previous: _ByRoute = {}
        self._turns_at = now + WINDOW_S

    def count(self, ended: AttemptEnd, now: float) -> None:
        if now >= self._turns_at:
            self._previous = self._current
            self._current = {}
            self._turns_at = now + WINDOW_S
        ended.count(self._current)

    def totals(self) -> _ByRoute:
        totals: _ByRoute = {}
        add_by_route(totals, self._previous)
        add_by_route(totals, self._current)
        return totals


@dataclasses.dataclass(slots=True)
class _OrderCounts:
    """Counts since the order for one service."""

    order: RolloutOrder
    #: Responses from before the order.
    base: _ByRoute
    old: _ByRoute = dataclasses.field(default_factory=dict)
    new: _ByRoute = dataclasses.field(default_factory=dict)
    ramp: _ByRoute = dataclasses.field(default_factory=dict)
    #: True from the time at which this host learned of the ramp.
    ramping: bool = False
    requests: int = 0
    exposed: int = 0
    changed: bool = True
    #: The counters as they were last taken, and last written to the store.
    taken: HostEvidence | None = None
    written: HostEvidence | None = None


class OwnEvidence:
    """Counters of this process; cumulative for each order."""

    def __init__(self, host: str, process: str) -> None:
        """Start without counts."""
        self.process = process
        self._host = host
        self._windows: dict[str, _Window] = {}
        self._counts: dict[str, _OrderCounts] = {}

    def start(self, order: RolloutOrder) -> None:
        """Count for an order from now on."""
        window = self._windows.get(order.service)
        base: _ByRoute = {}
        if window is not None:
            base = window.totals()
        self._counts[order.service] = _OrderCounts(order, base)

    def confirm(self, order: RolloutOrder) -> None:
        """Count on for an order that was written again.

        Hosts that start later know only its new revision.
        """
        counts = self._counts.get(order.service)
        if counts is not None:
            counts.order = order
            counts.changed = True

    def counts_for(self, service: str) -> bool:
        """Return whether there is an order for a service."""
        return service in self._counts

    def start_ramp(self, service: str) -> None:
        """Count the responses of the new version as those of its ramp."""
        counts = self._counts.get(service)
        if counts is not None:
            counts.ramping = True

    def stop(self, service: str) -> None:
        """Forget the counts of an order that was removed."""
        self._counts.pop(service, None)

    def record_sent(self, service: str, version: str) -> None:
        """Count an attempt that is sent to a target."""
        counts = self._counts.get(service)
        if counts is None:
            return
        counts.requests += 1
        counts.changed = True
        if version == counts.order.target_version:
            counts.exposed += 1

    def record_end(self, ended: AttemptEnd, now: float) -> None:
        """Count the end of an attempt."""
        counts = self._counts.get(ended.service)
        if counts is not None:
            counts.changed = True
            if ended.version == counts.order.target_version:
                ended.count(counts.new)
                if counts.ramping:
                    ended.count(counts.ramp)
                return
            ended.count(counts.old)
        window = self._windows.get(ended.service)
        if window is None:
            window = _Window(now)
            self._windows[ended.service] = window
        window.count(ended, now)

    def take(self, service: str, elapsed_s: float) -> HostEvidence | None:
        """Return the counters if they changed since they were last taken."""
        counts = self._counts.get(service)
        if counts is None or not counts.changed:
            return None
        counts.changed = False
        counts.taken = HostEvidence(
            service=service,
            host=self._host,
            process=self.process,
            order=counts.order.revision,
            elapsed_s=elapsed_s,
            requests=counts.requests,
            exposed=counts.exposed,
            old=copy_by_route(counts.old),
            new=copy_by_route(counts.new),
            ramp=copy_by_route(counts.ramp),
            base=counts.base,
        )
        return counts.taken

    def unwritten(self, service: str, *, new_only: bool) -> HostEvidence | None:
        """Return the counters last taken if they are not written yet.

        With ``new_only`` only if those of the new version have changed.
        """
        counts = self._counts.get(service)
        if counts is None or counts.taken is counts.written:
            return None
        taken, written = counts.taken, counts.written
        if taken is None or not taken.requests:
            return None
        known_volume = NO_VOLUME if written is None else written.new_volume
        if new_only and taken.new_volume == known_volume:
            return None
        return taken

    def forget_written(self) -> None:
        """Record that the store has lost the counters of this process."""
        for counts in self._counts.values():
            counts.written = None

    def record_written(self, evidence: HostEvidence) -> None:
        """Record that counters were written to the store."""
        counts = self._counts.get(evidence.service)
        if counts is not None:
            counts.written = evidence
