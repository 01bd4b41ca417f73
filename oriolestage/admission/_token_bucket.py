"""Token bucket whose tokens may be held elsewhere for a while."""


class TokenBucket:
    """Tokens that are added at a rate, up to a capacity."""

    def __init__(
        self,
        rate: float,
        capacity: float,
        level: float,
        now: float,
    ) -> None:
        """Start with ``level`` tokens at a monotonic time."""
        self._rate = rate
        self._capacity = capacity
        self._level = level
        self._refilled_at = now
        #: Tokens that were taken and may come back or be used; together with
        #: the level they do not exceed the capacity.
        self.reserved: float = 0

    @property
    def level(self) -> float:
        """Tokens at the last refill; negative after an overdraft."""
        return self._level

    @property
    def rate(self) -> float:
        """Tokens that are added in a second."""
        return self._rate

    def change(self, rate: float, capacity: float, now: float) -> None:
        """Change the rate from now on, and the capacity."""
        self.refill(now)
        self._rate = rate
        self._capacity = capacity
        self._limit()

    def delay_refill(self, until: float) -> None:
        """Add no tokens before a time."""
        self._refilled_at = max(self._refilled_at, until)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_s = now - self._refilled_at
        if elapsed_s <= 0:
            return
        self._refilled_at = now
        self._level += elapsed_s * self._rate
        self._limit()

    def take(self, tokens: float) -> None:
        """Take tokens, or put them back if their number is negative."""
        self._level -= tokens
        if tokens < 0:
            self._limit()

    def wait_s(self, now: float, longest_s: float) -> float:
        """Return the time until the next whole token, up to ``longest_s``."""
        if self._level >= 1:
            return 0
        if self._rate <= 0:
            return longest_s
        delay_s = max(0, self._refilled_at - now)
        return min(longest_s, delay_s + (1 - self._level) / self._rate)

    def _limit(self) -> None:
        self._level = min(self._level, self._capacity - self.reserved)
