"""Decides which news rides on the next probe.

Each piece of news is sent a number of times that grows with the logarithm of
the fleet, the least often sent first, and a probe carries only a few pieces,
so the cost of a host is bounded.
"""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

#: Times that one piece of news is sent, for each doubling of the fleet.
REPEATS_PER_DOUBLING = 3

_News = TypeVar('_News', bound=Hashable)


class GossipQueue(Generic[_News]):
    """Pieces of news that still have to be sent."""

    def __init__(self, pieces_per_probe: int) -> None:
        """Send at most ``pieces_per_probe`` at once."""
        self._pieces_per_probe = pieces_per_probe
        self._repeats_left: dict[_News, int] = {}

    def add(self, news: _News, fleet: int) -> None:
        """Send a piece again as often as a fleet of this size needs."""
        doublings = max(1, math.ceil(math.log2(fleet + 1)))
        self._repeats_left[news] = REPEATS_PER_DOUBLING * doublings

    def is_pending(self, news: _News) -> bool:
        """Tell whether a piece still has to be sent."""
        return news in self._repeats_left

    def take(
        self,
        room_used: int = 0,
        without: _News | None = None,
    ) -> list[_News]:
        """Give the pieces for one probe and count them as sent."""
        room = self._pieces_per_probe - room_used
        most_wanted = heapq.nlargest(
            self._pieces_per_probe,
            self._repeats_left,
            key=self._repeats_left.__getitem__,
        )
        taken = [news for news in most_wanted if news != without][:room]
        for news in taken:
            self._repeats_left[news] -= 1
            if not self._repeats_left[news]:
                self._repeats_left.pop(news)
        return taken
