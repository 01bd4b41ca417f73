"""How long answers take: the way to a data centre and the work of a route.

The delay of an attempt is taken apart into the way there and back, which all
targets of a data centre share, and the work, which the requests of a route
share. What remains is how much slower than others one target is.
"""

import dataclasses

#: Delay of the way there and back before any answer, in seconds.
PRIOR_SAME_DATA_CENTRE_S = 0.001
PRIOR_SAME_REGION_S = 0.003
PRIOR_OTHER_REGION_S = 0.042
#: Work of a route before any answer, in seconds.
PRIOR_WORK_S = 0.012
#: Weight of a larger delay in the estimate of the way; smaller ones replace
#: it at once.
WAY_CREEP = 0.004
#: Weight of the newest answer in the work of a route.
WORK_WEIGHT = 0.02
#: Answers that the prior of a route's work stands for; the first answers
#: count for more than later ones.
PRIOR_ANSWERS = 6
#: One answer counts for at most this many times the known work.
WORK_CLIP = 3.0
#: Shortest work that is assumed, in seconds.
LEAST_WORK_S = 0.002


@dataclasses.dataclass(slots=True)
class _Work:
    mean_s: float = PRIOR_WORK_S
    answers: int = 0


class DelayModel:
    """Learns the ways and the work from answers of all targets."""

    def __init__(self) -> None:
        """Start from the priors."""
        self._ways: dict[str, float] = {}
        self._works: dict[str, _Work] = {}

    def way_s(self, data_centre: str, prior_s: float) -> float:
        """Give the delay of the way to a data centre and back."""
        return self._ways.get(data_centre, prior_s)

    def work_s(self, route: str) -> float:
        """Give the work of one request of a route at a usual target."""
        work = self._works.get(route)
        return PRIOR_WORK_S if work is None else work.mean_s

    def note_way(
        self,
        data_centre: str,
        prior_way_s: float,
        delay_s: float,
    ) -> float:
        """Take in a delay; give the part of it that was work, in seconds."""
        way_s = self._ways.get(data_centre, prior_way_s)
        if delay_s < way_s:
            way_s = delay_s
        else:
            way_s += WAY_CREEP * (delay_s - way_s)
        self._ways[data_centre] = way_s
        return max(LEAST_WORK_S, delay_s - way_s)

    def record_work(self, route: str, worked_s: float) -> None:
        """Take in the work of one request of a route."""
        work = self._works.setdefault(route, _Work())
        sample = min(worked_s, WORK_CLIP * work.mean_s)
        work.answers += 1
        weight = max(WORK_WEIGHT, 1 / (work.answers + PRIOR_ANSWERS))
        work.mean_s += weight * (sample - work.mean_s)
