"""The line of one host: requests that wait for capacity at any service.

Answers the load patterns of too little room: one account with many times its
usual load, a burst on one route, and callers that return after a refusal. A
request that cannot be placed before its refusal would come too late is refused
at once.
"""

import enum
import random
from collections import Counter
from collections.abc import Callable

from oriolestage.admission._fair_throttle import FairThrottle
from oriolestage.admission._service_line import ServiceLine
from oriolestage.admission._waiting_ranks import Rank, Ticket
from oriolestage.routing._state_changes import StateChange

#: Shortest time between two log events on refused requests, in seconds.
LOG_INTERVAL_S = 1.0


class LineRefusal(enum.Enum):
    """Why a request gets no place."""

    #: Those ahead of it take longer than it may wait.
    EXPECTED_WAIT = 'expected_wait'
    #: It has waited as long as it may.
    WAITED = 'waited'
    #: Targets turned its attempts away.
    SHED = 'shed'
    NO_TARGET = 'no_target'
    #: Its account sends more than its fair share of what the service takes.
    ABOVE_SHARE = 'above_share'
    #: No further attempt is allowed after one that was turned away.
    NO_BUDGET = 'no_budget'


class WaitingLine:
    """The lines of all services at one host."""

    def __init__(
        self, rng: random.Random, on_change: Callable[[StateChange], None]
    ) -> None:
        """Start without requests.

        ``rng`` spreads refused callers; ``on_change`` is called with the log
        events.
        """
        #: Requests that were refused a target, by reason.
        self.refusals: Counter[str] = Counter()
        self._rng = rng
        self._on_change = on_change
        self._lines: dict[str, ServiceLine] = {}
        #: Returns the line of a service; None if it was not used yet.
        self.find: Callable[[str], ServiceLine | None] = self._lines.get
        self._throttles: dict[str, FairThrottle] = {}
        self._logged_at = float('-inf')
        #: Refusals since the latest log event.
        self._unlogged = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait; counted at each service."""
        return sum(line.waiting for line in self._lines.values())

    def line(self, service: str) -> ServiceLine:
        """Return the line of a service."""
        line = self._lines.get(service)
        if line is None:
            line = ServiceLine(service, self._rng)
            self._lines[service] = line
        return line

    def throttle(self, destination: str) -> FairThrottle:
        """Return the throttle of a service or shard group."""
        throttle = self._throttles.get(destination)
        if throttle is None:
            throttle = FairThrottle(self._rng)
            self._throttles[destination] = throttle
        return throttle

    def record_refused(
        self,
        service: str,
        reason: LineRefusal,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Count a refused request; log at most every `LOG_INTERVAL_S`."""
        self.refusals[reason.value] += 1
        self._unlogged += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        line = self.line(service)
        named = {
            'service': service,
            'reason': reason.value,
            'refused': self._unlogged,
            'waiting': self.waiting,
            'waiting_here': line.waiting,
            'in_flight': line.throughput.in_flight,
            'interval_s': line.throughput.interval_s,
            'retry_after_s': retry_after_s,
        }
        self._logged_at = now
        self._unlogged = 0
        self._on_change(StateChange('waiting_refused', tuple(named.items())))


class Waiter:
    """One request with the lines that it waits in and its attempts."""

    def __init__(self, line: WaitingLine, rank: Rank) -> None:
        """Create a request that waits for nothing."""
        self._line = line
        self._ticket = Ticket(rank)
        self._route = rank.route
        self._waits: set[str] = set()
        #: Service and time of sending of each attempt in flight.
        self._attempts: dict[int, tuple[ServiceLine, float]] = {}
        self._refused = False

    def call_when_woken(self, on_woken: Callable[[], None]) -> None:
        """Set what is called when ``take_woken`` has services."""
        self._ticket.on_woken = on_woken

    def take_woken(self) -> set[str]:
        """Return the services at which to try again; clear them."""
        return self._ticket.take_woken()

    def may_try(self, service: str, now: float) -> bool:
        """Return whether no better request waits for a service."""
        line = self._line.find(service)
        if line is None or not line.waiting:
            return True
        self._waits.add(service)
        return line.may_try(self._ticket, now)

    def others_wait(self, service: str) -> bool:
        """Return whether requests wait for a service."""
        line = self._line.find(service)
        return line is not None and line.waiting > 0

    def shares_room(self, service: str) -> bool:
        """Return whether the route has to leave room at a service."""
        line = self._line.find(service)
        return line is not None and line.shares_room(self._route)

    def leaves_reserved(
        self, service: str, free: int, total: int, now: float
    ) -> bool:
        """Return whether one of the free places at a service may be taken."""
        line = self._line.line(service)
        return line.leaves_reserved(self._route, free, total, now)

    def record_shortage(self, service: str, wait_s: float, now: float) -> None:
        """Wait for a service at which no target is free for ``wait_s``."""
        self._waits.add(service)
        self._line.line(service).record_shortage(self._ticket, wait_s, now)

    def expected_wait_s(self, service: str, known_s: float = 0) -> float:
        """Return the time until the request is placed; 0 if not known.

        ``known_s`` is the time after which its shortage ends; 0 if it ends
        with the next answer.
        """
        return self._line.line(service).expected_wait_s(self._ticket, known_s)

    def record_placed(self, service: str, now: float) -> None:
        """Record that the request is placed at a service."""
        if service in self._waits:
            self._waits.discard(service)
            self._line.line(service).record_placed(self._ticket, now)

    def leave(self, service: str, now: float) -> None:
        """Wait no longer for a service."""
        if service in self._waits:
            self._waits.discard(service)
            self._line.line(service).remove(self._ticket, now)

    def refuse(
        self, service: str, reason: LineRefusal, wait_s: float, now: float
    ) -> float:
        """Leave the line of a service; return when to come back, in seconds.

        The request counts as refused once, for the first of its services.
        """
        self.leave(service, now)
        line = self._line.line(service)
        retry_after_s = line.return_after_s(wait_s, now)
        if not self._refused:
            self._refused = True
            self._line.record_refused(service, reason, retry_after_s, now)
        return retry_after_s

    def record_sent(self, service: str, attempt: int, now: float) -> None:
        """Record that an attempt was sent to a target of a service."""
        line = self._line.line(service)
        line.record_sent(self._route, now)
        self._attempts[attempt] = (line, now)

    def record_ended(
        self, attempt: int, now: float, *, answered: bool = False
    ) -> None:
        """Record that an attempt has ended, which wakes a waiting request."""
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return
        line, sent_at = sent
        if answered:
            line.throughput.record_answer(now - sent_at)
        line.record_ended(self._route, now)

    def close(self, now: float) -> None:
        """End all waits and attempts."""
        for service in tuple(self._waits):
            self.leave(service, now)
        for attempt in tuple(self._attempts):
            self.record_ended(attempt, now)
