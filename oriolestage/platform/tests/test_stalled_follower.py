"""Tests of hosts that stop following the store while it answers."""

import asyncio
from unittest import IsolatedAsyncioTestCase

import msgspec

from oriolestage.platform.tests.following_host import (
    CONFIGURATION_KEY,
    FollowingHost,
    configuration,
    holds_within,
)
from oriolestage.platform.tests.platform_store import PlatformStore

#: Time within which a configuration that the store has acknowledged is in
#: force at each host (``configApplyMs``), in seconds.
APPLY_S = 4.0
OTHER_KEY = 'servers/i-other'
#: Levels of lists; Python's JSON decoders recurse for each.
NESTING_LEVELS = 1500
#: Length of a configuration, and number of versions that are longer together
#: than any answer that a host accepts.
LONG_CONFIGURATION_BYTES = 700_000
LONG_VERSIONS = 14


def nested_entry() -> bytes:
    """Return the registration of a target with deep lists in another field."""
    entry = msgspec.json.encode(
        {
            'service': 's-1',
            'address': '10.0.0.9:80',
            'zone': 'dc-a',
            'concurrencyLimit': 2,
            'state': 'ready',
            'warmupLeftMs': 0,
            'version': 'v1',
            'sequence': 1,
        },
    )
    lists = b'[' * NESTING_LEVELS + b']' * NESTING_LEVELS
    return entry.removesuffix(b'}') + b',"note":' + lists + b'}'


def long_configuration(version: int) -> dict[str, object]:
    """Return a configuration that takes much of an answer."""
    padding = 'x' * LONG_CONFIGURATION_BYTES
    return {**configuration(version), 'padding': padding}


class StalledFollowerTest(IsolatedAsyncioTestCase):
    """An acknowledged configuration is in force in time at each host."""

    async def asyncSetUp(self) -> None:
        """Start a store with a configuration."""
        self._store = PlatformStore()
        self.addAsyncCleanup(self._store.close)
        await self._store.start()
        self._store.write(CONFIGURATION_KEY, configuration(7))

    async def _start_host(self) -> FollowingHost:
        host = FollowingHost(self._store.address)
        self.addAsyncCleanup(host.close)
        return host

    async def _is_in_force(self, host: FollowingHost, version: int) -> bool:
        return await holds_within(APPLY_S, lambda: host.version == version)

    async def test_undecodable_entry_in_changes(self) -> None:
        """Guards against one entry that keeps a host from all later changes."""
        host = await self._start_host()
        self.assertTrue(await self._is_in_force(host, 7))
        self._store.write_bytes(OTHER_KEY, nested_entry())
        self._store.write(CONFIGURATION_KEY, configuration(9))
        self.assertTrue(await self._is_in_force(host, 9))
        self._store.remove(OTHER_KEY)
        self._store.write(CONFIGURATION_KEY, configuration(12))
        self.assertTrue(await self._is_in_force(host, 12))

    async def test_undecodable_entry_at_start(self) -> None:
        """Guards against one entry that keeps a host from its first read."""
        self._store.write_bytes(OTHER_KEY, nested_entry())
        host = await self._start_host()
        self.assertTrue(await self._is_in_force(host, 7))

    async def test_changes_too_long_for_one_answer(self) -> None:
        """Guards against asking again for changes that no answer can hold."""
        host = await self._start_host()
        self.assertTrue(await self._is_in_force(host, 7))
        self._store.silent = True
        self._store.cut_connections()
        for version in range(8, 8 + LONG_VERSIONS):
            self._store.write(CONFIGURATION_KEY, long_configuration(version))
            await asyncio.sleep(0)
        self._store.silent = False
        self.assertTrue(await self._is_in_force(host, 7 + LONG_VERSIONS))
