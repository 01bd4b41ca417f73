"""Tests of a host whose store is restored from an older copy."""

import asyncio
import itertools
import unittest
from collections.abc import Callable

from oriolestage.entry._store_follower import StoreFollower
from oriolestage.platform._store import StoreClient
from oriolestage.platform.tests.platform_store import PlatformStore
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
)

CONFIGURATION_KEY = 'op/config'
#: Time within which a host knows the content of a restored store, in seconds;
#: a watch that was cut is repeated after a back-off.
NOTICE_S = 2.0
PROPAGATION_LIMIT_S = 5.0


def configuration(version: int) -> dict[str, object]:
    """Return a configuration without routes."""
    return {'version': version, 'routes': [], 'services': []}


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
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(self.follower.expire()),
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


class StoreRestoredTest(unittest.IsolatedAsyncioTestCase):
    """Revisions of before a restoration are not used after it."""

    async def asyncSetUp(self) -> None:
        """Start a store with a configuration and a host that follows it."""
        self._store = PlatformStore(page_items=2)
        await self._store.start()
        self._store.write(CONFIGURATION_KEY, configuration(7))
        self._host = FollowingHost(self._store.address)
        await self._until(lambda: self._host.version == 7)

    async def asyncTearDown(self) -> None:
        """Stop the host and the store."""
        await self._host.close()
        await self._store.close()

    async def _until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds or `NOTICE_S` has passed."""
        try:
            async with asyncio.timeout(NOTICE_S):
                while not condition():
                    await asyncio.sleep(0.01)
        except TimeoutError:
            return

    async def _advance(self, writes: int) -> None:
        """Write items of no concern and wait until the host knows them."""
        for number in range(writes):
            self._store.write(f'other/{number}', {})
        revision = self._store.content.revision
        await self._until(
            lambda: self._host.follower.freshness.revision >= revision
        )

    async def _assert_version(self, version: int) -> None:
        await self._until(lambda: self._host.version == version)
        self.assertEqual(self._host.version, version)

    async def test_configuration_below_known_revision(self) -> None:
        """A configuration is not missed that reuses a known revision.

        The store passed the host's old revision before its next watch, which
        was answered as if nothing had happened.
        """
        for version, rewritten in ((9, 0), (11, 1), (13, 2), (15, 5)):
            with self.subTest(rewritten=rewritten):
                copied = self._store.take_copy()
                await self._advance(3)
                self._store.restore(copied)
                self._store.write(CONFIGURATION_KEY, configuration(version))
                for number in range(rewritten):
                    self._store.write(f'other/{number}', {})
                await self._assert_version(version)

    async def test_restored_twice(self) -> None:
        """Two restorations in a row are noticed as well as one."""
        copied = self._store.take_copy()
        await self._advance(3)
        for version in (9, 11):
            self._store.restore(copied)
            self._store.write(CONFIGURATION_KEY, configuration(version))
            for number in range(5):
                self._store.write(f'other/{number}', {})
        await self._assert_version(11)

    async def test_restored_between_pages(self) -> None:
        """A listing is not put together from pages of two eras."""
        pages = itertools.count(1)
        copied = self._store.take_copy()
        await self._advance(6)

        def restore_before_third_page() -> None:
            if next(pages) == 3:
                self._store.restore(copied)
                self._store.write(CONFIGURATION_KEY, configuration(9))
                for number in range(12):
                    self._store.write(f'other/{number}', {})

        self._store.before_page = restore_before_third_page
        second = FollowingHost(self._store.address)
        await self._until(lambda: second.version == 9)
        await second.close()
        self.assertEqual(second.version, 9)
