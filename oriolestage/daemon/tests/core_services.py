"""A core service with clients that record what they are asked to do."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

from oriolestage.core import Identity, NodeCore, Parameters
from oriolestage.daemon._core_service import CoreService
from oriolestage.daemon._data_links import DataLinks
from oriolestage.daemon._events import Event, Inbox, ViewRequested
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._gossip import GossipSender
from oriolestage.daemon._store_client import StoreClient
from oriolestage.daemon._target_client import TargetClient

#: Time within which an event has to be processed, in seconds.
TIMEOUT_S = 10.0


class RunningCore:
    """A core service, and the core and clients that it uses."""

    def __init__(self) -> None:
        """Build a core of one host; the clients do nothing."""
        self.inbox: Inbox = asyncio.Queue()
        self.failures = FailureLog()
        self.core = NodeCore(
            Identity('entry-1', '127.0.0.1:1', '127.0.0.1:2', 'ege-a', 1),
            Parameters(),
            random.Random(1),
            asyncio.get_running_loop().time(),
        )
        self.gossip = mock.create_autospec(GossipSender, instance=True)
        self.links = mock.create_autospec(DataLinks, instance=True)
        self.targets = mock.create_autospec(TargetClient, instance=True)
        self.store = mock.create_autospec(StoreClient, instance=True)
        self.service = CoreService(
            self.core,
            self.inbox,
            self.gossip,
            self.links,
            self.targets,
            self.store,
            self.failures,
        )

    def put(self, *events: Event) -> None:
        """Send events to the core."""
        for event in events:
            self.inbox.put_nowait(event)

    async def wait_until_processed(self) -> NodeCore:
        """Wait until the events that were sent before are processed."""
        return await answer_of(self.inbox, ViewRequested)


async def answer_of(inbox: Inbox, build_event):
    """Send an event that is built from a future; return the answer."""
    answer = asyncio.get_running_loop().create_future()
    inbox.put_nowait(build_event(answer))
    async with asyncio.timeout(TIMEOUT_S):
        return await answer


@asynccontextmanager
async def running_core() -> AsyncIterator[RunningCore]:
    """Run a core service."""
    running = RunningCore()
    running.service.set_loop(asyncio.get_running_loop())
    task = asyncio.create_task(running.service.start())
    await running.wait_until_processed()
    yield running
    task.cancel()
    await asyncio.wait((task,))
