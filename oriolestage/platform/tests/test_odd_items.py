"""Tests of reading a store in which single items are odd."""

import unittest

from oriolestage.platform._store import StoreClient
from oriolestage.platform.tests.platform_store import PlatformStore
from oriolestage.platform.tests.stored_items import (
    HUGE,
    as_json,
    make_configuration,
    make_host,
    make_registration,
    with_deep_field,
)
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import (
    CrashStored,
    DataCentreClosed,
    HostStored,
    StoredFact,
    TargetStored,
    UnreadableItem,
)

#: Items on a page, so that an odd one is on a page with others and the
#: listing takes several pages.
PAGE_ITEMS = 3
WATCH_WAIT_S = 0.1
#: Key of an odd item, its content, and what it is read as. Of the last two
#: kinds of item the key says everything.
ODD_ITEMS: tuple[tuple[str, bytes, type[StoredFact]], ...] = (
    ('servers/i-5', with_deep_field(make_registration()), UnreadableItem),
    ('hosts/h-5', with_deep_field(make_host()), UnreadableItem),
    ('op/config', with_deep_field(make_configuration()), UnreadableItem),
    ('crashes/00000000000000ff/i-5', with_deep_field(b'{"a": 1}'), CrashStored),
    (
        'servers/i-5',
        make_registration(address='127.0.0.1:99999'),
        UnreadableItem,
    ),
    ('hosts/h-5', make_host(peer_address='127.0.0.1:99999'), UnreadableItem),
    ('servers/i-5', make_registration(concurrencyLimit=HUGE), UnreadableItem),
    ('servers/i-5', make_registration(warmupLeftMs=1e300), UnreadableItem),
    ('op/config', make_configuration(version=HUGE), UnreadableItem),
    ('op/config', make_configuration({'timeoutMs': 1e300}), UnreadableItem),
    (f'crashes/{"f" * 17}/i-5', b'{}', UnreadableItem),
    ('crashes/-1/i-5', b'{}', UnreadableItem),
    ('hosts/', make_host(), UnreadableItem),
    ('op/evacuate/dc-e', with_deep_field(b'{"a": 1}'), DataCentreClosed),
)


class OddItemTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one odd item that ends the reading of all others."""

    async def asyncSetUp(self) -> None:
        """Start a store that lists a few items at once."""
        self._store = PlatformStore(PAGE_ITEMS)
        await self._store.start()
        self._client = StoreClient(self._store.address)

    async def asyncTearDown(self) -> None:
        """Close the client and stop the store."""
        await self._client.close()
        await self._store.close()

    async def test_pages(self) -> None:
        """A full read returns the good items before and after an odd one."""
        for key, encoded, kind in ODD_ITEMS:
            with self.subTest(key=key, encoded=encoded[:200]):
                self._write_good_items()
                self._store.write(key, as_json(encoded))
                try:
                    stored = await self._client.read_all()
                finally:
                    self._store.remove(key)
                self._check(stored.facts, kind)

    async def test_watches(self) -> None:
        """A watch returns the changes before and after an odd one."""
        for key, encoded, kind in ODD_ITEMS:
            with self.subTest(key=key, encoded=encoded[:200]):
                position = (await self._client.read_all()).position
                self._write_good_items()
                self._store.write(key, as_json(encoded))
                self._write_good_items()
                try:
                    changes = await self._client.changes_after(
                        position, WATCH_WAIT_S
                    )
                finally:
                    self._restart_history(key)
                self._check(changes.facts, kind, repeated=2)

    def _write_good_items(self) -> None:
        for number in (1, 9):
            self._store.write(
                f'servers/i-{number}', as_json(make_registration())
            )
            self._store.write(f'hosts/h-{number}', as_json(make_host()))
            self._store.write(f'op/evacuate/dc-{number}', {})
            self._store.write(f'crashes/{number:016x}/i-1', {})

    def _restart_history(self, key: str) -> None:
        """Remove an item and forget all changes so far."""
        self._store.remove(key)
        content = self._store.content
        content.history.clear()
        content.oldest_revision = content.revision

    def _check(
        self,
        facts: tuple[StoredFact, ...],
        kind: type[StoredFact],
        repeated: int = 1,
    ) -> None:
        """Check that all good items were read, and one odd item."""
        expected = {
            TargetStored: 2 * repeated,
            HostStored: 2 * repeated,
            DataCentreClosed: 2 * repeated,
            CrashStored: 2 * repeated,
            UnreadableItem: 0,
        }
        expected[kind] += 1
        counts = dict.fromkeys(expected, 0)
        for fact in facts:
            counts[type(fact)] += 1
        self.assertEqual(counts, expected)
        self.assertIn(CrashStored(CrashReport(9, 'i-1')), facts)
