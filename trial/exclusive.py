"""Keeps two trials from using the same loopback addresses at one time."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from trial.layout import BALANCER_IP

#: Port that a running trial holds; nothing listens there.
GUARD_PORT = 7999
#: Time between two tries to take it, in seconds.
TRY_PERIOD_S = 0.2
#: Longest wait for another trial, in seconds: those of a whole test run.
MAX_WAIT_S = 900.0


@contextlib.asynccontextmanager
async def exclusive_addresses(
    timeout_s: float = MAX_WAIT_S,
) -> AsyncIterator[None]:
    """Hold the addresses; waits while another trial of this machine does.

    The operating system frees them when the holder's process ends. Raises
    TimeoutError after ``longest_wait_s`` seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as guard:
        while not _taken(guard):
            if loop.time() >= deadline:
                raise TimeoutError(
                    f'another trial holds {BALANCER_IP}:{GUARD_PORT} for '
                    f'over {timeout_s} s',
                )
            await asyncio.sleep(TRY_PERIOD_S)
        yield


def _taken(guard: socket.socket) -> bool:
    try:
        guard.bind((BALANCER_IP, GUARD_PORT))
    except OSError:
        return False
    return True
