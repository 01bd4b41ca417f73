"""Distinguishes a slow target from a request that is expensive everywhere.

Processing times differ much from one query to the next but little between the
shards of one query. A shard is therefore judged late by the processing times
of its siblings, the other shards of the same query, not by those of other
queries. Until enough siblings have answered, only a much longer processing
time than is usual for the route counts as late.

Work is the processing time of an attempt at its target, without the network.
"""

import bisect
import math

from oriolestage.routing._placement import Placement
from oriolestage.routing._targets import KnownTarget

#: A shard is late after the median work of its siblings times this factor,
#: plus ``SIBLING_MARGIN_S``.
SIBLING_FACTOR = 1.4
SIBLING_MARGIN_S = 0.006
#: Share of the shards that must have answered before they are compared.
SIBLING_SHARE = 0.25
#: Without a sibling baseline, an attempt is late after the usual work of its
#: route times one of these factors, plus ``USUAL_MARGIN_S``: the first for a
#: request or batch of a single part, the second for one of several shards.
USUAL_FACTOR_SINGLE = 2.2
USUAL_FACTOR_MANY = 3.5
USUAL_MARGIN_S = 0.01


class StragglerDetector:
    """Derives from the answers to one request when an attempt is late."""

    def __init__(self, parts: int, usual_s: float) -> None:
        """Start without answers.

        ``parts`` is the number of parts of the request and ``usual_s`` the
        usual work of its route, in seconds.
        """
        self._parts = parts
        self._usual_s = usual_s
        #: In ascending order.
        self._work_samples: list[float] = []
        self._target_samples: list[tuple[KnownTarget, float]] = []
        self._late_s = self._usual_late_s()

    @property
    def late_s(self) -> float:
        """Work in seconds after which an unanswered attempt is late."""
        return self._late_s

    @property
    def has_sibling_baseline(self) -> bool:
        """Whether enough siblings have answered to compare with."""
        needed = max(2, math.ceil(self._parts * SIBLING_SHARE))
        return self._parts > 1 and len(self._work_samples) >= needed

    @property
    def work_s(self) -> float:
        """Median work of this request, in seconds.

        The usual work of its route before the first answer.
        """
        if not self._work_samples:
            return self._usual_s
        return self._median_s()

    def record_answer(self, target: KnownTarget, worked_s: float) -> None:
        """Record the work in seconds that a target's answer took."""
        self._target_samples.append((target, worked_s))
        self.record_work(worked_s, 1)

    def record_work(self, worked_s: float, answers: int) -> None:
        """Record work in seconds that each of ``answers`` answers took.

        Answers gathered by another host are recorded here without a target.
        """
        for _ in range(answers):
            bisect.insort(self._work_samples, worked_s)
        if self.has_sibling_baseline:
            sibling_s = self._median_s()
            self._late_s = sibling_s * SIBLING_FACTOR + SIBLING_MARGIN_S

    def report_observations(
        self, placement: Placement, route: str, now: float
    ) -> None:
        """Report the work of the targets and of the route to ``placement``.

        Each target is compared with the median of this request, or with the
        usual work of the route if the request has a single part.
        """
        if not self._work_samples:
            return
        work_s = self.work_s
        if self._parts == 1:
            work_s = self._usual_s
        for target, worked_s in self._target_samples:
            placement.observations.record_slowness(
                target, worked_s / work_s, now
            )
        placement.observations.record_work(route, self.work_s)

    def _median_s(self) -> float:
        middle = len(self._work_samples) // 2
        if len(self._work_samples) % 2:
            return self._work_samples[middle]
        return (self._work_samples[middle - 1] + self._work_samples[middle]) / 2

    def _usual_late_s(self) -> float:
        factor = USUAL_FACTOR_SINGLE
        if self._parts > 1:
            factor = USUAL_FACTOR_MANY
        return self._usual_s * factor + USUAL_MARGIN_S
