"""Tests of roll-outs through the calls of the store."""

import base64
import json
import unittest
from collections.abc import Mapping

from oriolestage.entry._ports import Lease, StoreError
from oriolestage.platform._store import StoreClient
from oriolestage.platform.tests.following_host import holds_within
from oriolestage.platform.tests.platform_store import PlatformStore
from oriolestage.platform.tests.rolling_host import RollingHost
from oriolestage.platform.tests.stored_items import REGISTRATION
from oriolestage.rollouts._evidence import AttemptEnd
from oriolestage.rollouts.tests.builders import make_evidence, make_status

SERVICE = 's-1'
ORDER: Mapping[str, object] = {  # noqa: WPS407
    'service': SERVICE,
    'targetVersion': 'v2',
    'durationS': 60,
}
STATUS_KEY = f'status/rollout/{SERVICE}'
#: Time within which a host reads and writes, in seconds.
TIMEOUT_S = 10.0


class RolloutStoreTest(unittest.IsolatedAsyncioTestCase):
    """Hosts and operators exchange orders, counters and statuses."""

    async def asyncSetUp(self) -> None:
        """Start a store with a target of the old version."""
        self._store = PlatformStore()
        await self._store.start()
        self.addAsyncCleanup(self._store.close)
        self._store.write('servers/i-1', REGISTRATION)

    def _host(self, name: str) -> RollingHost:
        host = RollingHost(self._store.address, name)
        self.addAsyncCleanup(host.close)
        return host

    def _read(self, key: str) -> dict[str, object]:
        item = self._store.content.listed[key]
        content: dict[str, object] = json.loads(
            base64.b64decode(str(item['value']))
        )
        return content

    def _states(self, name: str) -> bool:
        if not self._store.holds(STATUS_KEY):
            return False
        return self._read(STATUS_KEY)['state'] == name

    async def test_bad_version(self) -> None:
        """A version that fails is rolled back, and both hosts follow."""
        hosts = [self._host('host-1'), self._host('host-2')]
        for host in hosts:
            self.assertTrue(await host.follower.wait_first_read(TIMEOUT_S))
        self._store.write('servers/i-2', {**REGISTRATION, 'version': 'v2'})
        self._store.write(f'op/rollout/{SERVICE}', ORDER)
        self.assertTrue(
            await holds_within(TIMEOUT_S, lambda: self._states('active'))
        )
        self.assertTrue(
            await holds_within(
                TIMEOUT_S,
                lambda: all(host.book.shares(0)[SERVICE] for host in hosts),
            )
        )
        own = hosts[0].book.own
        for _ in range(8):
            own.record_sent(SERVICE, 'v2')
            own.record_end(
                AttemptEnd(SERVICE, 'v2', 'r-1', 0.01, failed=True), 0
            )
        self.assertTrue(
            await holds_within(TIMEOUT_S, lambda: self._states('rolled_back'))
        )
        self.assertEqual(self._read(STATUS_KEY)['rejectedVersions'], ['v2'])

        def rejected() -> bool:
            splits = [host.book.split(SERVICE, 0) for host in hosts]
            return all(split and 'v2' in split.rejected for split in splits)

        self.assertTrue(await holds_within(TIMEOUT_S, rejected))

    async def test_conditional_status(self) -> None:
        """Guards against a late write that replaces a newer status."""
        client = StoreClient(self._store.address)
        self.addAsyncCleanup(client.close)
        status = make_status(service=SERVICE, revision=0)
        await client.write_status(status)
        with self.assertRaises(StoreError):
            await client.write_status(status)

    async def test_counters_under_a_lease(self) -> None:
        """Guards against counters that stay after their hosts are gone."""
        client = StoreClient(self._store.address)
        self.addAsyncCleanup(client.close)
        lease = await client.open_lease(8)
        await client.write_evidence([make_evidence(service=SERVICE)], lease)
        key = f'rollouts/{SERVICE}/other'
        self.assertTrue(self._store.holds(key))
        await client.end_lease(lease)
        self.assertFalse(self._store.holds(key))

    async def test_long_key(self) -> None:
        """A key that the store would refuse costs no other counters."""
        client = StoreClient(self._store.address)
        self.addAsyncCleanup(client.close)
        lease: Lease = await client.open_lease(8)
        await client.write_evidence(
            [make_evidence(service='x' * 300), make_evidence()], lease
        )
        self.assertTrue(self._store.holds('rollouts/search/other'))
