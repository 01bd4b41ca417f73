"""The clock and the timers of the decision core, driven from outside."""

import heapq
import itertools
from collections.abc import Callable

_Timer = tuple[float, int, Callable[[], None]]

#: Returned when no timer is set.
NO_WAKEUP = float('inf')


class Timers:
    """Keeps the time that the core was given, and runs what is due.

    There is no way to cancel a timer: a callback checks whether it is still
    wanted, which keeps the heap simple.
    """

    def __init__(self, now: float) -> None:
        """Start at ``now``, in seconds, without timers."""
        self._now = now
        self._heap: list[_Timer] = []
        self._sequence = itertools.count()

    @property
    def now(self) -> float:
        """The time that the core was last given, in seconds."""
        return self._now

    @property
    def next_wakeup(self) -> float:
        """Time of the earliest timer, in seconds."""
        if not self._heap:
            return NO_WAKEUP
        return self._heap[0][0]

    def advance(self, now: float) -> None:
        """Move the clock; it never goes back."""
        self._now = max(self._now, now)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` once the clock has reached ``when``."""
        heapq.heappush(self._heap, (when, next(self._sequence), callback))

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` once ``delay_s`` seconds have passed."""
        self.call_at(self._now + delay_s, callback)

    def run_due(self) -> None:
        """Run every callback that is due."""
        while self._heap and self._heap[0][0] <= self._now:
            _, _, callback = heapq.heappop(self._heap)
            callback()
