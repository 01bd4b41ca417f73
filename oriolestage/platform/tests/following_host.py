"""A host that follows a store, without callers and targets."""

import asyncio
from collections.abc import Callable

from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry._supervision import keep_running
from oriolestage.platform._store import StoreClient
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
)

CONFIGURATION_KEY = 'op/config'
PROPAGATION_LIMIT_S = 5.0


def configuration(version: int) -> dict[str, object]:
    """Return a configuration without routes."""
    return {'version': version, 'routes': [], 'services': []}


async def holds_within(timeout_s: float, condition: Callable[[], bool]) -> bool:
    """Wait for a condition; return False if it does not hold in time."""
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
    except TimeoutError:
        return False
    return True


class FollowingHost:
    """The parts of a host that follow the store."""

    def __init__(self, address: str) -> None:
        """Create a host that follows the store at ``address``."""
        placement, self.directory = make_placement()
        self.client = StoreClient(address)
        self.state = ClusterState(
            self.directory,
            placement,
            PeerDirectory(placement.location),
            make_crash_detector(),
        )
        self.follower = StoreFollower(
            self.client, self.state, self.directory, PROPAGATION_LIMIT_S
        )
        self._tasks = [
            asyncio.create_task(keep_running('follow', self.follower.run)),
            asyncio.create_task(keep_running('expire', self.follower.expire)),
        ]

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 without one."""
        return -1 if self.state.table is None else self.state.table.version

    async def close(self) -> None:
        """Stop following the store."""
        for task in self._tasks:
            task.cancel()
        await self.client.close()
