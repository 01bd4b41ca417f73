"""Tests of signals at the start of an entry host, as a process."""

import asyncio
import contextlib
import signal
import unittest

from oriolestage.platform.tests.stopped_host import (
    START_TIMEOUT_S,
    StoppedHost,
)

#: Interval of connecting to the host, in seconds.
CONNECT_INTERVAL_S = 0.005


class EarlySignalsTest(unittest.IsolatedAsyncioTestCase):
    """A signal that calls for a reload ends no host."""

    async def test_reload_during_the_imports(self) -> None:
        """Guards against a host that SIGHUP ends as it starts.

        It listens for callers before it has set handlers of signals.
        """
        host = StoppedHost((0,))
        self.addAsyncCleanup(host.close)
        await host.start(wait_ready=False)
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_listening(host)
            host.send_signal(signal.SIGHUP)
            while not await host.is_ready():
                assert host.process is not None
                self.assertIsNone(host.process.returncode)
                await asyncio.sleep(CONNECT_INTERVAL_S)


async def _wait_listening(host: StoppedHost) -> None:
    """Wait until the host listens for callers."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await host.connect()
            writer.close()
            return
        await asyncio.sleep(CONNECT_INTERVAL_S)
