"""Runs scenarios on real processes."""

import unittest

from scenarios.runner import load_named, run_on_processes

#: Scenarios that CI runs on processes; the others can also run there.
NAMES = (
    'owner_killed',
    'owner_frozen',
    'host_isolated',
    'data_centre_out',
    'store_outage',
    'resend_after_kill',
    'crash_request',
    'planned_stops',
)
SEED = 1


class ProcessScenarioTest(unittest.TestCase):
    """Guarantees hold for the real programs."""

    def test_green(self) -> None:
        """The scenarios pass."""
        for name in NAMES:
            with self.subTest(name):
                self.assertEqual(run_on_processes(load_named(name), SEED), [])

    def test_red_without_freshness(self) -> None:
        """The isolated host fails its scenario without a freshness limit.

        Its configuration then never expires, so it keeps sending work to a
        data centre that was taken out.
        """
        violations = run_on_processes(
            load_named('host_isolated'),
            SEED,
            freshness_limit='60min',
        )
        self.assertNotEqual(violations, [])
