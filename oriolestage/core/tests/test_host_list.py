"""Tests of reading the platform's host list."""

import unittest

import msgspec

from oriolestage.core import MemberState, SendGossip
from oriolestage.core._messages import SyncRequest
from oriolestage.core.tests.messages import peer_member
from oriolestage.core.tests.nodes import SimulatedNode, Timeline
from scenarios.fake_store import FakeStore

#: Lists nested deeper than any recursion limit of a decoder.
DEEP_LISTS = b'[' * 100_000 + b']' * 100_000
#: Time within which a host reads the list at least once, in seconds.
READ_S = 6.0


def _entry(name: str, address: str, **fields) -> bytes:
    """Build an entry of the list."""
    entry = {
        'name': name,
        'kind': 'entry',
        'address': address,
        'data_centre': 'ege-a',
        **fields,
    }
    return msgspec.json.encode(entry)


def _host_list(*entries: bytes) -> bytes:
    return b'{"hosts":[%s]}' % b','.join(entries)


GOOD = _entry('entry-2', '127.0.0.2:7003')
#: Entries that cannot be used.
BAD_ENTRIES = (
    ('port', _entry('entry-3', '127.0.0.3:70000')),
    ('no port', _entry('entry-3', 'entry-3')),
    ('wrong type', _entry('entry-3', '127.0.0.3:7003', leaving=3)),
    ('no name', b'{"kind":"entry"}'),
    ('not an object', b'7'),
)


class HostListTest(unittest.TestCase):
    """A bad entry of the list does not hide the others."""

    def setUp(self) -> None:
        """Start a host."""
        self.timeline = Timeline()
        self.store = FakeStore(self.timeline.call_later)
        self.node = SimulatedNode.build(self.timeline, self.store)
        self.timeline.run_for(2)

    def test_bad_entry(self) -> None:
        """Guards against a host that contacts no new host any more.

        One bad entry made the whole list unreadable.
        """
        for name, entry in BAD_ENTRIES:
            with self.subTest(name):
                self.setUp()
                self.store.host_list = _host_list(entry, GOOD)
                self.timeline.run_for(READ_S)
                self.assertIn('127.0.0.2:7003', self._contacted())
                lines = self.node.logged('host_list_malformed')
                self.assertIn('$.hosts[0]', str(lines[0]['error']))

    def test_bad_list(self) -> None:
        """Guards against a list that ends the daemon; the next one is read."""
        deep_entry = b'{"x":%s,%s' % (DEEP_LISTS, GOOD[1:])
        cases = (
            ('deep lists', DEEP_LISTS),
            ('deep lists in an entry', _host_list(deep_entry, GOOD)),
            ('cut off', _host_list(GOOD)[:-3]),
            ('not UTF-8', _host_list(GOOD).replace(b'ege', b'\xff\xfe')),
            ('wrong type', b'{"hosts":7}'),
        )
        for name, content in cases:
            with self.subTest(name):
                self.setUp()
                self.store.host_list = content
                self.timeline.run_for(READ_S)
                self.assertEqual(
                    len(self.node.logged('host_list_malformed')), 1
                )
                self.store.host_list = _host_list(GOOD)
                self.timeline.run_for(READ_S)
                self.assertIn('127.0.0.2:7003', self._contacted())

    def test_bad_entry_removes_no_member(self) -> None:
        """Guards against a majority of the hosts that are left.

        A dead host whose entry cannot be read may still be in the list.
        """
        dead = msgspec.structs.replace(
            peer_member('entry-3'), state=MemberState.DEAD
        )
        table = self.node.core.membership
        self.node.core.on_gossip(
            self.timeline.now, SyncRequest(peer_member('entry-3'), 0)
        )
        table.merge((dead,))
        bad = _entry('entry-3', '127.0.0.3:70000')
        self.store.host_list = _host_list(bad, GOOD)
        self.timeline.run_for(READ_S)
        member = table.member('entry-3')
        assert member is not None
        self.assertIs(member.state, MemberState.DEAD)
        self.store.host_list = _host_list(GOOD)
        self.timeline.run_for(READ_S)
        member = table.member('entry-3')
        assert member is not None
        self.assertIs(member.state, MemberState.REMOVED)

    def _contacted(self) -> list[str]:
        return [
            effect.address
            for _, effect in self.node.effects
            if isinstance(effect, SendGossip)
            and isinstance(effect.message, SyncRequest)
        ]
