"""Selects among the candidates for an attempt by capacity and expected delay.

Answers the load pattern in which a target has just started or recovered while
its siblings are down or full: the pace of such a target gives way, its other
limits do not.
"""

from collections.abc import Iterable

from oriolestage.routing._observations import Observations
from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    NoTarget,
    PlacementResult,
    ShortageCause,
    TargetRequirements,
)
from oriolestage.routing._target_capacity import TargetCapacity
from oriolestage.routing._targets import KnownTarget


class TargetSelector:
    """Selects the target with the shortest expected delay that has capacity."""

    def __init__(
        self, capacity: TargetCapacity, observations: Observations
    ) -> None:
        """Create a selector by the limits and observations of one host."""
        self._capacity = capacity
        self._observations = observations

    def select(
        self,
        candidates: Iterable[KnownTarget],
        requirements: TargetRequirements,
        hosts: tuple[str, ...],
        now: float,
    ) -> PlacementResult:
        """Return the best candidate, or the shortage that ends first."""
        best: ChosenTarget | None = None
        first: NoCapacity | None = None
        paced: list[KnownTarget] = []
        for target in candidates:
            refused = self._capacity.refuse(target, requirements, hosts, now)
            if refused is None:
                best = self._faster(best, target, requirements, now)
                continue
            if first is None or refused.wait_s < first.wait_s:
                first = refused
            if refused.shortage.cause is ShortageCause.PACE:
                paced.append(target)
        if best is None and first is not None and paced:
            return self._select_paced(paced, requirements, first, now)
        return best or first or NoTarget()

    def _select_paced(
        self,
        paced: Iterable[KnownTarget],
        requirements: TargetRequirements,
        first: NoCapacity,
        now: float,
    ) -> PlacementResult:
        """Select among targets beyond their pace, as no other has capacity.

        ``first`` is the shortage that is expected to end first.
        """
        best: ChosenTarget | None = None
        for target in paced:
            refused = self._capacity.refuse_without_sibling(
                target, requirements, now
            )
            if refused is None:
                best = self._faster(best, target, requirements, now)
            elif refused.wait_s < first.wait_s:
                first = refused
        return best or first

    def _faster(
        self,
        best: ChosenTarget | None,
        target: KnownTarget,
        requirements: TargetRequirements,
        now: float,
    ) -> ChosenTarget:
        """Return ``best`` or a target with a shorter expected delay."""
        expected_s = self._observations.expected_s(
            target, requirements.route, now
        )
        if best is None or expected_s < best.expected_s:
            return ChosenTarget(target, expected_s)
        return best
