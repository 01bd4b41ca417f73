"""Estimates the round trip to each data centre and the work of each route.

The delay of an attempt is split into the round trip, which is the same for
all targets of a data centre, and the work: the time that a target takes to
process the request, which is similar for all requests of a route. What
remains is the slowness of the individual target (see `TargetLoad`).
"""

import dataclasses

#: Round trip that is assumed before the first answer, in seconds.
PRIOR_SAME_DATA_CENTRE_S = 0.001
PRIOR_SAME_REGION_S = 0.003
PRIOR_OTHER_REGION_S = 0.042
#: Work of a route that is assumed before the first answer, in seconds.
PRIOR_WORK_S = 0.012
#: Weight of a sample above the estimated round trip; a sample below replaces
#: the estimate, so that the estimate follows the minimum.
ROUND_TRIP_RISE_WEIGHT = 0.004
#: Lowest weight of the newest answer in the average work of a route.
WORK_WEIGHT = 0.02
#: Weight of the prior in the average work of a route, in answers. The first
#: answers have more weight than later ones.
PRIOR_WEIGHT = 6
#: A sample is clipped to this multiple of the average work.
WORK_SAMPLE_CLIP = 3.0
#: Lower bound of the work of one answer, in seconds.
MIN_WORK_S = 0.002


@dataclasses.dataclass(slots=True)
class _Work:
    mean_s: float = PRIOR_WORK_S
    answers: int = 0


class DelayModel:
    """Learns round trips and work from the answers of all targets."""

    def __init__(self) -> None:
        """Start from the priors."""
        self._round_trips: dict[str, float] = {}
        self._work_by_route: dict[str, _Work] = {}

    def round_trip_s(self, data_centre: str) -> float | None:
        """Return the round trip to a data centre, in seconds.

        None before the first answer from there.
        """
        return self._round_trips.get(data_centre)

    def work_s(self, route: str) -> float:
        """Return the average work of a request of a route, in seconds."""
        work = self._work_by_route.get(route)
        return PRIOR_WORK_S if work is None else work.mean_s

    def record_round_trip(
        self,
        data_centre: str,
        prior_round_trip_s: float,
        delay_s: float,
    ) -> float:
        """Update a round trip by the delay of one answer, in seconds.

        Return the rest of the delay, which is the work of the target.
        """
        round_trip_s = self._round_trips.get(data_centre, prior_round_trip_s)
        if delay_s < round_trip_s:
            round_trip_s = delay_s
        else:
            round_trip_s += ROUND_TRIP_RISE_WEIGHT * (delay_s - round_trip_s)
        self._round_trips[data_centre] = round_trip_s
        return max(MIN_WORK_S, delay_s - round_trip_s)

    def record_work(self, route: str, worked_s: float) -> None:
        """Update the average work of a route by one request, in seconds."""
        work = self._work_by_route.setdefault(route, _Work())
        sample = min(worked_s, WORK_SAMPLE_CLIP * work.mean_s)
        work.answers += 1
        weight = max(WORK_WEIGHT, 1 / (work.answers + PRIOR_WEIGHT))
        work.mean_s += weight * (sample - work.mean_s)
