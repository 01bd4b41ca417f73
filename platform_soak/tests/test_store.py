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
