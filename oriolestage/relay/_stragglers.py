"""Tells a slow target from a request that is heavy for every target.

Answers the load pattern in which the work differs much from one query to the
next but little between the shards of one query: a shard is late by what its
siblings took, not by what other queries took. Before enough siblings have
answered, only a much longer wait than usual counts as late.
"""

import bisect
import math

from oriolestage.relay._placement import Placement
from oriolestage.relay._targets import KnownTarget

#: A shard is late after this many times the work of its siblings ...
SIBLING_FACTOR = 1.4
#: ... and this time more, in seconds.
SIBLING_MARGIN_S = 0.006
#: Part of the shards that must have answered before they are compared.
SIBLING_SHARE = 0.25
#: Without siblings an attempt is late after this many times the usual work
#: of its route: of one target, and of a query over many.
USUAL_FACTOR_SINGLE = 2.2
USUAL_FACTOR_MANY = 3.5
#: ... and this time more, in seconds.
USUAL_MARGIN_S = 0.01


class StragglerDetector:
    """The work that the targets of one request took so far."""

    def __init__(self, parts: int, usual_s: float) -> None:
        """Start without answers; ``usual_s`` is the route's usual work."""
        self._parts = parts
        self._usual_s = usual_s
        #: In rising order.
        self._work_samples: list[float] = []
        self._target_samples: list[tuple[KnownTarget, float]] = []
        self._late_s = self._usual_late_s()

    @property
    def late_s(self) -> float:
        """Work after which an attempt without an answer is late, seconds."""
        return self._late_s

    @property
    def has_sibling_baseline(self) -> bool:
        """Tell whether enough siblings have answered."""
        needed = max(2, math.ceil(self._parts * SIBLING_SHARE))
        return self._parts > 1 and len(self._work_samples) >= needed

    @property
    def work_s(self) -> float:
        """Work of this request, in seconds; usual work before answers."""
        if not self._work_samples:
            return self._usual_s
        return self._median_s()

    def record_answer(self, target: KnownTarget, worked_s: float) -> None:
        """Note the work that a target's answer took."""
        self._target_samples.append((target, worked_s))
        self.record_work(worked_s, 1)

    def record_work(self, worked_s: float, answers: int) -> None:
        """Note work that another host saw."""
        for _ in range(answers):
            bisect.insort(self._work_samples, worked_s)
        if self.has_sibling_baseline:
            sibling_s = self._median_s()
            self._late_s = sibling_s * SIBLING_FACTOR + SIBLING_MARGIN_S

    def report_observations(
        self, placement: Placement, route: str, now: float
    ) -> None:
        """Tell what was seen of targets once the request is over."""
        if not self._work_samples:
            return
        work_s = self.work_s
        if self._parts == 1:
            work_s = self._usual_s
        for target, worked_s in self._target_samples:
            placement.seen.note_slowness(target, worked_s / work_s, now)
        placement.seen.record_work(route, self.work_s)

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
