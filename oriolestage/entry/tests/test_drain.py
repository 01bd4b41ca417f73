"""Tests of a planned stop of an entry host."""

import asyncio
import types
import typing
import unittest

from oriolestage.entry import _composition
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)

#: Time until a host is killed, and until the request of another host ends, in
#: seconds.
GRACE_S = 6.0
RELAY_S = 4.0


async def _nothing() -> None:
    """Do nothing."""


def _make_host() -> types.SimpleNamespace:
    """Return a host without requests of its own callers."""
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(stop_grace_s=GRACE_S),
        router=types.SimpleNamespace(in_flight=0),
        callers=types.SimpleNamespace(
            start_draining=lambda: None, close=_nothing
        ),
        registration=types.SimpleNamespace(withdraw=_nothing),
        peer_server=types.SimpleNamespace(relays_in_flight=1),
        stopping=asyncio.Event(),
    )


async def _drain_with_relay(ends_after_s: float) -> tuple[float, int]:
    """Drain a host that sends a request for another one.

    Return the time that it takes in seconds, and the unfinished requests.
    """
    host = _make_host()
    loop = asyncio.get_running_loop()
    loop.call_later(
        ends_after_s, setattr, host.peer_server, 'relays_in_flight', 0
    )
    started_at = loop.time()
    entry_host = typing.cast(_composition.EntryHost, host)
    unfinished = await _composition._drain(entry_host)
    return loop.time() - started_at, unfinished


class DrainTest(unittest.TestCase):
    """A planned stop cuts off no request that can end in time."""

    def test_waits_for_requests_of_other_hosts(self) -> None:
        """A request that is sent for another host is finished first."""
        took_s, unfinished = run_in_virtual_time(
            VirtualTimeLoop(), _drain_with_relay(RELAY_S)
        )
        poll_s = _composition.DRAIN_POLL_INTERVAL_S
        self.assertAlmostEqual(took_s, RELAY_S, delta=2 * poll_s)
        self.assertEqual(unfinished, 0)

    def test_reports_unfinished_requests(self) -> None:
        """A request that takes too long is reported as cut off."""
        took_s, unfinished = run_in_virtual_time(
            VirtualTimeLoop(), _drain_with_relay(2 * GRACE_S)
        )
        self.assertLess(took_s, GRACE_S)
        self.assertEqual(unfinished, 1)
