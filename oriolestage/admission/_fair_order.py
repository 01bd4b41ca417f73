"""Orders the requests that wait for one service.

Answers the load pattern in which one account sends many times its usual load,
or one priority has more requests than the service can take: requests go by
priority, then in turn among the accounts (start-time fair queueing), then by
the time left within the latency objective. A priority that is placed much less
often than all goes first, so that none is starved.
"""

import bisect
import dataclasses
import itertools
import math
from collections.abc import Collection

from oriolestage.admission._waiting_ranks import Kind, Ticket

#: Least share of the requests of a priority that are placed, relative to that
#: of all requests. The bound that accounts need is a quarter.
LEAST_SHARE = 0.4
#: Requests after which the older ones count half.
TALLIED_REQUESTS = 400

#: A waiting request by the time left, with its order among equal ones.
_Entry = tuple[float, int, Ticket]


@dataclasses.dataclass(slots=True)
class _Tally:
    """Requests of one priority that had to wait, and those placed."""

    waited: float = 0
    placed: float = 0

    @property
    def share(self) -> float:
        """Share of the requests that were placed; 1 before the first."""
        return (self.placed + 1) / (self.waited + 1)


class _PriorityClass:
    """The waiting requests of one priority."""

    def __init__(self) -> None:
        """Start without requests."""
        #: Entries by account and kind, least time left first.
        self.queues: dict[tuple[str, Kind], list[_Entry]] = {}
        #: Number of waiting requests by account.
        self.waiting: dict[str, int] = {}
        #: Start tag of the next request of each account.
        self._tags: dict[str, float] = {}
        #: Start tag of the latest request that was placed.
        self._virtual_time: float = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(self.waiting.values())

    def add(self, entry: _Entry) -> None:
        rank = entry[2].rank
        account = rank.account
        if account not in self.waiting:
            tag = self._tags.get(account, 0)
            self._tags[account] = max(tag, self._virtual_time)
        self.waiting[account] = self.waiting.get(account, 0) + 1
        queue = self.queues.setdefault((account, rank.kind), [])
        bisect.insort(queue, entry)

    def remove(self, entry: _Entry) -> None:
        rank = entry[2].rank
        account = rank.account
        queue = self.queues[account, rank.kind]
        queue.pop(bisect.bisect_left(queue, entry))
        if not queue:
            self.queues.pop((account, rank.kind))
        self.waiting[account] -= 1
        if not self.waiting[account]:
            self.waiting.pop(account)

    def charge(self, account: str) -> None:
        """Record that a request of an account was placed."""
        self._virtual_time = self._tags[account]
        self._tags[account] += 1

    def first(self, skipped: Collection[Kind]) -> Ticket | None:
        """Return the first request that is not of a skipped kind."""
        best: tuple[float, _Entry] | None = None
        for (account, kind), queue in self.queues.items():
            if kind in skipped:
                continue
            place = (self._tags[account], queue[0])
            if best is None or place < best:
                best = place
        return None if best is None else best[1][2]

    def ahead_of(self, entry: _Entry) -> int:
        """Return how many requests of this priority are placed earlier."""
        rank = entry[2].rank
        queue = self.queues[rank.account, rank.kind]
        ahead = bisect.bisect_left(queue, entry)
        tag = self._tags[rank.account] + ahead
        for account, waiting in self.waiting.items():
            if account != rank.account:
                earlier = math.ceil(tag - self._tags[account])
                ahead += min(waiting, max(0, earlier))
        return ahead


class FairOrder:
    """The requests that wait for one service, in the order of their turn."""

    def __init__(self) -> None:
        """Start without requests."""
        self._order = itertools.count()
        self._entries: dict[Ticket, _Entry] = {}
        self._classes: dict[int, _PriorityClass] = {}
        self._tallies: dict[int, _Tally] = {}
        #: Sum of the tallies of all priorities.
        self._total = _Tally()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def __contains__(self, ticket: Ticket) -> bool:
        """Return whether a request waits."""
        return ticket in self._entries

    def add(self, ticket: Ticket) -> None:
        """Add a request unless it waits already."""
        if ticket in self._entries:
            return
        rank = ticket.rank
        entry = (rank.objective, next(self._order), ticket)
        self._entries[ticket] = entry
        waiting = self._classes.get(rank.priority)
        if waiting is None:
            waiting = _PriorityClass()
            self._classes[rank.priority] = waiting
        waiting.add(entry)
        self._tallies.setdefault(rank.priority, _Tally()).waited += 1
        self._total.waited += 1
        if self._total.waited > TALLIED_REQUESTS:
            self._halve_tallies()

    def remove(self, ticket: Ticket) -> None:
        """Remove a request without a place."""
        entry = self._entries.pop(ticket, None)
        if entry is None:
            return
        priority = ticket.rank.priority
        waiting = self._classes[priority]
        waiting.remove(entry)
        if not waiting.queues:
            self._classes.pop(priority)

    def record_placed(self, ticket: Ticket) -> None:
        """Remove a request that gets a place, and count the place."""
        priority = ticket.rank.priority
        self._classes[priority].charge(ticket.rank.account)
        self._tallies[priority].placed += 1
        self._total.placed += 1
        self.remove(ticket)

    def first(self, skipped: Collection[Kind] = ()) -> Ticket | None:
        """Return the request whose turn it is, of those not skipped."""
        for priority in sorted(self._classes, key=self._turn):
            ticket = self._classes[priority].first(skipped)
            if ticket is not None:
                return ticket
        return None

    def ahead_of(self, ticket: Ticket) -> int:
        """Return about how many requests are placed before a waiting one."""
        priority = ticket.rank.priority
        ahead = self._classes[priority].ahead_of(self._entries[ticket])
        turn = self._turn(priority)
        for other, waiting in self._classes.items():
            if self._turn(other) < turn:
                ahead += len(waiting)
        return ahead

    def _turn(self, priority: int) -> tuple[bool, int]:
        """Return the place of a priority: first those that lack their share."""
        least_share = LEAST_SHARE * self._total.share
        return self._tallies[priority].share >= least_share, priority

    def _halve_tallies(self) -> None:
        """Have older requests count half; forget priorities without any."""
        self._total = _Tally()
        for priority, tally in tuple(self._tallies.items()):
            tally.waited /= 2
            tally.placed /= 2
            if tally.waited < 1 and priority not in self._classes:
                self._tallies.pop(priority)
                continue
            self._total.waited += tally.waited
            self._total.placed += tally.placed
