"""A host that follows a store and takes part in roll-outs."""

import asyncio

from oriolestage.entry._rollout_controller import RolloutController
from oriolestage.entry._rollout_parts import build_rollouts
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.platform._store import StoreClient
from oriolestage.platform.tests.following_host import PROPAGATION_LIMIT_S
from oriolestage.rollouts._bounds import RolloutBounds
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._targets import TargetDirectory
from oriolestage.routing._warm_up import WarmUpBounds
from oriolestage.routing.tests.builders import (
    REGIONS,
    make_crash_detector,
)


class RollingHost:
    """The parts of a host that follow the store and its roll-outs."""

    def __init__(self, address: str, name: str) -> None:
        """Create a host that follows the store at ``address``."""
        rollouts = build_rollouts(
            RolloutBounds(), name, lambda: self.follower.age_s
        )
        assert rollouts is not None
        self.book = rollouts.book
        self.directory = TargetDirectory()
        placement = Placement(
            HostLocation(name, 'dc-a', REGIONS),
            self.directory,
            WarmUpBounds(),
            lambda _: None,
            rollouts.book,
        )
        self.client = StoreClient(address)
        state = ClusterState(
            self.directory,
            placement,
            PeerDirectory(placement.location),
            make_crash_detector(),
            rollouts.book,
        )
        self.follower = StoreFollower(
            self.client, state, self.directory, PROPAGATION_LIMIT_S
        )
        self.controller: RolloutController = rollouts.controller(
            self.client, placement
        )
        self._tasks = [
            asyncio.create_task(work())
            for work in (self.follower.run, self.controller.run)
        ]

    async def close(self) -> None:
        """Stop following the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
        await self.client.close()
