"""Mutations of good input to the decoders of bytes from outside."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.core.tests.decoder_fuzz import (
    check_host,
    check_messages,
    check_stored_values,
)

SEEDS = st.integers(0, 1 << 32)


class DecoderFuzzTest(unittest.TestCase):
    """Decoders return a value or raise MalformedError."""

    @settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @given(seed=SEEDS)
    def test_stored_values(self, seed: int) -> None:
        """Guards against errors of decoders that callers do not expect."""
        check_stored_values(random.Random(seed))

    @settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @given(seed=SEEDS)
    def test_messages(self, seed: int) -> None:
        """Guards against messages that are decoded and break the host."""
        check_messages(random.Random(seed))

    @settings(derandomize=True, deadline=None, max_examples=30, database=None)
    @given(seed=SEEDS)
    def test_values_read_by_a_host(self, seed: int) -> None:
        """Guards against a host that does not get over a value it reads."""
        check_host(random.Random(seed))
