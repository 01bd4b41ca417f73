"""Tests of looking for a path to targets."""

import asyncio
import unittest
from collections.abc import Callable

from oriolestage.entry._reach_probe import PROBE_INTERVAL_S, ReachProbe
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import ConfigurationStored
from oriolestage.routing._placement import Placement
from oriolestage.routing._rules import CallerLimits, ServiceRule, build_table
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_peers,
    make_rule,
)
from oriolestage.routing.tests.test_cut_off_host import (
    SHARDS,
    make_cut_off_placement,
)

#: Number of probes that fail before one succeeds.
FAILURES = 3
HEALTH_PATH = '/health'


def _make_state(
    placement: Placement, health_path_of: Callable[[int], str]
) -> ClusterState:
    """Return a state whose shards have the given health check paths."""
    state = ClusterState(
        placement.directory,
        placement,
        make_peers(placement.location),
        make_crash_detector(),
    )
    services = tuple(
        ServiceRule(f'shard-{number}', 0, health_path=health_path_of(number))
        for number in range(SHARDS)
    )
    table = build_table(1, (make_rule(),), services, CallerLimits())
    state.apply(ConfigurationStored(table), 0)
    return state


class ReachProbeTest(unittest.TestCase):
    """A host without callers' attempts notices that its path is back."""

    def _run(
        self, health_path_of: Callable[[int], str], failures: int
    ) -> tuple[Placement, list[tuple[str, str]]]:
        """Probe for a while; return the placement and what was tried."""
        placement = make_cut_off_placement()
        tried: list[tuple[str, str]] = []

        async def probe_target(address: str, path: str) -> bool:
            tried.append((address, path))
            return len(tried) > failures

        async def probe() -> None:
            state = _make_state(placement, health_path_of)
            task = asyncio.create_task(
                ReachProbe(placement, state, probe_target).run()
            )
            await asyncio.sleep((FAILURES + 3) * PROBE_INTERVAL_S)
            task.cancel()

        run_in_virtual_time(VirtualTimeLoop(), probe())
        return placement, tried

    def test_path_returns(self) -> None:
        """Targets are tried one after another until one is reached."""
        placement, tried = self._run(lambda _: HEALTH_PATH, FAILURES)
        self.assertFalse(placement.observations.reach.cut_off)
        self.assertEqual(len(tried), FAILURES + 1)
        self.assertEqual({path for _, path in tried}, {HEALTH_PATH})

    def test_path_stays_away(self) -> None:
        """The host stays cut off while no target responds."""
        placement, tried = self._run(lambda _: HEALTH_PATH, FAILURES + 9)
        self.assertTrue(placement.observations.reach.cut_off)
        self.assertGreater(len(tried), FAILURES)

    def test_no_health_check(self) -> None:
        """Targets whose service has no health check are not probed."""
        placement, tried = self._run(lambda _: '', 0)
        self.assertEqual(tried, [])
        _, tried = self._run(
            lambda number: HEALTH_PATH if number == 1 else '', FAILURES
        )
        self.assertEqual(len(tried), FAILURES + 1)
        self.assertTrue(placement.observations.reach.cut_off)
