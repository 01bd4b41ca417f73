"""Tests that two trials do not use the same addresses at once."""

import asyncio
import unittest

from trial.exclusive import exclusive_addresses


class ExclusiveAddressesTest(unittest.IsolatedAsyncioTestCase):
    """A second trial waits for the first one, or fails with the reason."""

    async def test_second_trial(self) -> None:
        """A second trial times out during the first and runs after it."""
        async with exclusive_addresses():
            with self.assertRaisesRegex(TimeoutError, 'another trial'):
                async with exclusive_addresses(timeout_s=0.3):
                    self.fail('two trials at once')
        async with exclusive_addresses(timeout_s=0.3):
            await asyncio.sleep(0)
