"""Tests of the journal of idempotency keys."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.core import Parameters
from oriolestage.core.keys._claims import (
    Claim,
    ClaimGranted,
    ClaimOutcome,
    ClaimTaken,
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


class OwnerChangeTest(unittest.TestCase):
    """A key is granted once, whoever owns its slice."""

    def test_high_rate_and_owner_changes(self) -> None:
        """Guards against keys that are granted again after a change of owner.

        With several claims in a write, segments left the head before the
        keys in them had expired.
        """
        run = JournalRun(Parameters(key_retention_s=10), seed=1)
        for _ in range(40):
            _claim_at_rate(run, rate=800, duration_s=0.5)
            run.change_owner()
        run.run_for(2)
        self.assertEqual(run.granted_twice, [])
        self.assertEqual(len(run.grants), 16_000)
        self.assertGreater(run.count_outcomes(ClaimTaken), 1000)

    def test_key_that_expires_while_it_waits(self) -> None:
        """Guards against a key that is granted after its claim is forgotten.

        The process is paused, or replies of the store are lost, while the
        claim waits for the journal.
        """
        run = JournalRun(Parameters(key_retention_s=10), seed=1)
        run.claim_new()
        run.run_for(9.9)
        run.change_owner()
        run.claim_again()
        run.timers.advance(run.timers.now + 100)
        # Meanwhile another owner has forgotten the claim.
        run.store.put(HEAD_KEY, msgspec.msgpack.encode([[], []]))
        run.run_for(1)
        self.assertEqual(run.granted_twice, [])
        self.assertEqual(len(run.outcomes), 2)

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=40,
        database=None,
    )
    @given(
        rate=st.integers(20, 1600),
        head_claims=st.integers(1, 120),
        period_s=st.floats(0.005, 0.05),
        retention_s=st.floats(0.3, 3),
        skew_s=st.floats(0.1, 1),
        change_s=st.floats(0.1, 2),
        lost_share=st.sampled_from((0, 0, 0.02, 0.2)),
        seed=st.integers(0, 1000),
    )
    def test_any_rate(
        self,
        rate: int,
        head_claims: int,
        period_s: float,
        retention_s: float,
        skew_s: float,
        change_s: float,
        lost_share: float,
        seed: int,
    ) -> None:
        """No key is granted twice for any rate, period, size and change."""
        parameters = Parameters(
            key_retention_s=retention_s,
            clock_skew_s=skew_s,
            journal_head_claims=head_claims,
            journal_period_s=period_s,
        )
        run = JournalRun(parameters, seed)
        run.store.lost_share = lost_share
        lasting_s = min(3 * retention_s, 3000 / rate)
        for _ in range(1 + int(lasting_s / change_s)):
            _claim_at_rate(run, rate, min(change_s, lasting_s))
            run.change_owner()
        run.run_for(2)
        self.assertEqual(run.granted_twice, [])
        self.assertTrue(run.grants)


def _claim_at_rate(run: JournalRun, rate: int, duration_s: float) -> None:
    """Claim new keys at a rate, and one key in ten again."""
    for number in range(max(1, int(rate * duration_s))):
        run.claim_new()
        if number % 10 == 0:
            run.claim_again()
        run.run_for(1 / rate)
