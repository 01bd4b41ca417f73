"""What decides the place of a request among those that wait for capacity."""

import dataclasses
from collections.abc import Callable

#: What limits the targets of a request: its route and the regions that may
#: serve it. Requests of one kind at a service can use the same targets.
Kind = tuple[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Place of a request in a line."""

    #: Priority of the account if it has one, else that of the route; 0 is
    #: served first.
    priority: int
    #: Name of the account; empty without one.
    account: str
    #: Monotonic time at which its latency objective ends, in seconds.
    objective: float
    kind: Kind

    @property
    def route(self) -> str:
        """Name of the route."""
        return self.kind[0]


class Ticket:
    """One request in the lines of all services that it waits for."""

    __slots__ = ('_woken', 'on_woken', 'rank')

    def __init__(self, rank: Rank) -> None:
        """Create a ticket that waits for nothing."""
        self.rank = rank
        #: Called once when the request should try again to be placed.
        self.on_woken: Callable[[], None] = _do_nothing
        self._woken: set[str] = set()

    def wake(self, service: str) -> None:
        """Have the request try again at a service."""
        if service in self._woken:
            return
        self._woken.add(service)
        if len(self._woken) == 1:
            self.on_woken()

    def take_woken(self) -> set[str]:
        """Return the services at which to try again; clear them."""
        woken = self._woken
        self._woken = set()
        return woken


def _do_nothing() -> None:
    """Stand in for the driver of a request that has none yet."""
