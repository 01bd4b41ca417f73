"""How many requests of an account arrive at this host."""

import math

from oriolestage.admission._quota_messages import SLOT_S

#: Time over which the rate of requests is averaged, in seconds.
AVERAGING_S = 1.0
#: Time for which tokens are held in advance, in seconds: a report, its answer
#: and the variation of the rate within them.
AHEAD_S = 0.35
#: Slots in which recent requests are counted.
SLOTS = 11
#: Rate below which no tokens are held in advance, in requests per second.
MIN_RATE = 1.0


class Demand:
    """Counts the requests of one account at one host."""

    def __init__(self) -> None:
        """Start without requests."""
        self._rate: float = 0
        self._updated_at: float = 0
        #: Admitted requests by slot.
        self._admitted: dict[int, int] = {}

    def record_request(self, now: float) -> None:
        """Record a request, whether it is admitted or not."""
        self._rate = self._rate_at(now) + 1 / AVERAGING_S
        self._updated_at = now

    def record_admitted(self, now: float) -> None:
        """Record a request that was admitted."""
        slot = int(now / SLOT_S)
        if slot not in self._admitted:
            self._admitted = {
                counted: count
                for counted, count in self._admitted.items()
                if counted > slot - SLOTS
            }
        self._admitted[slot] = self._admitted.get(slot, 0) + 1

    def withdraw_admitted(self, admitted_at: float) -> None:
        """Record that a request has not run after all."""
        slot = int(admitted_at / SLOT_S)
        if self._admitted.get(slot):
            self._admitted[slot] -= 1

    def expected(self, now: float) -> int:
        """Return how many requests are expected soon."""
        rate = self._rate_at(now)
        return math.ceil(rate * AHEAD_S) if rate > MIN_RATE else 0

    def recent(self, now: float) -> tuple[int, ...]:
        """Return the admitted requests by age, the present slot first."""
        slot = int(now / SLOT_S)
        counts = [self._admitted.get(slot - age, 0) for age in range(SLOTS)]
        while counts and not counts[-1]:
            counts.pop()
        return tuple(counts)

    def _rate_at(self, now: float) -> float:
        elapsed_s = max(0, now - self._updated_at)
        return self._rate * math.exp(-elapsed_s / AVERAGING_S)
