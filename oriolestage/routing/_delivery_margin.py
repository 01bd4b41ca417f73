"""Learns how long before its objective a partial answer must be given.

Handles hosts with little processor time and queries over many shards: on
them, timers fire late and an answer takes long to build, so a fixed time kept
back before the objective makes nearly all partial answers late.
"""

#: Time kept back for what the host cannot measure, in seconds: until it reads
#: a request that has arrived, and until its answer has left.
BASE_MARGIN_S = 0.006
#: Overrun that is assumed before the first partial answer, in seconds for each
#: part of the request.
PRIOR_OVERRUN_PER_PART_S = 0.00005
#: Weight of an overrun below the learned one. A longer overrun replaces it,
#: so that few answers are late after a host has become slow.
FALL_WEIGHT = 0.1
#: Largest margin, as a share of the latency objective.
LARGEST_SHARE = 0.25


class DeliveryMargin:
    """The time to keep back before the objective.

    The overrun of a partial answer is the time from when it was due until it
    was written. It depends on the host and its load more than on the route.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._overrun_s: float | None = None

    def margin_s(self, parts: int, objective_s: float) -> float:
        """Return the margin for a request with so many parts, in seconds."""
        overrun_s = self._overrun_s
        if overrun_s is None:
            overrun_s = PRIOR_OVERRUN_PER_PART_S * parts
        return min(BASE_MARGIN_S + overrun_s, LARGEST_SHARE * objective_s)

    def record_overrun(self, overrun_s: float, objective_s: float) -> None:
        """Record the overrun of one partial answer, in seconds.

        No more than the largest margin is learned, so that a pause of the
        host is forgotten as soon as a long overrun.
        """
        overrun_s = min(overrun_s, LARGEST_SHARE * objective_s)
        learned_s = self._overrun_s
        if learned_s is None or overrun_s > learned_s:
            self._overrun_s = overrun_s
        else:
            self._overrun_s = learned_s + FALL_WEIGHT * (overrun_s - learned_s)
