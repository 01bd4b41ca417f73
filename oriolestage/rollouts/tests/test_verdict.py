"""Tests of the judgement of a new version."""

import unittest
from unittest.mock import patch

from oriolestage.rollouts._counts import RouteCounts, bucket_of
from oriolestage.rollouts._verdict import judge, tail_probability
from oriolestage.rollouts.tests.builders import ROUTE, WORK_S, make_counts

OLD_COUNTS = make_counts(good=200)


class TailProbabilityTest(unittest.TestCase):
    """The probability is that of the binomial distribution."""

    def test_known_values(self) -> None:
        """Guards against an error in the sum of the terms."""
        self.assertAlmostEqual(tail_probability(3, 3, 0.05), 0.05**3)
        self.assertAlmostEqual(
            tail_probability(1, 20, 0.01), 1 - 0.99**20, places=9
        )
        self.assertEqual(tail_probability(1, 20, 0.5), 1)
        self.assertEqual(tail_probability(3, 3, 1), 1)

    def test_many_responses(self) -> None:
        """Guards against an overflow with many responses."""
        self.assertLess(tail_probability(900, 10_000, 0.05), 1e-9)

    def test_underflow(self) -> None:
        """Guards against a sum of millions of terms that are all 0.

        The verdict is needed before the next attempt is sent.
        """
        with patch(
            'oriolestage.rollouts._verdict._term', return_value=0
        ) as term:
            probability = tail_probability(2_000_000, 4_000_000, 0.05)
        self.assertEqual(probability, 0)
        self.assertEqual(term.call_count, 1)


class VerdictTest(unittest.TestCase):
    """A version is bad if chance does not explain its responses."""

    def test_good(self) -> None:
        """A version like the old one is neither bad nor doubtful."""
        verdict = judge(
            OLD_COUNTS, make_counts(good=30), make_counts(good=20), {}
        )
        self.assertEqual(verdict.bad_because, '')
        self.assertEqual(verdict.doubtful_because, '')
        self.assertTrue(verdict.convincing)

    def test_few_bad(self) -> None:
        """Two bad responses are too few to be sure at once."""
        verdict = judge(OLD_COUNTS, make_counts(failed=2), {}, {})
        self.assertEqual(verdict.bad_because, '')
        self.assertNotEqual(verdict.doubtful_because, '')

    def test_failures_and_slowness(self) -> None:
        """Failures, slow responses and missing ones all count."""
        silent = RouteCounts()
        silent.abandoned[bucket_of(5 * WORK_S)] = 4
        for new in (
            make_counts(good=5, failed=5),
            make_counts(good=2, slow=5),
            {ROUTE: silent},
        ):
            verdict = judge(OLD_COUNTS, new, {}, {})
            self.assertNotEqual(verdict.bad_because, '', new)

    def test_abandoned_early(self) -> None:
        """An attempt that had little time says nothing about its version."""
        early = RouteCounts()
        early.abandoned[bucket_of(2 * WORK_S)] = 40
        verdict = judge(OLD_COUNTS, {ROUTE: early}, {}, {})
        self.assertEqual(verdict.bad_because, '')
        self.assertEqual(verdict.responses, 0)

    def test_bad_old_version(self) -> None:
        """What the old version does as well is not held against the new."""
        old = make_counts(good=70, failed=30)
        verdict = judge(old, make_counts(good=7, failed=4), {}, {})
        self.assertEqual(verdict.bad_because, '')

    def test_fault_before_the_order(self) -> None:
        """Guards against a fault before the order that excuses failures."""
        base = make_counts(good=70, failed=30)
        verdict = judge(OLD_COUNTS, make_counts(good=5, failed=5), {}, base)
        self.assertNotEqual(verdict.bad_because, '')

    def test_typical_time_from_before(self) -> None:
        """Slowness shows also if the old version has no more responses."""
        verdict = judge({}, make_counts(slow=5), {}, OLD_COUNTS)
        self.assertNotEqual(verdict.bad_because, '')

    def test_one_route(self) -> None:
        """Guards against a bad route that is hidden by the other ones."""
        old = {'a': OLD_COUNTS[ROUTE], 'b': OLD_COUNTS[ROUTE]}
        new = {
            'a': make_counts(good=200)[ROUTE],
            'b': make_counts(good=5, failed=5)[ROUTE],
        }
        self.assertIn('b:5_failed', judge(old, new, {}, {}).bad_because)

    def test_under_load(self) -> None:
        """Guards against a bad ramp that is hidden by the time before it."""
        new = make_counts(good=200, failed=5)
        ramp = make_counts(good=5, failed=5)
        self.assertIn('ramp_', judge(OLD_COUNTS, new, ramp, {}).bad_because)

    def test_few_responses(self) -> None:
        """A few good responses do not show that a version is good."""
        verdict = judge(
            OLD_COUNTS, make_counts(good=4), make_counts(good=4), {}
        )
        self.assertFalse(verdict.convincing)
        self.assertEqual(verdict.doubtful_because, '')
