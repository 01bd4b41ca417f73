"""The line of requests that wait for one service at one host."""

import dataclasses
import random

from oriolestage.admission._fair_order import FairOrder
from oriolestage.admission._throughput import ReturnTimes, Throughput
from oriolestage.admission._waiting_ranks import Kind, Ticket

#: Time for which a route keeps its reserved room after a request, in seconds.
ROUTE_ACTIVE_S = 10.0
#: Share of the room at a service that is reserved for all its routes.
RESERVED_SHARE = 0.25
#: Largest share of the room that one route leaves to the others.
LEFT_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class _RouteUse:
    """Attempts of one route at the service."""

    seen_at: float
    in_flight: int = 0


class ServiceLine:
    """Decides which request may take capacity at a service next.

    Answers bursts: while requests wait, a new one does not take capacity that
    comes free, and each route that was in use of late keeps some room.
    """

    def __init__(self, service: str, rng: random.Random) -> None:
        """Start without requests; ``rng`` spreads refused callers."""
        self.throughput = Throughput()
        self._service = service
        #: Number of waiting requests.
        self.waiting = 0
        self._order = FairOrder()
        self._returns = ReturnTimes(rng)
        self._routes: dict[str, _RouteUse] = {}
        #: Kinds of requests that found no capacity, with the time until which
        #: they find none unless an attempt ends.
        self._held: dict[Kind, float] = {}

    def may_try(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request may be placed before all others.

        If others wait, it becomes one of them.
        """
        if not self.waiting:
            return True
        self._add(ticket)
        held = self._held_kinds(now)
        held.discard(ticket.rank.kind)
        return self._order.first(held) is ticket

    def expected_wait_s(self, ticket: Ticket, known_s: float = 0) -> float:
        """Return the time until a waiting request is placed, in seconds.

        ``known_s`` is the time after which its shortage ends; 0 if it ends
        with the next answer. The result is 0 if too little is known: without
        an attempt in flight, no answer says when a target is free.
        """
        if not self.throughput.in_flight:
            return known_s
        interval_s = self.throughput.interval_s
        ahead = self._order.ahead_of(ticket)
        if known_s:
            return max(known_s, ahead * interval_s)
        return (ahead + 1) * interval_s

    def record_shortage(
        self, ticket: Ticket, wait_s: float, now: float
    ) -> None:
        """Record that a request found no capacity and waits.

        Requests of other kinds may find some; the first of them is woken.
        """
        self._add(ticket)
        self._held[ticket.rank.kind] = now + wait_s
        self._wake_first(now)

    def record_placed(self, ticket: Ticket, now: float) -> None:
        """Record that a request is placed; the next one may be, too."""
        if ticket in self._order:
            self._order.record_placed(ticket)
            self.waiting = len(self._order)
            self._held.pop(ticket.rank.kind, None)
            self._wake_first(now)

    def remove(self, ticket: Ticket, now: float) -> None:
        """Remove a request that no longer waits."""
        if ticket not in self._order:
            return
        self._order.remove(ticket)
        self.waiting = len(self._order)
        kind = ticket.rank.kind
        others = {other for other in self._held if other != kind}
        self._wake(self._order.first(others))
        self._wake_first(now)

    def return_after_s(self, wait_s: float, now: float) -> float:
        """Return after which time a refused caller should return, in seconds.

        ``wait_s`` is the time until a target may be free.
        """
        interval_s = self.throughput.interval_s
        drain_s = max(wait_s, self.waiting * interval_s)
        return self._returns.next_s(drain_s, interval_s, now)

    def record_sent(self, route: str, now: float) -> None:
        """Count an attempt of a route."""
        self.throughput.in_flight += 1
        use = self._routes.get(route)
        if use is None:
            use = _RouteUse(now)
            self._routes[route] = use
        use.in_flight += 1
        use.seen_at = now

    def record_ended(self, route: str, now: float) -> None:
        """Record that an attempt has ended; wake the first request."""
        self.throughput.in_flight -= 1
        self._routes[route].in_flight -= 1
        if self.waiting:
            self._held.clear()
            self._wake_first(now)

    def shares_room(self, route: str) -> bool:
        """Return whether a route in use has to leave room for others."""
        if len(self._routes) < 2:
            return False
        own = self._routes.get(route)
        return own is not None and own.in_flight > 0

    def leaves_reserved(
        self, route: str, free: int, total: int, now: float
    ) -> bool:
        """Return whether a route may take one of the free places.

        It has to leave what other routes have reserved and do not use; up to
        its own reserved room it may take any. ``total`` is the room for this
        host's attempts at the service.
        """
        active = {
            name: use
            for name, use in self._routes.items()
            if name == route or now - use.seen_at < ROUTE_ACTIVE_S
        }
        own = active.pop(route, None)
        each = max(1, int(total * RESERVED_SHARE / (len(active) + 1)))
        if own is None or own.in_flight < each:
            return True
        unused = sum(max(0, each - use.in_flight) for use in active.values())
        return free > min(unused, int(total * LEFT_SHARE))

    def _add(self, ticket: Ticket) -> None:
        if not self.waiting:
            self._held.clear()
        self._order.add(ticket)
        self.waiting = len(self._order)

    def _held_kinds(self, now: float) -> set[Kind]:
        return {kind for kind, until in self._held.items() if until > now}

    def _wake_first(self, now: float) -> None:
        self._wake(self._order.first(self._held_kinds(now)))

    def _wake(self, ticket: Ticket | None) -> None:
        if ticket is not None:
            ticket.wake(self._service)
