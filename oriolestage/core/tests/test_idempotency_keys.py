"""Tests of idempotency keys, which contain their creation time."""

import unittest
import uuid

from oriolestage.core import key_created_ms, make_key


class KeyTest(unittest.TestCase):
    """Only UUIDs of version 7 are valid keys."""

    def test_round_trip(self) -> None:
        """The creation time is read back from a key."""
        key = make_key(1_700_000_000_123, 2**74 - 1)
        self.assertEqual(key_created_ms(key), 1_700_000_000_123)
        self.assertEqual(uuid.UUID(key).variant, uuid.RFC_4122)

    def test_invalid_keys(self) -> None:
        """Texts that are not UUIDs of version 7 have no creation time."""
        cases = ('', 'again', str(uuid.UUID(int=5)), str(uuid.uuid4()))
        for text in cases:
            with self.subTest(text):
                self.assertIsNone(key_created_ms(text))
