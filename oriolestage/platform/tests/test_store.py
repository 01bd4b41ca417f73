"""Tests of the store client against a stub server."""

import asyncio
import base64
import json
import socket
import unittest

from aiohttp import web

from oriolestage.entry._ports import (
    HistoryLostError,
    LeaseEndedError,
    StoreError,
)
from oriolestage.platform._store import StoreClient
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import (
    CrashStored,
    DataCentreClosed,
    HostRecord,
    TargetRemoved,
)


def _item(key: str, content: object) -> dict[str, object]:
    value = base64.b64encode(json.dumps(content).encode()).decode()
    return {'key': key, 'value': value, 'revision': 3}


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Requests and responses have the format of the platform."""

    async def asyncSetUp(self) -> None:
        """Start a stub server that returns prepared responses."""
        self._answers: list[tuple[int, object]] = []
        self._requests: list[tuple[str, str, str]] = []
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        await web.SockSite(self._runner, listener).start()
        port = listener.getsockname()[1]
        self._client = StoreClient(f'127.0.0.1:{port}')

    async def asyncTearDown(self) -> None:
        """Close the client and stop the server."""
        await self._client.close()
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.text()
        self._requests.append((request.method, request.raw_path, body))
        status, content = self._answers.pop(0)
        if isinstance(content, bytes):
            return web.Response(status=status, body=content)
        return web.json_response(content, status=status)

    async def test_pages(self) -> None:
        """All pages are read, and the revision is that of the first page.

        With a later revision, changes made between pages would be missed.
        """
        first = _item('op/evacuate/dc-a', {})
        second = _item('op/evacuate/dc-b', {})
        self._answers = [
            (200, {'items': [first], 'hasMore': True, 'storeRevision': 5}),
            (200, {'items': [second], 'hasMore': False, 'storeRevision': 9}),
        ]
        stored = await self._client.read_all()
        self.assertEqual(stored.revision, 5)
        self.assertEqual(
            stored.facts,
            (DataCentreClosed('dc-a'), DataCentreClosed('dc-b')),
        )
        self.assertIn('after=op/evacuate/dc-a', self._requests[1][1])

    async def test_changes(self) -> None:
        """The events of a watch are decoded."""
        removed = {'key': 'servers/i-1', 'revision': 7, 'removed': True}
        self._answers = [(200, {'events': [removed], 'storeRevision': 7})]
        changes = await self._client.changes_after(5, 0.1)
        self.assertEqual(changes.facts, (TargetRemoved('i-1'),))
        self.assertEqual(changes.revision, 7)

    async def test_failures(self) -> None:
        """Each failed status or invalid body raises its type of error."""
        cases: tuple[tuple[int, object, type[StoreError]], ...] = (
            (410, {}, HistoryLostError),
            (503, {}, StoreError),
            (429, {}, StoreError),
            (200, b'not json', StoreError),
            (200, {'events': 1}, StoreError),
        )
        for status, content, expected in cases:
            self._answers = [(status, content)]
            with self.subTest(status=status, content=content):
                with self.assertRaises(expected):
                    await self._client.changes_after(5, 0.1)

    async def test_registration(self) -> None:
        """A host registers under a lease; an ended lease raises an error."""
        self._answers = [
            (200, {'lease': 7, 'ttlMs': 3000}),
            (200, {'revision': 8}),
            (404, {}),
        ]
        lease = await self._client.open_lease(3)
        await self._client.register_host(HostRecord('h', 'dc', 'a:1'), lease)
        written = json.loads(self._requests[1][2])['writes'][0]
        self.assertEqual(written['key'], 'hosts/h')
        self.assertEqual(written['lease'], 7)
        with self.assertRaises(LeaseEndedError):
            await self._client.renew_lease(lease)

    async def test_crash_reports(self) -> None:
        """A crash report that is written is read back unchanged."""
        report = CrashReport(0x1F, 'i-1')
        self._answers = [(200, {'revision': 8})]
        await self._client.report_crashes([report], 7)
        written = json.loads(self._requests[0][2])['writes'][0]
        self.assertEqual(written['lease'], 7)
        item = {'key': written['key'], 'value': written['value']}
        page = {'items': [item], 'storeRevision': 8}
        self._answers = [(200, page)]
        stored = await self._client.read_all()
        self.assertEqual(stored.facts, (CrashStored(report),))

    async def test_store_unreachable(self) -> None:
        """A call to an unreachable store raises an error."""
        await self._runner.cleanup()
        with self.assertRaises(StoreError):
            async with asyncio.timeout(5):
                await self._client.read_all()
