"""A machine-wide lock on the loopback addresses of a trial.

The lock is a bound TCP port, which the operating system frees when the process
ends.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from trial.layout import BALANCER_IP

#: Port that a running trial binds as a lock; it does not listen there.
LOCK_PORT = 7999
#: Interval between attempts to bind the port, in seconds.
RETRY_PERIOD_S = 0.2
#: Longest wait for other trials, in seconds: enough for all trials of a whole
#: test run.
MAX_WAIT_S = 900.0


@contextlib.asynccontextmanager
async def exclusive_addresses(
    timeout_s: float = MAX_WAIT_S,
) -> AsyncIterator[None]:
    """Hold the lock; wait for it while another trial of this machine runs.

    Raise TimeoutError if the lock is not free within ``timeout_s`` seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as lock_socket:
        while not _try_bind(lock_socket):
            if loop.time() >= deadline:
                raise TimeoutError(
                    f'another trial holds {BALANCER_IP}:{LOCK_PORT} for '
                    f'over {timeout_s} s',
                )
            await asyncio.sleep(RETRY_PERIOD_S)
        yield


def _try_bind(lock_socket: socket.socket) -> bool:
    try:
        lock_socket.bind((BALANCER_IP, LOCK_PORT))
    except OSError:
        return False
    return True
