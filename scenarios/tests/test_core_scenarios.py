"""Runs every scenario file on the decision core, green and red."""

import unittest

from scenarios.runner import FILES, load_named, run_on_core

#: Seeds with which each file must pass.
GREEN_SEEDS = (0, 1)
#: File, mechanisms switched off, and a seed with which a check must fail.
RED = (
    ('all_cold', ('ramp',), 0),
    ('plain', ('hedging',), 0),
    ('heavy_takeover', ('pause', 'freshness'), 2),
    ('host_isolated', ('freshness',), 0),
    ('leaving', ('leaving',), 0),
    ('keeper_dies', ('journal',), 0),
    ('resend_after_kill', ('may_have_run',), 0),
    ('two_operators', ('compare_and_swap',), 0),
    ('version_rollout', ('snapshot',), 0),
    ('repartition', ('coverage',), 0),
    ('crash_request', ('quarantine',), 0),
    ('planned_stops', ('draining', 'notice'), 0),
    ('owner_cut', ('silence',), 0),
)


class GreenTest(unittest.TestCase):
    """Promises hold in every scenario."""

    def test_files(self) -> None:
        """Finds no violation with the fixed seeds."""
        for path in sorted(FILES.iterdir()):
            for seed in GREEN_SEEDS:
                with self.subTest(path.stem, seed=seed):
                    scenario = load_named(path.stem)
                    self.assertEqual(run_on_core(scenario, seed), [])


class RedTest(unittest.TestCase):
    """Each check notices when its mechanism is switched off."""

    def test_files(self) -> None:
        """Finds a violation without the mechanism."""
        for name, without, seed in RED:
            with self.subTest(name, without=without):
                scenario = load_named(name, without=without)
                self.assertNotEqual(run_on_core(scenario, seed), [])


class RepeatTest(unittest.TestCase):
    """A run is repeated exactly by its seed."""

    def test_same_seed(self) -> None:
        """Gives the same violations twice."""
        scenario = load_named('crash_request', without=('quarantine',))
        first = run_on_core(scenario, 3)
        self.assertEqual(run_on_core(scenario, 3), first)
