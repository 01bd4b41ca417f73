"""Tests of operator commands that are sent again."""

import unittest
import uuid

import msgspec

from oriolestage.core import (
    ChangeAccepted,
    ChangeOutcome,
    ChangeRefused,
    OperatorCommand,
    PutRoute,
    Route,
    StoreRead,
    StoreWrite,
    make_key,
)
from oriolestage.core.tests.builders import small_configuration
from oriolestage.core.tests.nodes import (
    WALL_CLOCK_START_MS,
    SimulatedNode,
    Timeline,
    document_record,
    encode_record,
    put_value,
)
from scenarios.fake_store import FakeStore
from scenarios.steps import StoreFault

#: Revisions in the store; a host keeps the latest 256 in memory.
REVISIONS = 300
#: Time between two revisions, in milliseconds.
REVISION_PERIOD_MS = 10_000
SNAPSHOT_KEY = 'config/snapshot'
CHANGE = PutRoute(Route('r', 'search'))


def _made_ms(revision: int) -> int:
    """Return when the command of a revision was made."""
    return WALL_CLOCK_START_MS - (REVISIONS - revision) * REVISION_PERIOD_MS


def _command_id(revision: int) -> str:
    """Return the command id of a revision, a UUID of version 7."""
    return uuid.UUID(make_key(_made_ms(revision), revision)).hex


def _revision_key(revision: int) -> str:
    return f'config/revision/{revision:010d}'


class RepeatedCommandTest(unittest.TestCase):
    """A command that took effect before is accepted and not applied again."""

    def setUp(self) -> None:
        """Fill a store with revisions."""
        self.timeline = Timeline()
        self.store = FakeStore(self.timeline.call_later)
        for revision in range(1, REVISIONS + 1):
            record = msgspec.structs.replace(
                document_record(revision),
                command_id=_command_id(revision),
                at_ms=_made_ms(revision) + 5,
            )
            put_value(
                self.store, _revision_key(revision), encode_record(record), 0
            )

    def test_record_that_left_memory(self) -> None:
        """Guards against a change that is applied twice."""
        for snapshot in (False, True):
            for revision in (REVISIONS, 270, 20, 1):
                with self.subTest(snapshot=snapshot, revision=revision):
                    self.setUp()
                    node = self._start(snapshot=snapshot)
                    outcome = self._submit(node, _command_id(revision))
                    self.assertEqual(outcome, ChangeAccepted(revision))
                    self.assertEqual(self._writes(node), [])

    def test_new_command_reads_no_history(self) -> None:
        """A new command is written at once."""
        node = self._start(snapshot=False)
        before = self._reads(node)
        outcome = self._submit(node, _command_id(REVISIONS + 100))
        self.assertEqual(outcome, ChangeAccepted(REVISIONS + 1))
        self.assertEqual(self._reads(node), before)

    def test_few_reads_at_a_new_host(self) -> None:
        """A host without records reads those that may be the command's."""
        for made_ms, limit in ((REVISIONS + 100, 1), (REVISIONS + 1, 14)):
            with self.subTest(made_ms):
                self.setUp()
                node = self._start(snapshot=True)
                before = self._reads(node)
                outcome = self._submit(node, _command_id(made_ms))
                self.assertEqual(outcome, ChangeAccepted(REVISIONS + 1))
                reads = len(self._reads(node)) - len(before)
                self.assertLessEqual(reads, limit)

    def test_record_that_arrives_during_the_search(self) -> None:
        """Guards against a command that two hosts get at the same time."""
        node = self._start(snapshot=True)
        outcomes: list[ChangeOutcome] = []
        made = REVISIONS + 1
        command = OperatorCommand(
            CHANGE, 'tests', _command_id(made), _made_ms(made)
        )
        node.core.on_operator_command(
            self.timeline.now, command, outcomes.append
        )
        node.execute_effects()
        record = msgspec.structs.replace(
            document_record(made), command_id=_command_id(made)
        )
        put_value(self.store, _revision_key(made), encode_record(record), 0)
        self.timeline.run_for(5)
        self.assertEqual(outcomes, [ChangeAccepted(made)])
        self.assertEqual(self._writes(node), [])

    def test_id_without_time(self) -> None:
        """The latest 256 records are searched for an id without a time."""
        record = msgspec.structs.replace(
            document_record(100), command_id='again'
        )
        put_value(self.store, _revision_key(100), encode_record(record), 1)
        node = self._start(snapshot=True)
        self.assertEqual(self._submit(node, 'again'), ChangeAccepted(100))

    def test_unknown_history(self) -> None:
        """Guards against a change that is reported as not made."""
        cases = (
            ('store', StoreFault(down=True), b'', 'cannot be reached'),
            ('record', StoreFault(), b'{', _revision_key(19)),
        )
        for name, fault, content, expected in cases:
            with self.subTest(name):
                self.setUp()
                node = self._start(snapshot=True)
                if content:
                    put_value(self.store, _revision_key(19), content, 1)
                    self.timeline.run_for(0.1)
                self.store.apply_fault(fault)
                outcome = self._submit(node, _command_id(18))
                assert isinstance(outcome, ChangeRefused)
                self.assertIn(expected, outcome.why)
                self.assertNotIn('nothing was changed', outcome.why)
                self.assertEqual(self._writes(node), [])

    def _start(self, *, snapshot: bool) -> SimulatedNode:
        if snapshot:
            document = small_configuration().at_revision(REVISIONS)
            content = msgspec.msgpack.encode(document)
            put_value(self.store, SNAPSHOT_KEY, content, 0)
        node = SimulatedNode.build(self.timeline, self.store)
        self.timeline.run_for(5)
        self.assertEqual(node.core.configuration.revision, REVISIONS)
        return node

    def _submit(self, node: SimulatedNode, command_id: str) -> ChangeOutcome:
        outcomes: list[ChangeOutcome] = []
        command = OperatorCommand(
            CHANGE, 'tests', command_id, WALL_CLOCK_START_MS + 3_600_000
        )
        node.core.on_operator_command(
            self.timeline.now, command, outcomes.append
        )
        node.execute_effects()
        self.timeline.run_for(5)
        self.assertEqual(len(outcomes), 1)
        return outcomes[0]

    def _writes(self, node: SimulatedNode) -> list[str]:
        return [
            effect.key
            for _, effect in node.effects
            if isinstance(effect, StoreWrite)
        ]

    def _reads(self, node: SimulatedNode) -> list[str]:
        return [
            effect.key
            for _, effect in node.effects
            if isinstance(effect, StoreRead)
            and effect.key.startswith('config/revision')
        ]
