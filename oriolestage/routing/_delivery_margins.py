"""Learns how long before its objective a partial answer must be given.

Handles hosts with little processor time and queries over many shards: on
them, timers fire late and an answer takes long to build, so a fixed time kept
back before the objective makes nearly all partial answers late.
"""

#: Time kept back for reading the request and writing its answer, in seconds,
#: which the host cannot measure.
BASE_MARGIN_S = 0.004
#: Overrun that is assumed before the first partial answer of a route, in
#: seconds: a fixed part and one for each part of the request.
PRIOR_OVERRUN_S = 0.001
PRIOR_OVERRUN_PER_PART_S = 0.00005
#: Weight of an overrun below the learned one. A longer overrun replaces it,
#: so that few answers are late after a host has become slow.
FALL_WEIGHT = 0.1
#: Largest margin, as a share of the latency objective.
LARGEST_SHARE = 0.25


class DeliveryMargins:
    """The time to keep back before the objective, for each route.

    The overrun of a partial answer is the time from when it was due until it
    was ready to be written.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._overrun_by_route: dict[str, float] = {}

    def margin_s(self, route: str, parts: int, objective_s: float) -> float:
        """Return the margin for a request with so many parts, in seconds."""
        prior_s = PRIOR_OVERRUN_S + PRIOR_OVERRUN_PER_PART_S * parts
        overrun_s = self._overrun_by_route.get(route, prior_s)
        return min(BASE_MARGIN_S + overrun_s, LARGEST_SHARE * objective_s)

    def record_overrun(self, route: str, overrun_s: float) -> None:
        """Record the overrun of one partial answer, in seconds."""
        learned_s = self._overrun_by_route.get(route, overrun_s)
        if overrun_s < learned_s:
            overrun_s = learned_s + FALL_WEIGHT * (overrun_s - learned_s)
        self._overrun_by_route[route] = overrun_s
