"""Tests of planned stops that meet something else, as a process."""

import asyncio
import signal
import time
import unittest

from oriolestage.platform.tests.stopped_host import GRACE_S, StoppedHost

#: Times of work of the requests, one after another, in seconds.
WORK_S = (0.3, 0.9, 1.6, 0.5)
CALLERS = 8
#: Time of traffic before the stop, in seconds.
BEFORE_S = 1.0
#: Interval of further signals, in seconds; shorter than any phase of a stop.
SIGNAL_INTERVAL_S = 0.1
#: Time from the start of the process until callers have connected, in seconds.
CONNECTED_S = 0.2


class DisturbedStopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are passed on and cut by the end.

    Whatever else happens in a stop, each request that the target got has its
    answer, and the others are refused.
    """

    async def asyncSetUp(self) -> None:
        """Prepare a host that ends with the test."""
        self._host = StoppedHost(WORK_S)
        self.addAsyncCleanup(self._host.close)

    async def test_store_away(self) -> None:
        """The store does not answer from just before the stop on."""
        await self._host.start()
        calls = self._start_calls()
        await asyncio.sleep(BEFORE_S)
        self._host.store.silent = True
        self._host.stop()
        await self._check_end(calls)

    async def test_signals_in_each_phase(self) -> None:
        """Reloads and further stop signals come until the host is gone."""
        await self._host.start()
        calls = self._start_calls()
        await asyncio.sleep(BEFORE_S)
        self._host.stop()
        signals = asyncio.create_task(self._send_signals())
        await self._check_end(calls)
        await signals
        self.assertGreater(len(self._host.log_lines('reloaded')), 10)

    async def test_stop_during_the_first_read(self) -> None:
        """The stop signal comes before the store has answered at all."""
        self._host.store.silent = True
        await self._host.start(wait_ready=False)
        calls = self._start_calls()
        await self._host.wait_connectable()
        self._host.stop()
        await asyncio.sleep(CONNECTED_S)
        self._host.store.silent = False
        await self._check_end(calls)

    def _start_calls(self) -> list[asyncio.Task[None]]:
        until = time.monotonic() + BEFORE_S + GRACE_S
        return [
            asyncio.create_task(self._host.call_back_to_back(until))
            for _ in range(CALLERS)
        ]

    async def _send_signals(self) -> None:
        process = self._host.process
        assert process is not None
        while process.returncode is None:
            for number in (signal.SIGHUP, signal.SIGTERM):
                await asyncio.sleep(SIGNAL_INTERVAL_S / 2)
                if process.returncode is None:
                    self._host.send_signal(number)

    async def _check_end(self, calls: list[asyncio.Task[None]]) -> None:
        host = self._host
        code, took_s = await host.wait_end()
        await asyncio.gather(*calls)
        self.assertEqual(code, 0, host.log)
        self.assertLess(took_s, GRACE_S)
        self.assertEqual(host.unanswered(), [], host.log)
        statuses = {exchange.status for exchange in host.exchanges}
        self.assertIn(503, statuses, 'nothing was refused')
        self.assertIn('cut=0', host.log_lines('stopped')[0])
