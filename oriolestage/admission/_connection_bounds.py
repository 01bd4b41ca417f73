"""Divides the descriptors of a process among the addresses that it serves.

The load that this addresses: clients that open connections and leave them
open, until the process cannot reach its targets, the store or other hosts, or
open a file.
"""

import dataclasses
import heapq
from collections.abc import Iterable

#: Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
#: Parts of the other descriptors that connections of callers, of other hosts,
#: and to each of the readiness and metrics addresses may take. What remains is
#: for the connections that the process opens.
CALLER_SHARE = 0.5
HOST_SHARE = 0.2
CONTROL_SHARE = 0.02
#: Connections that each address accepts in any case.
MIN_CONNECTIONS = 8
#: Part of the connections of an address that are closed at once to make room,
#: so that not each new connection causes a choice.
ROOM_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Most open connections that each address accepts."""

    callers: int
    hosts: int
    #: For the readiness and the metrics address, each.
    control: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingConnection:
    """A connection without a request that runs, as the choice needs it."""

    #: Number that identifies the connection.
    number: int
    #: Whether a request of it has been answered.
    served: bool
    #: Time for which it has waited for its client, in seconds.
    waited_s: float


def connection_bounds(descriptors: int) -> ConnectionBounds:
    """Return the bounds for a process with so many descriptors."""
    free = max(0, descriptors - FILE_DESCRIPTORS)
    return ConnectionBounds(
        callers=_part(free, CALLER_SHARE),
        hosts=_part(free, HOST_SHARE),
        control=_part(free, CONTROL_SHARE),
    )


def choose_left(
    waiting: Iterable[WaitingConnection], bound: int
) -> list[WaitingConnection]:
    """Return the connections to close in favour of new ones.

    Those that never had a request answered come first, and among them those
    that have waited longest.
    """
    number = max(1, int(bound * ROOM_SHARE))
    return heapq.nsmallest(number, waiting, key=_rank)


def _part(free: int, share: float) -> int:
    return max(MIN_CONNECTIONS, int(free * share))


def _rank(waiting: WaitingConnection) -> tuple[bool, float]:
    return waiting.served, -waiting.waited_s
