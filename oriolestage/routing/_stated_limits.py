"""The rate limits that one target has stated of late, and which one holds.

Requests are counted in windows, and a window in which the limit rises counts
from its start, when the lower limit was stated. So a higher limit, or the end
of all limits, is used only after a window in which no lower one was stated.
A lower limit holds at once. Hosts learn of a change at different moments, each
one after the target has made it, so none uses a higher limit too early.
"""

from collections import deque

from oriolestage.routing._rate_shares import WINDOW_S

#: Value that stands for no limit.
UNLIMITED = float('inf')


class StatedLimits:
    """The limits that may hold now, in requests per second."""

    def __init__(self, limit: float) -> None:
        """Start with the first limit that the target states."""
        #: Limits with the time until which each holds, both ascending. The
        #: last one was stated last.
        self._held: deque[tuple[float, float]] = deque()
        self._held.append((limit, float('inf')))

    def record(self, limit: float, now: float) -> None:
        """Record the limit in a response; `UNLIMITED` if it states none."""
        while self._held and self._held[-1][0] >= limit:
            self._held.pop()
        if self._held:
            lower, until = self._held[-1]
            self._held[-1] = (lower, min(until, now + WINDOW_S))
        self._held.append((limit, float('inf')))

    def lowest(self, now: float) -> float:
        """Return the limit to keep now; `UNLIMITED` if there is none."""
        while self._held[0][1] <= now:
            self._held.popleft()
        return self._held[0][0]
