"""The part of an account's limit that a host may use without any contact."""

from collections import deque


class FixedPart:
    """A number of requests in any window."""

    def __init__(self, window_s: float) -> None:
        """Create a part of which nothing is used."""
        self._window_s = window_s
        self._used_at: deque[float] = deque()

    def try_take(self, share: int, now: float) -> bool:
        """Use one of ``share`` requests; return False if none is left."""
        self._forget(now)
        if len(self._used_at) >= share:
            return False
        self._used_at.append(now)
        return True

    def put_back(self, used_at: float) -> None:
        """Return a request that was used at a time and has not run."""
        if used_at in self._used_at:
            self._used_at.remove(used_at)

    def wait_s(self, share: int, now: float) -> float:
        """Return the time until a request may be used, at most a window."""
        self._forget(now)
        if len(self._used_at) < share:
            return 0
        if not share:
            return self._window_s
        return self._used_at[-share] + self._window_s - now

    def _forget(self, now: float) -> None:
        while self._used_at and now - self._used_at[0] > self._window_s:
            self._used_at.popleft()
