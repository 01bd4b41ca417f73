"""Token bucket whose rate may change."""

import math


class TokenBucket:
    """Counts the requests that may be sent at a rate."""

    def __init__(self, tokens: float, now: float) -> None:
        """Start with ``tokens``, which may be negative."""
        self._tokens = tokens
        self._refilled_at = now

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add the tokens since the last call, up to ``burst``.

        ``rate`` is in requests per second.
        """
        elapsed_s = max(0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(burst, self._tokens + elapsed_s * rate)

    def wait_s(self, rate: float) -> float:
        """Return the time until there is a token, 0 if there is one."""
        if self._tokens >= 1:
            return 0
        return (1 - self._tokens) / rate if rate else math.inf

    def take(self, debt: float) -> None:
        """Take a token, also if there is none, down to ``-debt``."""
        self._tokens = max(-debt, self._tokens - 1)

    def put_back(self) -> None:
        """Return the token of a request that was not sent after all."""
        self._tokens += 1
