"""Runs coroutines on an event loop whose time passes only while it waits.

Tests of deadlines then have the same result however busy the machine is.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar
from unittest import mock

_Result = TypeVar('_Result')
#: Time at which each loop starts, in seconds.
LOOP_START: float = 1000


class _VirtualSelector(selectors.SelectSelector):
    """Advances the time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        #: Time of the loop, in seconds.
        self.now = LOOP_START

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('nothing left to wait for')
        self.now += max(0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with its own time."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the time of the loop, in seconds."""
        return self._virtual.now

    def stay_busy(self, busy_s: float) -> None:
        """Let time pass as if a callback ran for so many seconds."""
        self._virtual.now += busy_s


def run_in_virtual_time(
    loop: VirtualTimeLoop, coroutine: Coroutine[None, None, _Result]
) -> _Result:
    """Run a coroutine on the loop, which gives the monotonic time meanwhile."""
    with mock.patch('time.monotonic', loop.time):
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.close()
