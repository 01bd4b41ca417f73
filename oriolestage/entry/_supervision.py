"""Restarts background work that fails."""

import asyncio
from collections.abc import Awaitable, Callable

from oriolestage._logging import log_event

#: Delay before failed work starts again, in seconds. It is short against the
#: propagation limit, which is a few seconds.
RESTART_DELAY_S = 0.3


def _ignore(_: str) -> None:
    """Do nothing."""


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    on_failure: Callable[[str], None] = _ignore,
) -> None:
    """Call ``run`` again whenever it ends, until cancelled.

    Exceptions are logged under ``name``, with which ``on_failure`` is called.
    """
    while True:
        try:
            await run()
        except Exception as error:
            on_failure(name)
            log_event(
                'background_work_failed',
                {'step': name, 'error': repr(error)},
            )
        await asyncio.sleep(RESTART_DELAY_S)
