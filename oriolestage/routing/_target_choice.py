"""Chooses the target of an attempt and whether another host sends it.

Answers the load pattern in which this host has lost its links to some or all
targets, and other hosts have not: an attempt at a target in back-off is sent
through another host, and so are all attempts while no target is reached. A
target without capacity is left alone; another host could not use it either.
"""

from collections.abc import Collection

from oriolestage.routing._parts import Part
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import ChosenTarget, PlacementResult
from oriolestage.routing._version_rules import NOT_EXPOSED

#: Attempts of one part that are sent through other hosts. A target that is
#: down is in back-off at all hosts; asking them all would delay the request.
MAX_RELAYS = 3


class TargetChooser:
    """Chooses targets for the parts of requests at one host."""

    def __init__(
        self, placement: Placement, peers: PeerDirectory, *, gathers: bool
    ) -> None:
        """Create a chooser that sends through ``peers`` if need be.

        ``gathers`` is True for a request to the shards of a group.
        """
        self._gathers = gathers
        self._placement = placement
        self._peers = peers

    def choose(
        self, part: Part, excluded: Collection[str], now: float
    ) -> PlacementResult:
        """Choose a target that is not in ``excluded``.

        A target that is not reached from here is chosen only if another host
        can send the attempt and no other target is free.
        """
        if self._placement.observations.reach.cut_off:
            relayed = self._choose_relayed(part, excluded, now)
            if relayed is not None:
                return relayed
        placed = self._placement.choose(
            part.request.requirements,
            excluded,
            now,
            draw=self._draw(part),
            batches=self._gathers,
        )
        if isinstance(placed, ChosenTarget):
            return placed
        return self._choose_relayed(part, excluded, now) or placed

    def _draw(self, part: Part) -> float:
        """Return the draw of the next attempt of a part.

        Only a first attempt may go to a version on trial; each decision about
        it has the same draw.
        """
        if part.attempted:
            return NOT_EXPOSED
        if part.draw is None:
            part.draw = self._placement.draw()
        return part.draw

    def _choose_relayed(
        self, part: Part, excluded: Collection[str], now: float
    ) -> ChosenTarget | None:
        if part.relay_count >= MAX_RELAYS:
            return None
        requirements = part.request.requirements
        placed = self._placement.choose_unreached(requirements, excluded, now)
        if placed is None:
            return None
        peer = self._peers.choose_relay(
            self._placement.region_of(placed.target),
            requirements,
            now,
            gathers=self._gathers,
        )
        return None if peer is None else placed
