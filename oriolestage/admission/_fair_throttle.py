"""Refuses requests of busy accounts before targets turn them away.

Answers the load pattern in which a service is overloaded by many hosts, of
which each sends little: no request waits at a host, and targets turn away the
requests of all accounts alike. A host learns from its own results how many
requests the service takes from it, and divides them evenly among the accounts
and routes, by priority. Those that send less than their part are not limited.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from oriolestage.admission._throughput import ReturnTimes
from oriolestage.admission._waiting_ranks import Rank

#: Time after which an observation counts for 1/e, in seconds.
MEMORY_S = 5.0
#: Shortest time between two divisions, in seconds.
DIVISION_INTERVAL_S = 0.1
#: Requests admitted for each that was answered, so that more room is noticed.
PROBE_FACTOR = 1.25
#: Least share of all requests that is admitted. Targets that turn away a part
#: of the requests whatever their number must not end in no requests at all.
LEAST_ADMITTED = 0.25
#: Requests turned away, and their share, from which on requests are limited.
MIN_TURNED_AWAY = 2.0
MIN_TURNED_AWAY_SHARE = 0.05
#: Requests in a row that found room after which nothing is limited. Their share
#: turned away is then likely below `MIN_TURNED_AWAY_SHARE`.
ANSWERED_IN_ROW = 20
#: Least share of the requests of a priority that are admitted, relative to
#: that of all.
LEAST_SHARE = 0.4
#: Requests of an account and a route below which they are forgotten.
FORGOTTEN_BELOW = 0.05

#: Account and route.
_Sender = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Use:
    """Recent requests of one sender."""

    offered: float = 0
    #: Rises by the share that is admitted with each request, and falls by one
    #: with each that is, which spaces them evenly.
    credit: float = 0


class FairThrottle:
    """Limits the senders of requests to one service or shard group."""

    def __init__(self, rng: random.Random) -> None:
        """Start without observations; ``rng`` spreads refused callers."""
        self._returns = ReturnTimes(rng)
        self._uses: dict[int, dict[_Sender, _Use]] = {}
        self._answered: float = 0
        self._turned_away: float = 0
        #: Requests that found room since the last one that did not.
        self._in_row = 0
        self._divided_at = float('-inf')
        #: Recent requests up to which a sender is not limited, by priority;
        #: empty without limits.
        self._levels: dict[int, float] = {}

    def admits(self, rank: Rank, now: float) -> bool:
        """Count a request; return whether it may be sent."""
        if now - self._divided_at >= DIVISION_INTERVAL_S:
            self._divide(now)
        uses = self._uses.setdefault(rank.priority, {})
        use = uses.setdefault((rank.account, rank.route), _Use())
        use.offered += 1
        level = self._levels.get(rank.priority, math.inf)
        if use.offered <= level:
            return True
        use.credit += level / use.offered
        if use.credit < 1:
            return False
        use.credit -= 1
        return True

    def record_result(self, *, turned_away: bool) -> None:
        """Record whether an admitted request found room."""
        if turned_away:
            self._turned_away += 1
            self._in_row = 0
            return
        self._answered += 1
        self._in_row += 1
        if self._in_row >= ANSWERED_IN_ROW:
            self._turned_away = 0

    def return_after_s(self, now: float) -> float:
        """Return after which time a refused caller should return, in seconds."""
        interval_s = MEMORY_S / max(1, self._answered)
        return self._returns.next_s(0, interval_s, now)

    def _divide(self, now: float) -> None:
        """Have older observations count less, and set the levels."""
        self._forget(math.exp((self._divided_at - now) / MEMORY_S))
        self._divided_at = now
        self._levels = {}
        least = MIN_TURNED_AWAY_SHARE * (self._answered + self._turned_away)
        if self._turned_away < max(MIN_TURNED_AWAY, least):
            return
        offered = {
            priority: [use.offered for use in uses.values()]
            for priority, uses in sorted(self._uses.items())
        }
        total = sum(sum(requests) for requests in offered.values())
        room = max(PROBE_FACTOR * self._answered, LEAST_ADMITTED * total)
        share = LEAST_SHARE * room / max(room, total)
        reserved = share * total
        for priority, requests in offered.items():
            least = share * sum(requests)
            reserved -= least
            part = max(least, room - reserved)
            level = _level(requests, part)
            self._levels[priority] = max(1, level)
            room -= sum(min(one, level) for one in requests)

    def _forget(self, factor: float) -> None:
        self._answered *= factor
        self._turned_away *= factor
        for priority, uses in tuple(self._uses.items()):
            for sender, use in tuple(uses.items()):
                use.offered *= factor
                if use.offered < FORGOTTEN_BELOW:
                    uses.pop(sender)
            if not uses:
                self._uses.pop(priority)


def _level(requests: Iterable[float], room: float) -> float:
    """Return how many requests of each sender fit in the room.

    Senders with fewer leave the rest of their part to the others.
    """
    ordered = sorted(requests)
    for number, one in enumerate(ordered):
        part = room / (len(ordered) - number)
        if one >= part:
            return part
        room -= one
    return math.inf
