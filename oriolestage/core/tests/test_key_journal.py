"""Tests of the journal of idempotency keys."""

import unittest

import msgspec

from oriolestage.core import Parameters
from oriolestage.core.keys._claims import (
    Claim,
    ClaimGranted,
    ClaimOutcome,
    ClaimUnconfirmed,
)
from oriolestage.core.tests.key_journals import JournalRun

HEAD_KEY = 'keys/000/head'
#: Deeper than any recursion limit of a decoder.
DEEP_LISTS = b'\x91' * 100_000


class UnreadableJournalTest(unittest.TestCase):
    """No key is granted while its journal cannot be read."""

    def test_bad_values(self) -> None:
        """Guards against a daemon that ends, or reads the value in a loop."""
        good_head = msgspec.msgpack.encode([[], ['keys/000/segment/1']])
        cases = (
            ('head with deep lists', HEAD_KEY, DEEP_LISTS),
            ('head cut off', HEAD_KEY, b'\x92'),
            ('head of wrong type', HEAD_KEY, b'\x92\x90\x01'),
            ('segment with deep lists', 'keys/000/segment/1', DEEP_LISTS),
            ('segment of wrong type', 'keys/000/segment/1', b'\x91\x91\x01'),
        )
        for name, key, content in cases:
            with self.subTest(name):
                run = JournalRun(Parameters(), seed=1)
                run.store.put(HEAD_KEY, good_head)
                run.store.put(key, content)
                for _ in range(400):
                    run.claim_new()
                    run.run_for(0.025)
                self.assertEqual(run.count_outcomes(ClaimUnconfirmed), 400)
                # One read in each second, and the first one.
                self.assertLessEqual(run.store.reads[key], 11)
                self.assertGreaterEqual(run.store.reads[key], 9)
                names = [entry.key for entry in run.port.unreadable.current]
                self.assertEqual(names, [key])

    def test_repaired_value_is_used(self) -> None:
        """Keys are granted again within a second of the repair."""
        run = JournalRun(Parameters(), seed=1)
        run.store.put(HEAD_KEY, DEEP_LISTS)
        run.claim_new()
        run.run_for(0.5)
        run.store.put(HEAD_KEY, msgspec.msgpack.encode([[], []]))
        run.run_for(0.6)
        run.claim_new()
        run.run_for(0.1)
        self.assertEqual(run.count_outcomes(ClaimUnconfirmed), 1)
        self.assertEqual(run.count_outcomes(ClaimGranted), 1)
        self.assertEqual(run.port.unreadable.current, ())


class FailingCallbackTest(unittest.TestCase):
    """An error of one claimant does not keep others from their outcome."""

    def test_callback_raises(self) -> None:
        """Guards against claims of a shared write that are never answered."""
        run = JournalRun(Parameters(), seed=1)

        def fail(outcome: ClaimOutcome) -> None:
            raise KeyError('claimant')

        run.journal.claim(Claim('first', 0, 'holder', 0), fail)
        run.claim_new()
        run.claim_new()
        run.run_for(0.1)
        self.assertEqual(run.count_outcomes(ClaimGranted), 2)
        self.assertEqual(run.outbox.failures, 1)
