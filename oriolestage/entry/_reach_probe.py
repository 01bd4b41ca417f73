"""Looks for a path to targets while this host reaches none.

Callers' requests go through other hosts then, so no answer would show that
the path is back.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable

from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._placement import Placement

#: Interval between health checks, in seconds: a path is found within a second
#: or two of its return.
PROBE_INTERVAL_S = 0.5


class ReachProbe:
    """Checks one target after another while the host is cut off.

    Only a response ends the cut: connections may be accepted on the way and
    then be reset or hang. Targets of services without a health check are left
    out.
    """

    def __init__(
        self,
        placement: Placement,
        cluster_state: ClusterState,
        probe: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        """Create a probe.

        ``probe`` tells whether an address responds to a request for a path.
        """
        self._placement = placement
        self._cluster_state = cluster_state
        self._probe = probe
        #: Addresses and health check paths that are still to be tried.
        self._untried: deque[tuple[str, str]] = deque()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            reach = self._placement.observations.reach
            if not reach.cut_off:
                self._untried.clear()
                continue
            if not self._untried:
                self._untried.extend(self._list_checks())
            if not self._untried:
                continue
            if await self._probe(*self._untried.popleft()):
                reach.record_response(time.monotonic())

    def _list_checks(self) -> list[tuple[str, str]]:
        """Return the address and the health check path of each target."""
        table = self._cluster_state.table
        checks: list[tuple[str, str]] = []
        if table is None:
            return checks
        for target in self._placement.directory.all_targets():
            service = table.services.get(target.record.service)
            if service is not None and service.health_path:
                checks.append((target.record.address, service.health_path))
        return checks
