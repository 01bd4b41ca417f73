"""Longest durations of the recent requests of each route."""

import dataclasses

#: Time for which a duration counts at least, in seconds; at most twice that.
WINDOW_S = 10.0
#: Number of requests from which the longest duration says something.
MIN_REQUESTS = 20


@dataclasses.dataclass(slots=True)
class _Window:
    #: Monotonic time at which it began.
    started_at: float
    longest_s: float = 0
    count: int = 0


class RecentDurations:
    """Records how long requests took, by route."""

    def __init__(self) -> None:
        """Start without durations."""
        self._windows: dict[str, tuple[_Window, _Window]] = {}

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Record the duration of a request in seconds."""
        _, current = self._advance(route, now)
        current.longest_s = max(current.longest_s, duration_s)
        current.count += 1

    def longest_s(self, route: str, now: float) -> float | None:
        """Return the longest recent duration of a route in seconds.

        None if there were too few requests.
        """
        windows = self._advance(route, now)
        if sum(window.count for window in windows) < MIN_REQUESTS:
            return None
        return max(window.longest_s for window in windows)

    def _advance(self, route: str, now: float) -> tuple[_Window, _Window]:
        """Return the previous and the current window of a route."""
        windows = self._windows.get(route)
        if windows is None or now - windows[1].started_at >= 2 * WINDOW_S:
            windows = (_Window(now - WINDOW_S), _Window(now))
        elif now - windows[1].started_at >= WINDOW_S:
            windows = (windows[1], _Window(windows[1].started_at + WINDOW_S))
        self._windows[route] = windows
        return windows
