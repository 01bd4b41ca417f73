"""Short runs of real hosts: the regression plans and one seed."""

import asyncio
import tempfile
from pathlib import Path
from unittest import TestCase

from platform_soak.drawing import make_plan
from platform_soak.plan import Plan, read_plan
from platform_soak.runner import play, target_count

PLANS_FOLDER = Path(__file__).parents[1] / 'plans'
SEED = 5
LENGTH_S = 25.0


class TestShortRuns(TestCase):
    def test_regression_plans_hold(self):
        # Each plan has broken a rule before.
        for path in sorted(PLANS_FOLDER.glob('*.json')):
            with self.subTest(path.name):
                self._assert_holds(read_plan(path))

    def test_seed_holds(self):
        # Faults of a seed that meet on real hosts break no rule.
        self._assert_holds(make_plan(SEED, LENGTH_S, target_count()))

    def _assert_holds(self, played: Plan) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(play(played, Path(folder)))
        self.assertFalse(outcome.breaches)
        self.assertGreater(outcome.answered, outcome.owed / 2)
