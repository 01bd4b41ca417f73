"""Tests of calls to the store that are never answered.

They are sent in the last moments of a silent outage: the store is back soon
after, but the answers never come.
"""

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable, Mapping

from oriolestage.entry._ports import Lease, StoreError, StorePosition
from oriolestage.platform._store import StoreClient
from oriolestage.platform.tests.platform_store import (
    POLL_INTERVAL_S,
    PlatformStore,
)
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import HostRecord

#: Time within which a call has to end beyond its own waiting time, in seconds.
#: Half of the 5 s in which a change of the store has to be known.
LONGEST_CALL_S = 2.5
#: Time that a watch waits for changes, in seconds.
WATCH_WAIT_S = 0.2

_Call = Callable[[StoreClient, Lease, StorePosition], Awaitable[object]]
RECORD = HostRecord('host-1', 'dc-a', 'host-1:1')
#: A call of each kind, by its name.
CALLS: Mapping[str, _Call] = {  # noqa: WPS407
    'read': lambda client, *_: client.read_all(),
    'watch': lambda client, _, position: client.changes_after(
        position, WATCH_WAIT_S
    ),
    'lease': lambda client, *_: client.open_lease(8),
    'renewal': lambda client, lease, _: client.renew_lease(lease),
    'registration': lambda client, lease, _: client.register_host(
        RECORD, lease
    ),
    'report': lambda client, lease, _: client.report_crashes(
        (CrashReport(1, 't-1'),), lease
    ),
    'end': lambda client, lease, _: client.end_lease(lease),
}


class LostCallTest(unittest.IsolatedAsyncioTestCase):
    """A lost call ends by itself, and the next one is not affected by it."""

    async def asyncSetUp(self) -> None:
        """Start a store with a lease."""
        self._store = PlatformStore()
        await self._store.start()

    async def asyncTearDown(self) -> None:
        """Stop the store."""
        await self._store.close()

    async def test_each_kind(self) -> None:
        """Guards against a call without an end after a silent outage."""
        connected = asyncio.Barrier(len(CALLS) + 1)
        outage = asyncio.Event()
        async with asyncio.TaskGroup() as lost:
            for name, call in CALLS.items():
                lost.create_task(self._lose(name, call, connected, outage))
            await connected.wait()
            self._store.loses_calls = True
            received = len(self._store.calls)
            outage.set()
            while len(self._store.calls) < received + len(CALLS):
                await asyncio.sleep(POLL_INTERVAL_S)
            self._store.loses_calls = False

    async def _lose(
        self,
        name: str,
        call: _Call,
        connected: asyncio.Barrier,
        outage: asyncio.Event,
    ) -> None:
        """Make a call that is lost on an open connection, and it again."""
        client = StoreClient(self._store.address)
        lease = await client.open_lease(8)
        position = (await client.read_all()).position
        await connected.wait()
        await outage.wait()
        started_at = time.monotonic()
        try:
            with self.assertRaises(StoreError, msg=name):
                async with asyncio.timeout(2 * LONGEST_CALL_S):
                    await call(client, lease, position)
            took_s = time.monotonic() - started_at
            self.assertLessEqual(took_s, LONGEST_CALL_S + WATCH_WAIT_S, name)
            async with asyncio.timeout(LONGEST_CALL_S):
                await call(client, lease, position)
        finally:
            await client.close()
