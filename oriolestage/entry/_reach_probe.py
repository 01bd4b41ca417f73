"""Looks for a path to targets while this host reaches none.

Callers' requests go through other hosts then, so no answer would show that
the path is back.
"""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable

from oriolestage.routing._placement import Placement

#: Interval between connections that are tried, in seconds: with the time-out
#: of a connection, a path is found within a second of its return.
PROBE_INTERVAL_S = 0.5


class ReachProbe:
    """Connects to one target after another while the host is cut off."""

    def __init__(
        self,
        placement: Placement,
        try_connect: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Create a probe; ``try_connect`` tells if an address is reached."""
        self._placement = placement
        self._try_connect = try_connect
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            reach = self._placement.observations.reach
            if not reach.cut_off:
                continue
            address = self._next_address()
            if address and await self._try_connect(address):
                reach.record_response(time.monotonic())

    def _next_address(self) -> str:
        """Return the address of another target each time, empty if none."""
        targets = tuple(self._placement.directory.all_targets())
        if not targets:
            return ''
        return targets[next(self._numbers) % len(targets)].record.address
