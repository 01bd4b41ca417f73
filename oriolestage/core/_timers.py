"""The clock and timers of the decision core, advanced by its embedder."""

import heapq
import itertools
from collections.abc import Callable

_Timer = tuple[float, int, Callable[[], None]]

#: Time of the next wake-up when no timer is set.
NO_WAKEUP = float('inf')


class Timers:
    """A clock that only ``advance`` moves, and a heap of timers.

    Timers cannot be cancelled, which keeps the heap simple: a callback checks
    whether there is still something to do.
    """

    def __init__(self, now: float) -> None:
        """Set the clock to ``now``, in seconds, without timers."""
        self._now = now
        self._heap: list[_Timer] = []
        self._sequence = itertools.count()

    @property
    def now(self) -> float:
        """The current time of the core, in seconds."""
        return self._now

    @property
    def next_wakeup(self) -> float:
        """Time of the earliest timer in seconds, or infinity if none is set."""
        if not self._heap:
            return NO_WAKEUP
        return self._heap[0][0]

    def advance(self, now: float) -> None:
        """Move the clock to ``now``; an earlier time is ignored."""
        self._now = max(self._now, now)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` once the clock has reached ``when``."""
        heapq.heappush(self._heap, (when, next(self._sequence), callback))

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` once ``delay_s`` seconds have passed."""
        self.call_at(self._now + delay_s, callback)

    def run_due(self) -> None:
        """Run due callbacks in order of time, including those they add."""
        while self._heap and self._heap[0][0] <= self._now:
            _, _, callback = heapq.heappop(self._heap)
            callback()
