"""Tests of values in the store that cannot be decoded or applied."""

import dataclasses
from unittest import TestCase, mock

import msgspec

from oriolestage.core import (
    ChangeOutcome,
    ChangeRefused,
    OperatorCommand,
    PutRoute,
    ReadHostList,
    Route,
)
from oriolestage.core.tests.nodes import (
    WALL_CLOCK_START_MS,
    SimulatedNode,
    Timeline,
    document_record,
    encode_record,
    put_value,
)
from scenarios.fake_store import FakeStore

SECOND_KEY = 'config/revision/0000000002'
SNAPSHOT_KEY = 'config/snapshot'
#: Deeper than any recursion limit of a decoder.
DEPTH = 100_000
DEEP_LISTS = b'[' * DEPTH + b']' * DEPTH


def _bad_records() -> list[tuple[str, bytes]]:
    """Return contents of a revision key that no host can take."""
    record = document_record(2)
    unknown_group = msgspec.structs.replace(
        record, change=PutRoute(Route('r', 'ghost'))
    )
    good = encode_record(record)
    return [
        ('empty', b''),
        ('cut off', good[:-5]),
        ('not UTF-8', good.replace(b'tests', b'te\xff\xfe')),
        ('deep lists', DEEP_LISTS),
        ('deep lists in a field', b'{"x":%s,%s' % (DEEP_LISTS, good[1:])),
        ('wrong type', good.replace(b'"at_ms":', b'"at_ms":"x')),
        ('large number', b'{"revision":%s,%s' % (b'9' * 400, good[14:])),
        ('revision of another key', encode_record(document_record(7))),
        ('not applicable', encode_record(unknown_group)),
    ]


class UnreadableRevisionTest(TestCase):
    """A bad value of a revision key stops nothing but that revision."""

    def setUp(self) -> None:
        """Start a host on a store with revision 1."""
        self.timeline = Timeline()
        self.store = FakeStore(self.timeline.call_later)
        first = encode_record(document_record(1))
        put_value(self.store, 'config/revision/0000000001', first, 0)
        self.node = SimulatedNode.build(self.timeline, self.store)
        self.timeline.run_for(2)
        self.assertEqual(self.node.core.configuration.revision, 1)

    def test_bad_value_is_skipped(self) -> None:
        """Guards against a host that stops, or reads the value in a loop.

        The decoder's error used to end the daemon, and a record that cannot
        be applied was read again at once.
        """
        for name, content in _bad_records():
            with self.subTest(name):
                self.setUp()
                put_value(self.store, SECOND_KEY, content, 0)
                calls = self.node.count_calls(SECOND_KEY)
                self.timeline.run_for(10)
                self.assertEqual(self.node.core.configuration.revision, 1)
                self.assertTrue(self.node.core.ready)
                # A watch that finds nothing lasts a second.
                watches = self.node.count_calls(SECOND_KEY) - calls
                self.assertLessEqual(watches, 12)
                self.assertGreaterEqual(watches, 8)

    def test_store_that_repeats_the_version(self) -> None:
        """Guards against endless reads if the store ignores the version."""
        put_value(self.store, SECOND_KEY, b'{', 0)
        add_watch = self.store._add_watch
        with mock.patch.object(
            self.store,
            '_add_watch',
            lambda watch: add_watch(dataclasses.replace(watch, after=0)),
        ):
            calls = self.node.count_calls(SECOND_KEY)
            self.timeline.run_for(10)
        # The delay before the next watch is 0.5 to 1 s.
        watches = self.node.count_calls(SECOND_KEY) - calls
        self.assertLessEqual(watches, 21)
        self.assertGreaterEqual(watches, 10)

    def test_host_list_is_still_read(self) -> None:
        """Other values are read as before."""
        put_value(self.store, SECOND_KEY, DEEP_LISTS, 0)
        self.timeline.run_for(1)
        before = self._host_list_reads()
        self.timeline.run_for(10)
        self.assertEqual(self._host_list_reads() - before, 2)

    def test_bad_value_is_named_until_it_is_replaced(self) -> None:
        """The key, the reason and the age are reported, once in the log."""
        put_value(self.store, SECOND_KEY, b'{"revision":"two"}', 0)
        self.timeline.run_for(5)
        self.assertEqual(len(self.node.core.unreadable.current), 1)
        unreadable = self.node.core.unreadable.current[0]
        self.assertEqual(unreadable.key, SECOND_KEY)
        self.assertIn('$.revision', unreadable.why)
        self.assertAlmostEqual(unreadable.age_s, 5, delta=0.1)
        lines = self.node.logged('store_value_unreadable')
        self.assertEqual([line['key'] for line in lines], [SECOND_KEY])
        second = encode_record(document_record(2))
        put_value(self.store, SECOND_KEY, second, 1)
        self.timeline.run_for(0.1)
        self.assertEqual(self.node.core.configuration.revision, 2)
        self.assertEqual(self.node.core.unreadable.current, ())

    def test_operator_is_told_the_key(self) -> None:
        """A change is refused and names the key that is in its way."""
        put_value(self.store, SECOND_KEY, DEEP_LISTS, 0)
        self.timeline.run_for(1)
        outcomes: list[ChangeOutcome] = []
        command = OperatorCommand(
            PutRoute(Route('r', 'search')), 'tests', 'c-1', WALL_CLOCK_START_MS
        )
        self.node.core.on_operator_command(
            self.timeline.now, command, outcomes.append
        )
        self.node.execute_effects()
        self.timeline.run_for(6)
        self.assertEqual(len(outcomes), 1)
        outcome = outcomes[0]
        assert isinstance(outcome, ChangeRefused)
        self.assertIn(SECOND_KEY, outcome.why)

    def _host_list_reads(self) -> int:
        return sum(
            isinstance(effect, ReadHostList) for _, effect in self.node.effects
        )


class UnreadableSnapshotTest(TestCase):
    """A host starts from the single revisions if the snapshot is bad."""

    def test_bad_snapshot(self) -> None:
        """Guards against hosts that cannot start until a key is repaired."""
        inconsistent = msgspec.msgpack.encode(
            {'revision': 9, 'routes': [{'name': 'r', 'group': 'ghost'}]}
        )
        cases = (
            ('deep lists', b'\x91' * DEPTH),
            ('cut off', b'\x81'),
            ('inconsistent', inconsistent),
        )
        for name, content in cases:
            with self.subTest(name):
                timeline = Timeline()
                store = FakeStore(timeline.call_later)
                put_value(store, SNAPSHOT_KEY, content, 0)
                for revision in (1, 2):
                    record = encode_record(document_record(revision))
                    key = f'config/revision/{revision:010d}'
                    put_value(store, key, record, 0)
                node = SimulatedNode.build(timeline, store)
                timeline.run_for(3)
                self.assertEqual(node.core.configuration.revision, 2)
                self.assertTrue(node.core.ready)
