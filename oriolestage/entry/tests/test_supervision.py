"""Tests of restarting background work."""

import asyncio
import unittest

from oriolestage.entry._supervision import RESTART_DELAY_S, keep_running


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):
    """Failed work starts again."""

    async def test_failed_work(self) -> None:
        """Work that raises an unexpected exception is started again."""
        runs = asyncio.Queue[int]()

        async def work() -> None:
            runs.put_nowait(1)
            if runs.qsize() < 2:
                raise ValueError('unforeseen')
            await asyncio.Event().wait()

        supervised = asyncio.create_task(keep_running('work', work))
        async with asyncio.timeout(RESTART_DELAY_S * 10):
            while runs.qsize() < 2:
                await asyncio.sleep(RESTART_DELAY_S / 10)
        self.assertFalse(supervised.done())
        supervised.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await supervised
