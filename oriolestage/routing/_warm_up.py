"""Rate limit for requests to a cold target, divided among the hosts.

A target that has just started can serve few requests at first. Each host
keeps to a fixed share of the bound, so the sum of all hosts stays within it
even if the hosts cannot reach one another.

A host that counts too many hosts sends less than its share. One that counts
too few sends more, which could crash the target. So hosts that are gone still
count for a while, and a host that the others may not count yet sends nothing
to cold targets.
"""

import dataclasses
from collections import deque

from oriolestage.routing._even_shares import EvenShare

#: Length of the sliding window in which requests are counted, in seconds.
WINDOW_S = 1.0
#: Fraction of the bound that hosts use. The rest covers network delays, by
#: which requests of different windows can arrive together.
BOUND_FRACTION = 0.7
#: Time after which the other hosts know the registration that a host has found
#: in the store, in seconds: the longest pause between two watches, and a call.
JOINING_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """Bound on requests per second: ``rate * overage + slack``.

    The rate is the one that the configuration sets for the service.
    """

    overage: float = 1.5
    slack: float = 5.0


class Joining:
    """Whether the other hosts may not count this one yet.

    They count it once they have read its registration. When all hosts start
    at once, each first finds itself alone.
    """

    def __init__(self) -> None:
        """Start before the registration of this host was found."""
        self._joined_at = float('inf')

    def record_registered(self, now: float) -> None:
        """Record that this host is among the registered ones."""
        self._joined_at = min(self._joined_at, now + JOINING_S)

    def left_s(self, now: float) -> float:
        """Return for how long some hosts may not count this one yet.

        0 once all hosts count it, `JOINING_S` before it is registered.
        """
        return min(max(0, self._joined_at - now), JOINING_S)


class WarmUpPacer:
    """Limits the rate of this host's requests to one cold target."""

    def __init__(self, bounds: WarmUpBounds, share: EvenShare) -> None:
        """Start with an empty window; ``share`` divides the bound."""
        self._bounds = bounds
        self._share = share
        self._sent: deque[float] = deque()

    def allows(self, rate: float, hosts: tuple[str, ...], now: float) -> bool:
        """Return whether this host may send one more request now.

        ``rate`` is in requests per second, of all ``hosts`` together.
        """
        return not self.wait_s(rate, hosts, now)

    def wait_s(self, rate: float, hosts: tuple[str, ...], now: float) -> float:
        """Return the time until this host may send one more request.

        It is `WINDOW_S` for a host without a share in the bound.
        """
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        total = int(
            BOUND_FRACTION * (rate * self._bounds.overage + self._bounds.slack),
        )
        excess = len(self._sent) - self._share.of_total(total, hosts)
        if excess < 0:
            return 0
        if excess >= len(self._sent):
            return WINDOW_S
        return self._sent[excess] + WINDOW_S - now

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        self._sent.append(now)

    def withdraw(self) -> None:
        """Forget the newest request, which was not sent after all."""
        if self._sent:
            self._sent.pop()
