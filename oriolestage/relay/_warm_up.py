"""How much of a cold target's small capacity one host may use.

Answers the load pattern in which a target returns cold while all hosts have
work for it: the sum of their requests stays under what it carries, also when
hosts do not reach one another.
"""

import dataclasses
from collections import deque

from oriolestage._rendezvous import rendezvous_rank

#: Length of the window in which requests are counted, in seconds.
WINDOW_S = 1.0
#: Part of the bound that is used; the rest covers delays on the way.
BOUND_USED = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """The bound on requests a second, as ``rate * overage + slack``."""

    overage: float = 1.5
    slack: float = 5.0


class WarmUpPacer:
    """Paces the requests of this host to one cold target."""

    def __init__(self, bounds: WarmUpBounds) -> None:
        """Start with nothing sent."""
        self._bounds = bounds
        self._sent: deque[float] = deque()

    def allows(
        self,
        identity: str,
        rate: float,
        host: str,
        hosts: tuple[str, ...],
        now: float,
    ) -> bool:
        """Tell whether one more request may be sent now."""
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        total = int(
            BOUND_USED * (rate * self._bounds.overage + self._bounds.slack),
        )
        share, rest = divmod(total, max(1, len(hosts)))
        if host in rendezvous_rank(identity, hosts)[:rest]:
            share += 1
        return len(self._sent) < share

    def record_sent(self, now: float) -> None:
        """Count a request."""
        self._sent.append(now)
