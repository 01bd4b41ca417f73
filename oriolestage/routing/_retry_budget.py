"""Retry budget: how many retries and hedges one host may send to a service.

The budget of a service is shared by all hosts: a ratio of its requests plus
a fixed allowance in each window. Each host spends the ratio of its own
requests and its share of the allowance, so the sum stays within the budget
without coordination. This bounds the extra load when many targets slow down
at the same time and every host hedges. With more hosts than the allowance has
attempts, some hosts have an attempt for a service and the others have none.
"""

import dataclasses
from collections import deque

from oriolestage.routing._even_shares import EvenShare

#: Length of the intervals that the sliding window consists of, in seconds.
INTERVAL_S = 0.5
#: Fraction of the allowance that hosts spend; the rest covers hosts that
#: join.
ALLOWANCE_FRACTION = 0.6
#: The same in the first window after a start. It is lower because a host does
#: not know what it spent before a restart.
INITIAL_ALLOWANCE_FRACTION = 0.35
#: Fraction of a window's budget that is kept in reserve; below it the budget
#: is nearly exhausted.
RESERVE_FRACTION = 0.25
#: Fraction of the ratio that hosts spend, because the window is only exact to
#: an interval.
RATIO_FRACTION = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBounds:
    """Budget of extra attempts at a service, shared by all hosts."""

    #: Extra attempts per request.
    ratio: float = 0.2
    #: Length of the window, in seconds.
    window_s: float = 10.0
    #: Extra attempts per window, independent of the number of requests.
    allowance: float = 52.0


@dataclasses.dataclass(slots=True)
class _Interval:
    started_at: float
    requests: int = 0
    extra_attempts: int = 0


class RetryBudget:
    """This host's part of the budget for one service.

    An extra attempt is a retry or a hedge.
    """

    def __init__(
        self, bounds: BudgetBounds, started_at: float, share: EvenShare
    ) -> None:
        """Start an empty window at ``started_at``, in monotonic time.

        ``share`` divides the allowance among the hosts.
        """
        self._bounds = bounds
        self._share = share
        self._started_at = started_at
        self._intervals: deque[_Interval] = deque()
        self._requests = 0
        self._extra_attempts = 0

    def record_request(self, now: float) -> None:
        """Record a request for the service."""
        self._interval(now).requests += 1
        self._requests += 1

    def remaining(self, hosts: tuple[str, ...], now: float) -> float:
        """Return the extra attempts left when ``hosts`` share the budget."""
        return self._window_budget(hosts, now) - self._extra_attempts

    def nearly_exhausted(self, hosts: tuple[str, ...], now: float) -> bool:
        """Return whether only the reserve of the window is left.

        Callers keep the reserve for attempts without which a request fails.
        """
        budget = self._window_budget(hosts, now)
        return budget - self._extra_attempts < RESERVE_FRACTION * budget

    def try_acquire(self, hosts: tuple[str, ...], now: float) -> bool:
        """Spend one extra attempt; return False if none is left."""
        if self.remaining(hosts, now) < 1:
            return False
        self._interval(now).extra_attempts += 1
        self._extra_attempts += 1
        return True

    def _window_budget(self, hosts: tuple[str, ...], now: float) -> float:
        self._interval(now)
        fraction = ALLOWANCE_FRACTION
        if now - self._started_at < self._bounds.window_s:
            fraction = INITIAL_ALLOWANCE_FRACTION
        total = fraction * self._bounds.allowance
        allowance = total / max(1, len(hosts))
        if allowance < 1:
            allowance = self._share.of_total(int(total), hosts)
        return allowance + RATIO_FRACTION * self._bounds.ratio * self._requests

    def _interval(self, now: float) -> _Interval:
        horizon = now - self._bounds.window_s - INTERVAL_S
        while self._intervals and self._intervals[0].started_at < horizon:
            oldest = self._intervals.popleft()
            self._requests -= oldest.requests
            self._extra_attempts -= oldest.extra_attempts
        newest = self._intervals[-1] if self._intervals else None
        if newest is None or now - newest.started_at >= INTERVAL_S:
            newest = _Interval(now)
            self._intervals.append(newest)
        return newest
