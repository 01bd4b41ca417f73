"""Tests of the stand-in of the store."""

import asyncio
import unittest

from platform_soak.record import Record
from platform_soak.store import Store

KEY = 'op/config'


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """A watch loses no change."""

    async def test_change_as_time_is_up(self) -> None:
        """Guards against an answer whose revision is past its changes.

        The host would continue after a version that it was never told of.
        """
        store = Store(Record())
        after = store.revision
        async with store.changed:
            watch = asyncio.create_task(
                store.watch({'after': str(after), 'waitMs': '0'})
            )
            await asyncio.sleep(0)
            put = asyncio.create_task(store.put(KEY, {}))
            while store.revision == after:
                await asyncio.sleep(0)
            while not watch.done():
                await asyncio.sleep(0)
        await put
        _, answer = watch.result()
        self.assertEqual(answer['storeRevision'], store.revision)
        self.assertEqual([event['key'] for event in answer['events']], [KEY])


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """The store comes back from a copy as the users' platform does."""

    async def test_operator_writes_again(self) -> None:
        """What was written since is gone but for what is written again."""
        store = Store(Record())
        await store.put('op/kept', 1)
        await store.put('op/removed', 1)
        copied = store.take_copy()
        await store.remove('op/removed')
        await store.put(KEY, 9)
        await store.put('hosts/h', {})
        lost = await store.restore(copied)
        self.assertEqual(store.keys(''), {'op/kept', 'op/removed'})
        self.assertLess(store.revision, lost.revision)
        kept = store.revision_of('op/kept')
        await store.write_again('op/', lost)
        self.assertEqual(store.keys(''), {'op/kept', KEY})
        self.assertEqual(store.revision_of('op/kept'), kept)
