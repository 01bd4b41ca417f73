"""Keeps the background work of a host running."""

import asyncio
from collections.abc import Awaitable, Callable

from oriolestage._logging import log_event

#: Time after which work that failed in an unforeseen way starts again, in
#: seconds; short against the bounds on changes, which are some seconds.
RESTART_DELAY_S = 0.3


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run ``work`` until cancelled; log errors that it does not handle."""
    while True:
        try:
            await work()
        except Exception as error:
            log_event(
                'background_work_failed',
                {'step': name, 'error': repr(error)},
            )
        await asyncio.sleep(RESTART_DELAY_S)
