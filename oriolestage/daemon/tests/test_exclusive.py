"""Tests that two trials do not share addresses."""

import asyncio
import unittest

from trial.exclusive import exclusive_addresses


class ExclusiveAddressesTest(unittest.IsolatedAsyncioTestCase):
    """A second trial waits for the first one, or says why it cannot run."""

    async def test_second_trial(self) -> None:
        """It is told of the first one, and may run after it."""
        async with exclusive_addresses():
            with self.assertRaisesRegex(TimeoutError, 'another trial'):
                async with exclusive_addresses(timeout_s=0.3):
                    self.fail('two trials at one time')
        async with exclusive_addresses(timeout_s=0.3):
            await asyncio.sleep(0)
