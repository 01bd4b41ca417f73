"""Tests of addresses of targets in changes of operators."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from oriolestage.core import (
    ChangeAccepted,
    ChangeOutcome,
    ChangeRefused,
    ChangeRefusedError,
    Configuration,
    OperatorCommand,
    ReplaceDocument,
    SetTargetLimits,
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
from oriolestage.tool import dump_document, load_document
from scenarios.fake_store import FakeStore

BAD_ADDRESSES = (
    '127.0.0.1:70000',
    '127.0.0.1:0',
    '127.0.0.1',
    'target-1:7200',
    '127.0.0.1:٧',
    '127.0.0.256:7200',
    '',
)


def _document(address: str) -> Configuration:
    """Build a document in which the first target has an address."""
    document = small_configuration()
    first, *others = document.targets
    changed = msgspec.structs.replace(first, address=address)
    return msgspec.structs.replace(document, targets=(changed, *others))


class TargetAddressTest(unittest.TestCase):
    """An address without a valid port does not come into force."""

    def setUp(self) -> None:
        """Create a store."""
        self.timeline = Timeline()
        self.store = FakeStore(self.timeline.call_later)

    def test_bad_addresses(self) -> None:
        """Guards against requests that count as crashes of a target.

        A call to an address that is no valid URL, as with a port above 65535,
        counted as a lost connection.
        """
        node = SimulatedNode.build(self.timeline, self.store)
        self.timeline.run_for(2)
        for address in BAD_ADDRESSES:
            with self.subTest(address):
                change = ReplaceDocument(_document(address))
                outcome = self._submit(node, change, address)
                assert isinstance(outcome, ChangeRefused)
                self.assertIn("'search-0-0'", outcome.why)
                self.assertIn(repr(address), outcome.why)

    def test_documents_of_earlier_versions(self) -> None:
        """A stored bad address does not keep hosts from other changes."""
        change = ReplaceDocument(_document('target-1:7200'))
        record = msgspec.structs.replace(document_record(1), change=change)
        key = 'config/revision/0000000001'
        put_value(self.store, key, encode_record(record), 0)
        node = SimulatedNode.build(self.timeline, self.store)
        self.timeline.run_for(2)
        self.assertEqual(node.core.configuration.revision, 1)
        limits = SetTargetLimits('search-0-1', 3, 25)
        outcome = self._submit(node, limits, 'other target')
        self.assertEqual(outcome, ChangeAccepted(2))

    def test_files(self) -> None:
        """The tool checks the addresses in a file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'document.yaml'
            path.write_text(dump_document(_document('127.0.0.1:70000')))
            with self.assertRaisesRegex(ChangeRefusedError, 'search-0-0'):
                load_document(path)

    def _submit(
        self, node: SimulatedNode, change, command_id: str
    ) -> ChangeOutcome:
        outcomes: list[ChangeOutcome] = []
        command = OperatorCommand(
            change, 'tests', command_id, WALL_CLOCK_START_MS
        )
        node.core.on_operator_command(
            self.timeline.now, command, outcomes.append
        )
        node.execute_effects()
        self.timeline.run_for(1)
        self.assertEqual(len(outcomes), 1)
        return outcomes[0]
