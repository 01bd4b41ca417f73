"""Tests of quarantines when power losses and crashing requests mix."""

import unittest

from oriolestage.routing._trials import TRIAL_DELAYS_S
from oriolestage.routing.tests.quarantine_mix import Outcome, QuarantineMix

SEEDS = 60
#: Bounds of the platform: crashes, retries that may still reach targets, and
#: the time after the third crash from which these count, in seconds.
CRASHES = 3
RETRIES = 3
COUNTED_AFTER_S = 5.0
#: Longest time for which an innocent page is refused, in seconds: two trials,
#: the time after a crash in which hosts may not know of it, and the longest
#: pause between two requests.
REFUSED_S = sum(TRIAL_DELAYS_S[:2]) + 5.0 + 4.0


def _late_retries(outcome: Outcome) -> int:
    """Return the retries that reach servers too late."""
    if len(outcome.crashed_at) < CRASHES:
        return 0
    counted_from = outcome.crashed_at[CRASHES - 1] + COUNTED_AFTER_S
    return sum(at > counted_from for at in outcome.ran_at)


class QuarantineMixTest(unittest.TestCase):
    """A request that crashes servers is refused, and other pages are not."""

    def test_seeds(self) -> None:
        """Guards against a remedy for one of the two that harms the other."""
        crashes = 0
        refused = 0
        for seed in range(SEEDS):
            outcome = QuarantineMix(seed).play()
            crashes += len(outcome.crashed_at)
            refused += sum(one > 0 for one in outcome.refused_s)
            with self.subTest(seed=seed):
                self.assertLessEqual(_late_retries(outcome), RETRIES)
                self.assertLessEqual(max(outcome.refused_s), REFUSED_S)
        # The plays show both: crashes by the request, and pages refused.
        self.assertGreater(crashes, SEEDS)
        self.assertGreater(refused, 0)
