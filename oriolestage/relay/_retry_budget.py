"""How many repeats and hedges one host may send to a service.

The budget of a service is shared by all hosts: a ratio of the requests for
it plus a fixed allowance in each window. Each host spends the ratio of its
own requests and its share of the allowance, so the sum holds whatever the
others do. Answers the load pattern in which many targets slow down at once
and every host hedges.
"""

import dataclasses
from collections import deque

#: Length of the counting intervals, in seconds.
INTERVAL_S = 0.5
#: Part of the allowance that is used; the rest covers hosts that join.
ALLOWANCE_USED = 0.6
#: Part of the allowance in the first window after a start, when what this
#: host spent before a restart is not known.
ALLOWANCE_AFTER_START = 0.35
#: Part of what a window gives below which extra attempts are scarce.
SCARCE_PART = 0.25
#: Part of the ratio that is used; intervals at the window's edge are inexact.
RATIO_USED = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBounds:
    """The bounds that all hosts share."""

    #: Extra attempts for each request.
    ratio: float = 0.2
    #: Length of the window, in seconds.
    window_s: float = 10.0
    #: Extra attempts in each window whatever the requests.
    allowance: float = 52.0


@dataclasses.dataclass(slots=True)
class _Interval:
    started_at: float
    needed: int = 0
    extra: int = 0


class RetryBudget:
    """The extra attempts of this host at one service."""

    def __init__(self, bounds: BudgetBounds, started_at: float) -> None:
        """Start an empty window at ``started_at``."""
        self._bounds = bounds
        self._started_at = started_at
        self._intervals: deque[_Interval] = deque()
        self._needed = 0
        self._extra = 0

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._interval(now).needed += 1
        self._needed += 1

    def remaining(self, hosts: int, now: float) -> float:
        """Give the extra attempts left, with ``hosts`` sharing."""
        return self._granted(hosts, now) - self._extra

    def nearly_exhausted(self, hosts: int, now: float) -> bool:
        """Tell whether most extra attempts of the window are spent."""
        granted = self._granted(hosts, now)
        return granted - self._extra < SCARCE_PART * granted

    def take(self, hosts: int, now: float) -> bool:
        """Take one extra attempt, if one is left."""
        if self.remaining(hosts, now) < 1:
            return False
        self._interval(now).extra += 1
        self._extra += 1
        return True

    def _granted(self, hosts: int, now: float) -> float:
        self._interval(now)
        used = ALLOWANCE_USED
        if now - self._started_at < self._bounds.window_s:
            used = ALLOWANCE_AFTER_START
        allowance = used * self._bounds.allowance / max(1, hosts)
        return allowance + RATIO_USED * self._bounds.ratio * self._needed

    def _interval(self, now: float) -> _Interval:
        horizon = now - self._bounds.window_s - INTERVAL_S
        while self._intervals and self._intervals[0].started_at < horizon:
            oldest = self._intervals.popleft()
            self._needed -= oldest.needed
            self._extra -= oldest.extra
        newest = self._intervals[-1] if self._intervals else None
        if newest is None or now - newest.started_at >= INTERVAL_S:
            newest = _Interval(now)
            self._intervals.append(newest)
        return newest
