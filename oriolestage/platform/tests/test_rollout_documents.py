"""Tests of the items of the store about roll-outs."""

import json
import unittest
from collections.abc import Mapping

from oriolestage.platform._documents import (
    decode_item,
    decode_removal,
    decode_value,
)
from oriolestage.platform._rollout_documents import (
    encode_evidence,
    encode_status,
    evidence_key,
    status_key,
)
from oriolestage.rollouts.tests.builders import (
    NEW,
    make_counts,
    make_evidence,
    make_status,
)
from oriolestage.routing._facts import (
    EvidenceStored,
    OrderRemoved,
    OrderStored,
    StatusRemoved,
    StatusStored,
    UnreadableItem,
)

ORDER: Mapping[str, object] = {  # noqa: WPS407
    'service': 'search',
    'targetVersion': NEW,
    'durationS': 12,
}


class RolloutDocumentsTest(unittest.TestCase):
    """Operators and hosts read what the others wrote."""

    def test_order(self) -> None:
        """An order is read with the revision of its item."""
        decoded = decode_item(
            'op/rollout/search', json.dumps(ORDER).encode(), 7
        )
        assert isinstance(decoded, OrderStored)
        order = decoded.order
        self.assertEqual((order.service, order.revision), ('search', 7))
        self.assertEqual((order.target_version, order.duration_s), (NEW, 12))

    def test_old_status(self) -> None:
        """Guards against the end of an order that is unreadable after days."""
        status = make_status(
            elapsed_s=1e6, phase_since_s=9e5, full_until_s=1e6, revision=9
        )
        decoded = decode_item(
            status_key(status.service), encode_status(status), 9
        )
        self.assertIsInstance(decoded, StatusStored)

    def test_status(self) -> None:
        """A status is read as it was written."""
        for full_until_s in (float('inf'), 7.5):
            status = make_status(
                reason='x', bad=2, full_until_s=full_until_s, revision=9
            )
            decoded = decode_item(
                status_key(status.service), encode_status(status), 9
            )
            self.assertEqual(decoded, StatusStored(status))

    def test_fixed_fields(self) -> None:
        """Guards against a change of the names that operators read."""
        written = json.loads(encode_status(make_status()))
        self.assertEqual(written['state'], 'active')
        self.assertEqual(written['targetVersion'], NEW)
        self.assertEqual(status_key('search'), 'status/rollout/search')

    def test_evidence(self) -> None:
        """Counters are read as they were written."""
        evidence = make_evidence(ramp=make_counts(good=3, failed=1))
        key = evidence_key(evidence)
        self.assertEqual(key, 'rollouts/search/other')
        decoded = decode_item(key, encode_evidence(evidence))
        self.assertEqual(decoded, EvidenceStored(evidence))

    def test_removals(self) -> None:
        """Guards against an order that stays after its removal."""
        self.assertEqual(
            decode_removal('op/rollout/search'), OrderRemoved('search')
        )
        self.assertEqual(
            decode_removal('status/rollout/search'), StatusRemoved('search')
        )
        self.assertIsNone(decode_removal('rollouts/search/host-1'))

    def test_unreadable(self) -> None:
        """An item that cannot be read is reported and costs no other one."""
        for key, document in (
            ('op/rollout/search', {**ORDER, 'durationS': 0}),
            ('op/rollout/search', {**ORDER, 'targetVersion': ''}),
            ('op/rollout/other', ORDER),
            ('status/rollout/search', {**ORDER, 'state': 'unheard'}),
            ('rollouts/search', {}),
            ('rollouts/search/host-1', {'process': ''}),
        ):
            decoded = decode_item(key, json.dumps(document).encode())
            self.assertIsInstance(decoded, UnreadableItem, key)
        self.assertIsInstance(
            decode_value('op/rollout/search', 5, 3), UnreadableItem
        )
