"""Rate limit for requests to a cold target, divided among the hosts.

A target that has just started can serve few requests at first. Each host
keeps to a fixed share of the bound, so the sum of all hosts stays within it
even if the hosts cannot reach one another.
"""

import dataclasses
from collections import deque

from oriolestage._rendezvous import rendezvous_rank

#: Length of the sliding window in which requests are counted, in seconds.
WINDOW_S = 1.0
#: Fraction of the bound that hosts use. The rest covers network delays, by
#: which requests of different windows can arrive together.
BOUND_FRACTION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """Bound on requests per second: ``rate * overage + slack``.

    The rate is the one that the configuration sets for the service.
    """

    overage: float = 1.5
    slack: float = 5.0


class WarmUpPacer:
    """Limits the rate of this host's requests to one cold target."""

    def __init__(self, bounds: WarmUpBounds) -> None:
        """Start with an empty window."""
        self._bounds = bounds
        self._sent: deque[float] = deque()
        #: Hosts, remainder and result of the latest ranking.
        self._ranked_hosts: tuple[str, ...] = ()
        self._ranked_rest = 0
        self._has_extra = False

    def allows(
        self,
        identity: str,
        rate: float,
        host: str,
        hosts: tuple[str, ...],
        now: float,
    ) -> bool:
        """Return whether this host may send one more request now.

        The bound is divided evenly over ``hosts``. The remainder goes to the
        hosts that rank first for the target by rendezvous hashing, so all
        hosts agree on it without communication.
        """
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        total = int(
            BOUND_FRACTION * (rate * self._bounds.overage + self._bounds.slack),
        )
        share, rest = divmod(total, max(1, len(hosts)))
        if self._gets_extra(identity, host, hosts, rest):
            share += 1
        return len(self._sent) < share

    def _gets_extra(
        self,
        identity: str,
        host: str,
        hosts: tuple[str, ...],
        rest: int,
    ) -> bool:
        """Return whether a host gets one of the remaining requests.

        The hosts are ranked again only when they or the remainder change.
        """
        if hosts is not self._ranked_hosts or rest != self._ranked_rest:
            ranked = rendezvous_rank(identity, hosts)
            self._has_extra = host in ranked[:rest]
            self._ranked_hosts = hosts
            self._ranked_rest = rest
        return self._has_extra

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        self._sent.append(now)

    def withdraw(self) -> None:
        """Forget the newest request, which was not sent after all."""
        if self._sent:
            self._sent.pop()
