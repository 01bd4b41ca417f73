"""Runs scenarios on the decision core, with and without mechanisms."""

import os
import unittest
from concurrent import futures

from scenarios.runner import SCENARIO_FOLDER, load_named, run_on_core

#: Seeds with which each scenario must pass.
PASSING_SEEDS = (0, 1, 2)
#: Further scenarios and seeds that failed in the past.
REGRESSION_SEEDS = (('all_stops', 6), ('overload', 22))
#: Scenario, mechanisms switched off, and a seed that must show a violation.
FAILING_CASES = (
    ('all_cold', ('ramp',), 0),
    ('plain', ('hedging',), 0),
    ('heavy_takeover', ('pause', 'freshness'), 3),
    ('host_isolated', ('freshness',), 0),
    ('leaving', ('leaving',), 0),
    ('keeper_dies', ('journal',), 0),
    ('resend_after_kill', ('may_have_run',), 3),
    ('two_operators', ('compare_and_swap',), 0),
    ('version_rollout', ('snapshot',), 0),
    ('repartition', ('coverage',), 0),
    ('crash_request', ('quarantine',), 0),
    ('planned_stops', ('draining', 'notice'), 0),
    ('owner_cut', ('silence',), 0),
)


def run_named(name: str, without: tuple[str, ...], seed: int) -> list[str]:
    """Run a scenario and return the violations."""
    return run_on_core(load_named(name, without=without), seed)


class CoreScenarioTest(unittest.TestCase):
    """Guarantees hold, and checks detect a missing mechanism."""

    pool: futures.ProcessPoolExecutor

    @classmethod
    def setUpClass(cls) -> None:
        """Start a worker process for each CPU."""
        cls.pool = futures.ProcessPoolExecutor(os.cpu_count())

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the worker processes."""
        cls.pool.shutdown()

    def test_green(self) -> None:
        """All scenarios pass with the fixed seeds."""
        cases = [
            (path.stem, seed)
            for path in sorted(SCENARIO_FOLDER.iterdir())
            for seed in PASSING_SEEDS
        ]
        cases.extend(REGRESSION_SEEDS)
        running = [
            self.pool.submit(run_named, name, (), seed) for name, seed in cases
        ]
        for case, future in zip(cases, running, strict=True):
            with self.subTest(case):
                self.assertEqual(future.result(), [])

    def test_red(self) -> None:
        """A scenario fails when a mechanism that it needs is switched off."""
        running = [self.pool.submit(run_named, *case) for case in FAILING_CASES]
        for case, future in zip(FAILING_CASES, running, strict=True):
            with self.subTest(case):
                self.assertNotEqual(future.result(), [])

    def test_same_seed(self) -> None:
        """Two runs with the same seed give the same violations."""
        first = run_named('crash_request', ('quarantine',), 3)
        self.assertEqual(run_named('crash_request', ('quarantine',), 3), first)
