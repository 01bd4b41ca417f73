"""Estimates how fast a service takes requests, and when to come back to it.

Answers the load pattern in which many callers are refused at once and come
back together: each is told a time of its own, when the requests that wait and
the callers that were told to return before it will have been served.
"""

import random

#: Weight of the newest answer in the average time of an attempt.
DURATION_WEIGHT = 0.1
#: Answers from which on the average is used.
MIN_ANSWERS = 4
#: Share of the capacity that is left to callers that return.
RETURN_SHARE = 0.5
#: Time to return without a known wait, and the shortest and longest one, in
#: seconds.
UNKNOWN_RETURN_S = 0.25
MIN_RETURN_S = 0.05
MAX_RETURN_S = 5.0


class Throughput:
    """Attempts of this host at one service, in flight and answered."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.in_flight = 0
        self._duration_s: float = 0
        self._answers = 0

    @property
    def interval_s(self) -> float:
        """Average time between two answers, in seconds; 0 if not known.

        It follows from the average time of an attempt and the number of them
        in flight.
        """
        if self._answers < MIN_ANSWERS:
            return 0
        return self._duration_s / max(1, self.in_flight)

    def record_answer(self, duration_s: float) -> None:
        """Record the time that an answered attempt took, in seconds."""
        self._answers += 1
        weight = max(DURATION_WEIGHT, 1 / self._answers)
        self._duration_s += weight * (duration_s - self._duration_s)


class ReturnTimes:
    """The times at which refused callers are told to return to a service."""

    def __init__(self, rng: random.Random) -> None:
        """Start without callers; ``rng`` spreads them."""
        self._rng = rng
        self._latest_at: float = 0

    def next_s(self, drain_s: float, interval_s: float, now: float) -> float:
        """Return after which time the next refused caller should return.

        ``drain_s`` is the time until those that wait are served, and
        ``interval_s`` the time between two answers; 0 if it is not known.
        """
        if not interval_s:
            unknown_s = max(UNKNOWN_RETURN_S, drain_s)
            return unknown_s * self._rng.uniform(1, 1 + RETURN_SHARE)
        spacing_s = interval_s / RETURN_SHARE
        earliest_at = now + max(MIN_RETURN_S, drain_s)
        self._latest_at = max(self._latest_at, earliest_at) + spacing_s
        jitter_s = self._rng.uniform(0, spacing_s)
        return_s = self._latest_at - now - jitter_s
        if return_s <= MAX_RETURN_S:
            return return_s
        self._latest_at = now + MAX_RETURN_S
        return max(drain_s, MAX_RETURN_S * self._rng.uniform(RETURN_SHARE, 1))
