"""Tests of the store client against a stub server."""

import asyncio
import base64
import json
import socket
import unittest

from aiohttp import web

from oriolestage.entry._ports import (
    AnswerRejectedError,
    HistoryLostError,
    HistoryReplacedError,
    Lease,
    LeaseEndedError,
    StoreError,
    StorePosition,
)
from oriolestage.platform._store import StoreClient
from oriolestage.platform._store_calls import MAX_PAGE_BYTES
from oriolestage.routing._crash_detector import ANSWERED, CrashReport
from oriolestage.routing._facts import (
    CrashStored,
    DataCentreClosed,
    HostRecord,
    TargetRemoved,
    UnreadableItem,
)
from oriolestage.routing._trials import TrialReport

#: Levels of lists; the JSON decoders recurse for each.
NESTING_LEVELS = 3000


def _item(key: str, content: object) -> dict[str, object]:
    value = base64.b64encode(json.dumps(content).encode()).decode()
    return {'key': key, 'value': value, 'revision': 3}


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Requests and responses have the format of the platform."""

    async def asyncSetUp(self) -> None:
        """Start a stub server that returns prepared responses."""
        self._answers: list[tuple[int, object]] = []
        #: Eras that the answers state, in order; None for an answer without.
        self._eras: list[str | None] = []
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
        era = self._eras.pop(0) if self._eras else None
        headers = {} if era is None else {'Store-Era': era}
        if isinstance(content, bytes):
            return web.Response(status=status, body=content, headers=headers)
        return web.json_response(content, status=status, headers=headers)

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
        self.assertEqual(stored.position, StorePosition(None, 5))
        self.assertEqual(
            stored.facts,
            (DataCentreClosed('dc-a'), DataCentreClosed('dc-b')),
        )
        self.assertIn('after=op/evacuate/dc-a', self._requests[1][1])

    async def test_changes(self) -> None:
        """The events of a watch are decoded."""
        removed = {'key': 'servers/i-1', 'revision': 7, 'removed': True}
        self._answers = [(200, {'events': [removed], 'storeRevision': 7})]
        changes = await self._client.changes_after(StorePosition(None, 5), 0.1)
        self.assertEqual(changes.facts, (TargetRemoved('i-1'),))
        self.assertEqual(changes.position, StorePosition(None, 7))

    async def test_unreadable_values(self) -> None:
        """Guards against one bad value that stops the reading of all others.

        Every host would fail to read the store, and the fleet would know no
        configuration and no targets.
        """
        good = _item('op/evacuate/dc-a', {})
        for value in ('!', 'a', 'YQ', '\u00e9', 7, None, ['YQ==']):
            bad = {'key': 'servers/i-1', 'value': value, 'revision': 4}
            with self.subTest(value=value):
                self._answers = [
                    (200, {'items': [bad, good], 'storeRevision': 5}),
                    (200, {'events': [bad, good], 'storeRevision': 6}),
                ]
                stored = await self._client.read_all()
                changes = await self._client.changes_after(stored.position, 0.1)
                for facts in (stored.facts, changes.facts):
                    unreadable, closed = facts
                    assert isinstance(unreadable, UnreadableItem)
                    self.assertEqual(unreadable.target, 'i-1')
                    self.assertEqual(closed, DataCentreClosed('dc-a'))

    async def test_answers_that_stay_unusable(self) -> None:
        """Guards against repeating a call whose answer would be the same."""
        lists = b'[' * NESTING_LEVELS + b']' * NESTING_LEVELS
        nested = b'{"items":[{"key":"k","value":%b}],"storeRevision":5}' % lists
        for status, content in (
            (200, b'no JSON'),
            (200, {'items': 7, 'storeRevision': 5}),
            (200, nested),
            (200, b' ' * (MAX_PAGE_BYTES + 1)),
            (400, {}),
            (403, {}),
            (404, {}),
            (414, {}),
        ):
            with self.subTest(status=status, content=str(content)[:40]):
                self._answers = [(status, content)]
                with self.assertRaises(AnswerRejectedError):
                    await self._client.read_all()

    async def test_nested_answer_to_registration(self) -> None:
        """Guards against an error that ends the task of the registration."""
        lists = b'[' * NESTING_LEVELS + b']' * NESTING_LEVELS
        nested = b'{"items":[{"key":"hosts/h","value":%b}]}' % lists
        record = HostRecord('h', 'dc-a', '10.0.0.1:80')
        self._answers = [(200, nested)]
        with self.assertRaises(StoreError):
            await self._client.register_host(record, Lease(None, 7))

    async def test_answers_that_may_change(self) -> None:
        """A store that is busy or down is called again."""
        for status in (408, 429, 500, 502, 503):
            with self.subTest(status=status):
                self._answers = [(status, {})]
                with self.assertRaises(StoreError) as raised:
                    await self._client.read_all()
                self.assertNotIsInstance(raised.exception, AnswerRejectedError)

    async def test_answer_to_earlier_call(self) -> None:
        """Changes and pages before those that were asked for are an error.

        They are a second copy of an earlier answer.
        """
        first = _item('op/evacuate/dc-a', {})
        page = {'items': [first], 'hasMore': True, 'storeRevision': 5}
        self._answers = [
            (200, {'events': [first], 'storeRevision': 5}),
            (200, page),
            (200, page),
        ]
        with self.assertRaises(StoreError):
            await self._client.changes_after(StorePosition(None, 5), 0.1)
        with self.assertRaises(StoreError):
            await self._client.read_all()

    async def test_invalid_eras(self) -> None:
        """An answer whose era is missing, malformed or older is an error.

        The era of the answers before stays the latest one.
        """
        listed = {'items': [], 'hasMore': False, 'storeRevision': 5}
        for era in (None, '', '-1', '2.5', '\u0663', '9' * 5000, '2'):
            self._eras = ['3', era]
            self._answers = [(200, listed), (200, listed)]
            with self.subTest(era=era):
                stored = await self._client.read_all()
                self.assertEqual(stored.position, StorePosition(3, 5))
                with self.assertRaises(StoreError) as raised:
                    await self._client.read_all()
                self.assertEqual(raised.exception.step, 'store.kv-range')
                self.assertEqual(self._client.eras.era, 3)

    async def test_lost_history_without_era(self) -> None:
        """A refusal is understood whatever it states as its era."""
        listed = {'items': [], 'hasMore': False, 'storeRevision': 5}
        self._eras = ['3', None]
        self._answers = [(200, listed), (410, {})]
        position = (await self._client.read_all()).position
        with self.assertRaises(HistoryLostError):
            await self._client.changes_after(position, 0.1)

    async def test_first_stated_era(self) -> None:
        """An era that is stated for the first time voids known revisions."""
        listed = {'items': [], 'hasMore': False, 'storeRevision': 5}
        self._eras = [None, '1']
        self._answers = [
            (200, listed),
            (200, {'events': [], 'storeRevision': 6}),
        ]
        position = (await self._client.read_all()).position
        with self.assertRaises(HistoryReplacedError):
            await self._client.changes_after(position, 0.1)

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
                    await self._client.changes_after(
                        StorePosition(None, 5), 0.1
                    )

    async def test_registration(self) -> None:
        """A host registers under a lease; an ended lease raises an error.

        It writes on the condition that its registration is as it was read,
        and not if that is under its lease already.
        """
        record = HostRecord('h', 'dc', 'a:1')
        other = _item('hosts/h2', {})
        self._answers = [
            (200, {'lease': 7, 'ttlMs': 3000}),
            (200, {'items': [other], 'storeRevision': 7}),
            (200, {'revision': 8}),
        ]
        lease = await self._client.open_lease(3)
        self.assertTrue(await self._client.register_host(record, lease))
        transaction = json.loads(self._requests[2][2])
        absent = [{'key': 'hosts/h', 'revision': 0}]
        self.assertEqual(transaction['expectedRev'], absent)
        self.assertEqual(len(transaction['writes']), 1)
        written = transaction['writes'][0]
        self.assertEqual(written['key'], 'hosts/h')
        self.assertEqual(written['lease'], 7)
        for known_lease, status in ((7, 0), (6, 200), (6, 412), (6, 404)):
            stored = {**written, 'revision': 8, 'lease': known_lease}
            self._answers = [(200, {'items': [stored], 'storeRevision': 8})]
            if status:
                self._answers.append((status, {}))
            with self.subTest(lease=known_lease, status=status):
                await self._register_again(record, lease, status)
        self._answers = [(404, {})]
        with self.assertRaises(LeaseEndedError):
            await self._client.renew_lease(lease)

    async def _register_again(
        self, record: HostRecord, lease: Lease, status: int
    ) -> None:
        """Register a host that is known; 0 for a write that is not needed."""
        calls = len(self._requests)
        match status:
            case 0:
                self.assertFalse(
                    await self._client.register_host(record, lease)
                )
                self.assertEqual(len(self._requests), calls + 1)
                return
            case 200:
                self.assertTrue(await self._client.register_host(record, lease))
            case 404:
                with self.assertRaises(LeaseEndedError):
                    await self._client.register_host(record, lease)
            case _:
                with self.assertRaises(StoreError):
                    await self._client.register_host(record, lease)
        transaction = json.loads(self._requests[-1][2])
        known = [{'key': 'hosts/h', 'revision': 8}]
        self.assertEqual(transaction['expectedRev'], known)

    async def test_claimed_trial(self) -> None:
        """A trial is claimed on the condition that no host has done so.

        The claim is read back by the other hosts.
        """
        trial = TrialReport(0x1F, 2)
        self._answers = [(200, {'revision': 8})]
        await self._client.claim_trial(trial, Lease(None, 7))
        transaction = json.loads(self._requests[-1][2])
        written = transaction['writes'][0]
        self.assertEqual(
            transaction['expectedRev'], [{'key': written['key'], 'revision': 0}]
        )
        self.assertEqual(written['lease'], 7)
        item = {'key': written['key'], 'value': written['value']}
        self._answers = [(200, {'items': [item], 'storeRevision': 8})]
        stored = await self._client.read_all()
        self.assertEqual(stored.facts, (CrashStored(trial),))
        for status, expected in (
            (412, AnswerRejectedError),
            (404, LeaseEndedError),
            (503, StoreError),
        ):
            self._answers = [(status, {})]
            with self.subTest(status=status), self.assertRaises(expected):
                await self._client.claim_trial(trial, Lease(None, 7))

    async def test_crash_reports(self) -> None:
        """Reports of crashes and of an answer are read back unchanged."""
        for target in ('i-1', ANSWERED):
            report = CrashReport(0x1F, target)
            self._answers = [(200, {'revision': 8})]
            await self._client.report_crashes([report], Lease(None, 7))
            written = json.loads(self._requests[-1][2])['writes'][0]
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
