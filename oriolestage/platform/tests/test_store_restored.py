"""Tests of a host whose store is restored from an older copy."""

import asyncio
import itertools
from collections.abc import Callable
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._store_pacing import COALESCING_DELAY_S
from oriolestage.platform._names import STORE_RANGE_PATH
from oriolestage.platform._store import StoreClient
from oriolestage.platform.tests.following_host import (
    CONFIGURATION_KEY,
    FollowingHost,
    configuration,
    holds_within,
)
from oriolestage.platform.tests.platform_store import (
    PlatformStore,
    StoreContent,
)
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._targets import (
    LAPSE_GRACE_PERIOD_S,
    RESURRECTED_HOLD_S,
)

#: Time within which a host knows the content of a restored store, in seconds;
#: a watch that was cut is repeated after a back-off.
NOTICE_S = 2.0
TARGET = {  # noqa: WPS407
    'service': 's-1',
    'address': '10.0.0.1:80',
    'zone': 'dc-a',
    'concurrencyLimit': 2,
    'state': 'ready',
    'version': 'v1',
    'sequence': 1,
    'warmupLeftMs': 0,
    'born': 77,
}
HOST = HostRecord('host-1', 'dc-a', '127.0.0.1:9')
#: Path of the interval that tests shorten.
RENEWAL_INTERVAL = 'oriolestage.entry._host_registration.RENEWAL_INTERVAL_S'


async def holds_in_time(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return False if `NOTICE_S` passes first."""
    return await holds_within(NOTICE_S, condition)


class StoreRestoredTest(IsolatedAsyncioTestCase):
    """Revisions of before a restoration are not used after it."""

    async def asyncSetUp(self) -> None:
        """Start a store with a configuration and a host that follows it."""
        self._store = PlatformStore(page_items=2)
        await self._store.start()
        self._store.write(CONFIGURATION_KEY, configuration(7))
        self._host = FollowingHost(self._store.address)
        await holds_in_time(lambda: self._host.version == 7)

    async def asyncTearDown(self) -> None:
        """Stop the host and the store."""
        await self._host.close()
        await self._store.close()

    async def _advance(self, writes: int) -> None:
        """Write items of no concern and wait until the host knows them."""
        for number in range(writes):
            self._store.write(f'other/{number}', {})
        revision = self._store.content.revision
        await holds_in_time(
            lambda: self._host.follower.freshness.revision >= revision
        )

    async def _assert_version(self, version: int) -> None:
        await holds_in_time(lambda: self._host.version == version)
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
        await holds_in_time(lambda: second.version == 9)
        await second.close()
        self.assertEqual(second.version, 9)

    async def test_waiting_call_of_earlier_era(self) -> None:
        """A watch that is never answered does not delay the new content.

        Another call states the new era while the watch still waits.
        """
        copied = self._store.take_copy()
        await self._advance(3)
        await asyncio.sleep(COALESCING_DELAY_S + 0.1)
        self._store.restore(copied, cut=False)
        self._store.write(CONFIGURATION_KEY, configuration(9))
        await self._host.client.open_lease(8)
        await self._assert_version(9)

    async def test_closed_data_centre(self) -> None:
        """A closed data centre that the copy lacks stays closed for a while.

        The operators write its key again.
        """
        copied = self._store.take_copy()
        self._store.write('op/evacuate/dc-a', {})
        self.assertTrue(await holds_in_time(lambda: self._closed('dc-a')))
        await self._restore_and_read(copied)
        self.assertTrue(self._closed('dc-a'))
        self._store.write('op/evacuate/dc-a', {})
        await asyncio.sleep(LAPSE_GRACE_PERIOD_S + 0.5)
        self.assertTrue(self._closed('dc-a'))
        self._store.remove('op/evacuate/dc-a')
        self.assertTrue(await holds_in_time(lambda: not self._closed('dc-a')))

    async def test_removed_target(self) -> None:
        """A target that was removed is not used because the copy has it."""
        self._store.write('servers/i-1', TARGET)
        await holds_in_time(self._usable)
        copied = self._store.take_copy()
        self._store.remove('servers/i-1')
        await holds_in_time(lambda: not self._usable())
        await self._restore_and_read(copied)
        self.assertFalse(self._usable())
        self._store.write('servers/i-1', TARGET)
        self.assertTrue(await holds_in_time(self._usable))

    async def test_removed_target_stays(self) -> None:
        """It is used again if its entry outlives the time of a lapse."""
        self._store.write('servers/i-1', TARGET)
        await holds_in_time(self._usable)
        copied = self._store.take_copy()
        self._store.remove('servers/i-1')
        await holds_in_time(lambda: not self._usable())
        await self._restore_and_read(copied)
        await asyncio.sleep(RESURRECTED_HOLD_S)
        self.assertTrue(await holds_in_time(self._usable))

    async def test_draining_target(self) -> None:
        """A target that was draining is not used because the copy is older."""
        self._store.write('servers/i-1', TARGET)
        await holds_in_time(self._usable)
        copied = self._store.take_copy()
        self._store.write('servers/i-1', {**TARGET, 'state': 'draining'})
        await holds_in_time(lambda: not self._usable())
        await self._restore_and_read(copied)
        self.assertFalse(self._usable())
        self._store.write('servers/i-1', {**TARGET, 'born': 78})
        self.assertTrue(await holds_in_time(self._usable))

    def _usable(self) -> bool:
        return any(self._host.directory.usable('s-1'))

    async def _restore_and_read(self, copied: StoreContent) -> None:
        """Restore the store and let the host read it whole."""
        reads = self._store.calls.count(STORE_RANGE_PATH)
        self._store.restore(copied)
        await holds_in_time(
            lambda: self._store.calls.count(STORE_RANGE_PATH) > reads
        )
        await asyncio.sleep(0.1)

    async def test_opened_data_centre(self) -> None:
        """A closed data centre that is not written again is opened."""
        copied = self._store.take_copy()
        self._store.write('op/evacuate/dc-a', {})
        await holds_in_time(lambda: self._closed('dc-a'))
        self._store.restore(copied)
        await asyncio.sleep(LAPSE_GRACE_PERIOD_S)
        self.assertTrue(await holds_in_time(lambda: not self._closed('dc-a')))

    def _closed(self, data_centre: str) -> bool:
        return data_centre in self._host.directory.closed_data_centres


class RegistrationTest(IsolatedAsyncioTestCase):
    """A host stays registered in a store that is restored."""

    async def asyncSetUp(self) -> None:
        """Start a store and a host that registers there."""
        self._store = PlatformStore()
        await self._store.start()
        self._client = StoreClient(self._store.address)
        self._registration = HostRegistration(self._client, HOST)
        interval = mock.patch(RENEWAL_INTERVAL, 0.1)
        interval.start()
        self.addCleanup(interval.stop)
        self._task = asyncio.create_task(self._registration.run())

    async def asyncTearDown(self) -> None:
        """Stop the host and the store."""
        self._task.cancel()
        await self._client.close()
        await self._store.close()

    async def _registered(self) -> bool:
        """Wait until the host is registered; return whether it is."""
        return await holds_in_time(lambda: self._store.holds('hosts/host-1'))

    async def test_lease_given_out_again(self) -> None:
        """A host does not take another host's lease for its own.

        After the restoration the number of its lease was given out again, so
        that the renewals succeeded and the host was never registered again.
        """
        copied = self._store.take_copy()
        self.assertTrue(await self._registered())
        self._store.restore(copied)
        other = self._store.open_lease()
        self._store.write('hosts/host-2', {}, other)
        self.assertTrue(await self._registered())
        await self._registration.withdraw()
        self.assertFalse(self._store.holds('hosts/host-1'))
        self.assertTrue(self._store.holds('hosts/host-2'))

    async def test_withdraw_of_replaced_lease(self) -> None:
        """A host that stops does not end a lease of the era before."""
        copied = self._store.take_copy()
        self.assertTrue(await self._registered())
        self._task.cancel()
        self._store.restore(copied)
        other = self._store.open_lease()
        self._store.write('hosts/host-2', {}, other)
        await self._client.read_all()
        await self._registration.withdraw()
        self.assertTrue(self._store.holds('hosts/host-2'))
