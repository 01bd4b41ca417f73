"""Tests of the store's client against a small stand-in."""

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
from oriolestage.relay._crash_detector import CrashReport
from oriolestage.relay._facts import (
    CrashStored,
    DataCentreClosed,
    HostRecord,
    TargetRemoved,
)


def _item(key: str, content: object) -> dict[str, object]:
    value = base64.b64encode(json.dumps(content).encode()).decode()
    return {'key': key, 'value': value, 'revision': 3}


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls are written and answers are read as the platform says."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in that gives prepared answers."""
        self._answers: list[tuple[int, object]] = []
        self._asked: list[tuple[str, str, str]] = []
        listening = socket.socket()
        listening.bind(('127.0.0.1', 0))
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        await web.SockSite(self._runner, listening).start()
        port = listening.getsockname()[1]
        self._client = StoreClient(f'127.0.0.1:{port}')

    async def asyncTearDown(self) -> None:
        """Stop the stand-in."""
        await self._client.close()
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.text()
        self._asked.append((request.method, request.raw_path, body))
        status, content = self._answers.pop(0)
        if isinstance(content, bytes):
            return web.Response(status=status, body=content)
        return web.json_response(content, status=status)

    async def test_pages(self) -> None:
        """All pages are read; changes count from the first page."""
        first = _item('op/evacuate/dc-a', {})
        second = _item('op/evacuate/dc-b', {})
        self._answers = [
            (200, {'items': [first], 'hasMore': True, 'storeRevision': 5}),
            (200, {'items': [second], 'hasMore': False, 'storeRevision': 9}),
        ]
        view = await self._client.read_all()
        self.assertEqual(view.revision, 5)
        self.assertEqual(
            view.facts,
            (DataCentreClosed('dc-a'), DataCentreClosed('dc-b')),
        )
        self.assertIn('after=op/evacuate/dc-a', self._asked[1][1])

    async def test_changes(self) -> None:
        """Events are decoded in order."""
        removed = {'key': 'servers/i-1', 'revision': 7, 'removed': True}
        self._answers = [(200, {'events': [removed], 'storeRevision': 7})]
        changes = await self._client.changes_after(5, 0.1)
        self.assertEqual(changes.facts, (TargetRemoved('i-1'),))
        self.assertEqual(changes.revision, 7)

    async def test_failures(self) -> None:
        """Each failure has its type; none is taken for an answer."""
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
        """A host is registered under its lease; an ended lease is told."""
        self._answers = [
            (200, {'lease': 7, 'ttlMs': 3000}),
            (200, {'revision': 8}),
            (404, {}),
        ]
        lease = await self._client.open_lease(3)
        await self._client.register_host(HostRecord('h', 'dc', 'a:1'), lease)
        written = json.loads(self._asked[1][2])['writes'][0]
        self.assertEqual(written['key'], 'hosts/h')
        self.assertEqual(written['lease'], 7)
        with self.assertRaises(LeaseEndedError):
            await self._client.renew_lease(lease)

    async def test_crash_reports(self) -> None:
        """A report that is written is read as the same report."""
        report = CrashReport(0x1F, 'i-1')
        self._answers = [(200, {'revision': 8})]
        await self._client.report_crashes([report], 7)
        written = json.loads(self._asked[0][2])['writes'][0]
        self.assertEqual(written['lease'], 7)
        item = {'key': written['key'], 'value': written['value']}
        page = {'items': [item], 'storeRevision': 8}
        self._answers = [(200, page)]
        view = await self._client.read_all()
        self.assertEqual(view.facts, (CrashStored(report),))

    async def test_nobody_there(self) -> None:
        """A store that is not there is a failed call, not an answer."""
        await self._runner.cleanup()
        with self.assertRaises(StoreError):
            async with asyncio.timeout(5):
                await self._client.read_all()
