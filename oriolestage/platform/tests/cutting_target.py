"""A target that cuts off its answers."""

import asyncio
import contextlib
import functools
import socket
from typing import Self
from unittest.mock import patch

from oriolestage.entry import _target_client
from oriolestage.entry._connection_pool import connect
from oriolestage.platform.tests.broken_answers import Ending
from oriolestage.platform.tests.target_calls import LINGER_ZERO

#: Time for connecting to a target, in seconds. A target that a paused machine
#: does not reach would give another outcome than the answer.
CONNECT_TIMEOUT_S = 10.0


def connect_patiently() -> contextlib.AbstractContextManager[object]:
    """Give target clients time to connect, even on a busy machine."""
    return patch.object(
        _target_client,
        'connect',
        functools.partial(connect, timeout_s=CONNECT_TIMEOUT_S),
    )


class CuttingTarget:
    """Sends a prefix of an answer and ends the connection.

    It runs in the loop of its caller. What it sends at once, the caller's
    side has received before it is read.
    """

    def __init__(self) -> None:
        """Listen on loopback; :meth:`cut_off` has to follow."""
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        self._listener.setblocking(False)
        #: Address at which it listens, as ``ip:port``.
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._sent = b''
        self._ending = Ending.CLOSED
        self._bytewise = False
        #: One for each connection since they were closed last.
        self._connections: list[asyncio.Task[None]] = []
        self._patience = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        """Start to accept connections."""
        self._accepting = asyncio.create_task(self._accept())
        self._patience.enter_context(connect_patiently())
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all connections."""
        self._patience.close()
        self._accepting.cancel()
        await self.end_connections()
        self._listener.close()

    def cut_off(self, sent: bytes, ending: Ending, *, bytewise: bool) -> None:
        """Set what the next connection gets as the answer to a request."""
        self._sent = sent
        self._ending = ending
        self._bytewise = bytewise

    async def end_connections(self) -> None:
        """Close all connections."""
        serving = tuple(self._connections)
        for task in serving:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)
        self._connections.clear()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.append(
                asyncio.create_task(self._serve(connection))
            )

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with connection, contextlib.suppress(OSError):
            while await loop.sock_recv(connection, 65536):
                await self._send(connection)
                if self._ending == Ending.CLOSED_LATER:
                    await asyncio.sleep(0.001)
                if self._ending != Ending.HALF_CLOSED:
                    break
                connection.shutdown(socket.SHUT_WR)
            if self._ending == Ending.RESET:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
                )

    async def _send(self, connection: socket.socket) -> None:
        if not self._bytewise:
            connection.send(self._sent)
            return
        for byte in self._sent:
            connection.send(bytes((byte,)))
            # The caller's side reads in the next iteration of the loop.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
