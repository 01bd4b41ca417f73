"""Tests of looking for a path to targets."""

import asyncio
import unittest

from oriolestage.entry._reach_probe import PROBE_INTERVAL_S, ReachProbe
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing.tests.test_cut_off_host import make_cut_off_placement

#: Number of connections that fail before one succeeds.
FAILURES = 3


class ReachProbeTest(unittest.TestCase):
    """A host without callers' attempts notices that its path is back."""

    def test_path_returns(self) -> None:
        """Targets are tried one after another until one is reached."""
        placement = make_cut_off_placement()
        tried: list[str] = []

        async def try_connect(address: str) -> bool:
            tried.append(address)
            return len(tried) > FAILURES

        async def probe() -> None:
            task = asyncio.create_task(ReachProbe(placement, try_connect).run())
            await asyncio.sleep((FAILURES + 3) * PROBE_INTERVAL_S)
            task.cancel()

        run_in_virtual_time(VirtualTimeLoop(), probe())
        self.assertFalse(placement.observations.reach.cut_off)
        self.assertEqual(len(tried), FAILURES + 1)
