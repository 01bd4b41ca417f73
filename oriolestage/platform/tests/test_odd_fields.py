"""Tests of items of the store with fields that nothing can use."""

import unittest

from oriolestage.entry.tests.odd_addresses import (
    ODD_ADDRESSES,
    SHARED_ADDRESSES,
)
from oriolestage.platform._documents import decode_item
from oriolestage.platform.tests.stored_items import (
    make_host,
    make_registration,
)
from oriolestage.routing._facts import (
    HostStored,
    TargetStored,
    UnreadableItem,
)


class OddFieldTest(unittest.TestCase):
    """Guards against odd fields that fail later, far from their item."""

    def assert_unreadable(self, key: str, encoded: bytes, field: str) -> None:
        """Check that an item is unreadable because of a field."""
        decoded = decode_item(key, encoded)
        assert isinstance(decoded, UnreadableItem), decoded
        self.assertIn(field, decoded.problem)
        self.assertLess(len(decoded.problem), 400)

    def test_addresses(self) -> None:
        """An address that no process can have names no target and no host."""
        for text in (*ODD_ADDRESSES, *SHARED_ADDRESSES):
            with self.subTest(text=text[:40]):
                self.assert_unreadable(
                    'servers/i-1',
                    make_registration(address=text),
                    'address' if text.isprintable() else '',
                )
                self.assert_unreadable(
                    'hosts/h-1',
                    make_host(peer_address=text),
                    'peer_address' if text.isprintable() else '',
                )

    def test_address_form(self) -> None:
        """An address is kept in one form, by which it is compared."""
        target = decode_item(
            'servers/i-1', make_registration(address='10.0.0.1:0080')
        )
        assert isinstance(target, TargetStored)
        self.assertEqual(target.record.address, '10.0.0.1:80')
        host = decode_item('hosts/h-1', make_host(peer_address='10.0.0.1:0080'))
        assert isinstance(host, HostStored)
        self.assertEqual(host.record.peer_address, '10.0.0.1:80')
