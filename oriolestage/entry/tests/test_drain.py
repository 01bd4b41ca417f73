"""Tests of a planned stop of an entry host."""

import asyncio
import unittest

from oriolestage.entry import _composition, _planned_stop
from oriolestage.entry.tests.stopping_hosts import GRACE_S, Relays, make_host
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)

#: Time until the request of another host ends, in seconds.
RELAY_S = 4.0


async def _drain_with_relay(ends_after_s: float) -> tuple[float, int]:
    """Drain a host that sends a request for another one.

    Return the time that it takes in seconds, and the unfinished requests.
    """
    relays = Relays(['relayed'])
    host = make_host(relays)
    loop = asyncio.get_running_loop()
    loop.call_later(ends_after_s, relays.clear)
    started_at = loop.time()
    unfinished = await _composition._drain(host)
    return loop.time() - started_at, unfinished


class DrainTest(unittest.TestCase):
    """A planned stop cuts off no request that can end in time."""

    def test_waits_for_requests_of_other_hosts(self) -> None:
        """A request that is sent for another host is finished first."""
        took_s, unfinished = run_in_virtual_time(
            VirtualTimeLoop(), _drain_with_relay(RELAY_S)
        )
        poll_s = _planned_stop.STOP_POLL_INTERVAL_S
        self.assertAlmostEqual(took_s, RELAY_S, delta=2 * poll_s)
        self.assertEqual(unfinished, 0)

    def test_reports_unfinished_requests(self) -> None:
        """A request that takes too long is reported as cut off."""
        took_s, unfinished = run_in_virtual_time(
            VirtualTimeLoop(), _drain_with_relay(2 * GRACE_S)
        )
        self.assertLess(took_s, GRACE_S)
        self.assertEqual(unfinished, 1)
