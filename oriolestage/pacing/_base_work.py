"""Processing time of each route without the wait in the targets' queues.

While targets are overloaded, the mean of the processing times contains the
wait for a slot. A target's rate that follows from it would be too low.
"""

#: Processing time of a route that is assumed before the first reply, in
#: seconds.
PRIOR_WORK_S = 0.012
#: Weights of a reply that took longer than the estimate and of a shorter one.
#: The estimate is therefore one of the shorter times.
LONGER_WEIGHT = 0.02
SHORTER_WEIGHT = 0.1


class BaseWork:
    """Estimates the processing time of idle targets, by route."""

    def __init__(self) -> None:
        """Start from the prior."""
        self._estimates: dict[str, float] = {}

    def work_s(self, route: str) -> float:
        """Return the processing time of a request of a route, in seconds."""
        return self._estimates.get(route, PRIOR_WORK_S)

    def record(self, route: str, worked_s: float) -> None:
        """Record the processing time of one request, in seconds."""
        known_s = self.work_s(route)
        longer = worked_s > known_s
        weight = LONGER_WEIGHT if longer else SHORTER_WEIGHT
        self._estimates[route] = known_s + weight * (worked_s - known_s)
