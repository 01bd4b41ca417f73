"""Tests of pages and changes of the store with items of an odd form."""

import base64
import json
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry._ports import (
    AnswerRejectedError,
    Lease,
    StoreError,
    StorePosition,
)
from oriolestage.platform._documents import crash_key
from oriolestage.platform._store import StoreClient
from oriolestage.platform._store_calls import StoreAnswer, StoreCalls
from oriolestage.platform.tests.stored_items import DEEP_NESTING
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import (
    DataCentreClosed,
    HostRecord,
    StoredFact,
    TargetRemoved,
    UnreadableItem,
)

#: Items that do not have the form of one: no object, or no text as the key.
ODD_ITEMS: tuple[object, ...] = (
    7,
    None,
    'op/evacuate/dc-c',
    [],
    {},
    {'key': 7, 'value': '', 'revision': 3},
    {'key': None, 'revision': 3, 'removed': True},
)
RECORD = HostRecord('h', 'dc-a', '127.0.0.2:1')
LEASE = Lease(None, 7)
#: Most characters of the identity of a target that is registered, whose key
#: has at most 200 bytes.
LONGEST_IDENTITY = 200 - len('servers/')
POSITION = StorePosition(None, 5)
WAIT_S = 0.1


def _item(key: str) -> dict[str, object]:
    value = base64.b64encode(b'{}').decode()
    return {'key': key, 'value': value, 'revision': 3}


class OddPageTest(IsolatedAsyncioTestCase):
    """Guards against one odd item that ends the reading of all others."""

    async def asyncSetUp(self) -> None:
        """Create a client of a store that gives prepared answers."""
        self._client = StoreClient('127.0.0.1:1')
        self._answers: list[StoreAnswer] = []
        self._call = mock.AsyncMock(side_effect=self._take_answer)
        patch = mock.patch.object(StoreCalls, 'call', self._call)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_pages(self) -> None:
        """A page is read without its odd item, which is reported."""
        for odd in ODD_ITEMS:
            with self.subTest(odd=odd):
                self._prepare({'items': self._around(odd)})
                self._check((await self._client.read_all()).facts)

    async def test_changes(self) -> None:
        """Changes are read without an odd one, which is reported."""
        for odd in ODD_ITEMS:
            with self.subTest(odd=odd):
                self._prepare({'events': self._around(odd)})
                changes = await self._client.changes_after(POSITION, WAIT_S)
                self._check(changes.facts)

    async def test_removals(self) -> None:
        """A removal is one in whatever words the store says so."""
        for said in (True, 1, 57, 'yes'):
            removed = {'key': 'servers/i-1', 'revision': 'x', 'removed': said}
            with self.subTest(said=said):
                self._prepare({'events': [removed]})
                changes = await self._client.changes_after(POSITION, WAIT_S)
                self.assertEqual(changes.facts, (TargetRemoved('i-1'),))

    async def test_odd_item_at_end_of_page(self) -> None:
        """The next page begins after the last key that can be read."""
        self._prepare(
            {'items': [_item('op/evacuate/dc-a'), 7], 'hasMore': True}
        )
        self._prepare({'items': [7, _item('op/evacuate/dc-b')]})
        stored = await self._client.read_all()
        query = self._call.call_args.args[2]
        self.assertEqual(query['after'], 'op/evacuate/dc-a')
        self.assertIn(DataCentreClosed('dc-b'), stored.facts)

    async def test_page_without_keys(self) -> None:
        """A listing does not end at a page after which none can be read.

        The targets beyond it would count as gone.
        """
        self._prepare({'items': [7], 'hasMore': True})
        with self.assertRaises(AnswerRejectedError):
            await self._client.read_all()

    async def test_registration(self) -> None:
        """A host registers beside an odd item of another writer.

        Hosts that find no registration use neither the host nor its share of
        the limits.
        """
        for odd in (*ODD_ITEMS, {'key': 'hosts/h-2', 'revision': 'x'}):
            with self.subTest(odd=odd):
                self._answers.clear()
                self._prepare(
                    {'items': [odd, {**_item('hosts/h'), 'lease': 6}]}
                )
                self._prepare({'revision': 7})
                written = await self._client.register_host(RECORD, LEASE)
                self.assertTrue(written)
                content = self._call.call_args.kwargs['content']
                known = [{'key': 'hosts/h', 'revision': 3}]
                self.assertEqual(content['expectedRev'], known)

    async def test_registration_too_deep(self) -> None:
        """Any answer that cannot be decoded is an error of the store."""
        deep = b'[' * DEEP_NESTING + b']' * DEEP_NESTING
        body = b'{"items":[],"other":%b}' % deep
        self._answers.append(StoreAnswer(body, None))
        with self.assertRaises(StoreError):
            await self._client.register_host(RECORD, LEASE)

    async def test_reports_of_long_identities(self) -> None:
        """Guards against one report that keeps others from being stored.

        The store refuses a key that is too long, and with it the whole call.
        """
        long = CrashReport(1, 'i' * LONGEST_IDENTITY)
        short = CrashReport(2, 'i-1')
        self._prepare({'revision': 7})
        await self._client.report_crashes((long, short), LEASE)
        content = self._call.call_args.kwargs['content']
        keys = [written['key'] for written in content['writes']]
        self.assertEqual(keys, [crash_key(short)])
        self._call.reset_mock()
        await self._client.report_crashes((long,), LEASE)
        self._call.assert_not_called()

    def _prepare(self, body: dict[str, object]) -> None:
        encoded = json.dumps({'storeRevision': 6, **body}).encode()
        self._answers.append(StoreAnswer(encoded, None))

    async def _take_answer(self, *_: object, **_kw: object) -> StoreAnswer:
        return self._answers.pop(0)

    def _around(self, odd: object) -> list[object]:
        return [_item('op/evacuate/dc-a'), odd, _item('op/evacuate/dc-b')]

    def _check(self, facts: tuple[StoredFact, ...]) -> None:
        self.assertEqual(len(facts), 3)
        self.assertEqual(facts[0], DataCentreClosed('dc-a'))
        self.assertIsInstance(facts[1], UnreadableItem)
        self.assertEqual(facts[2], DataCentreClosed('dc-b'))
