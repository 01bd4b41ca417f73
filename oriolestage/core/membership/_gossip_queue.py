"""Queue of updates that are piggybacked on probes.

Each update is sent a number of times that grows with the logarithm of the
number of hosts, the least often sent first. A probe carries only a few updates,
so the cost for each host is bounded.
"""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

#: Number of times to send an update, for each doubling of the fleet size.
SENDS_PER_DOUBLING = 3

_Update = TypeVar('_Update', bound=Hashable)


class GossipQueue(Generic[_Update]):
    """Updates that still have to be sent to other members."""

    def __init__(self, updates_per_probe: int) -> None:
        """Create an empty queue; a probe carries ``updates_per_probe``."""
        self._updates_per_probe = updates_per_probe
        self._sends_left: dict[_Update, int] = {}

    def add(self, update: _Update, fleet: int) -> None:
        """Queue an update, to be sent as often as ``fleet`` hosts need.

        Adding a queued update again restarts its count.
        """
        doublings = max(1, math.ceil(math.log2(fleet + 1)))
        self._sends_left[update] = SENDS_PER_DOUBLING * doublings

    def is_pending(self, update: _Update) -> bool:
        """Return whether an update still has to be sent."""
        return update in self._sends_left

    def take(
        self,
        slots_used: int = 0,
        excluding: _Update | None = None,
    ) -> list[_Update]:
        """Return the updates for one probe and count them as sent.

        ``slots_used`` is the number of updates that the probe already carries;
        ``excluding`` is an update that is not returned.
        """
        slots = self._updates_per_probe - slots_used
        least_sent = heapq.nlargest(
            self._updates_per_probe,
            self._sends_left,
            key=self._sends_left.__getitem__,
        )
        taken = [update for update in least_sent if update != excluding][:slots]
        for update in taken:
            self._sends_left[update] -= 1
            if not self._sends_left[update]:
                self._sends_left.pop(update)
        return taken
