"""Tests of connections to targets that are used again."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Callable

import uvloop

from oriolestage.entry._target_client import TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.target_calls import (
    RecordingObserver,
    make_call,
)
from oriolestage.routing._answers import AttemptAnswered

#: An answer that does not repeat the id of its request.
ANSWER = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ngood'
OTHER_ANSWER = ANSWER.replace(b'good', b'evil')


def _end(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_WR)


def _sender(content: bytes) -> Callable[[socket.socket], None]:
    def send(connection: socket.socket) -> None:
        connection.sendall(content)

    return send


#: What a target does with an idle connection.
INTERRUPTIONS = (
    ('another answer', _sender(OTHER_ANSWER)),
    ('part of an answer', _sender(OTHER_ANSWER[:-1])),
    ('an interim answer', _sender(b'HTTP/1.1 100 Continue\r\n\r\n')),
    ('other bytes', _sender(b'\x00')),
    ('its end', _end),
)


class _Target:
    """Answers all requests in the loop of its caller."""

    def __init__(self) -> None:
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.connections: list[socket.socket] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def accept(self) -> None:
        """Accept connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            self.connections.append(connection)
            self.tasks.append(asyncio.create_task(self._serve(connection)))

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with connection, contextlib.suppress(OSError):
            while await loop.sock_recv(connection, 65536):
                connection.sendall(ANSWER)


async def _interrupt(
    interrupt: Callable[[socket.socket], None],
) -> tuple[list[bytes], int]:
    """Send two requests with an interruption between them.

    The loop reads nothing between it and the second request. Return the
    bodies of the answers and the number of connections.
    """
    target = _Target()
    accepting = asyncio.create_task(target.accept())
    client = TargetClient(PlatformWireProtocol(), RecordingObserver())
    outcomes = [await client.send(make_call(address=target.address))]
    interrupt(target.connections[0])
    outcomes.append(await client.send(make_call(address=target.address)))
    client.close()
    for task in (accepting, *target.tasks):
        task.cancel()
    await asyncio.gather(accepting, *target.tasks, return_exceptions=True)
    target.listener.close()
    bodies = [
        outcome.answer.body
        for outcome in outcomes
        if isinstance(outcome, AttemptAnswered)
    ]
    return bodies, len(target.connections)


class KeptConnectionTest(unittest.TestCase):
    """A connection is used again only if nothing has arrived on it."""

    def test_interrupted(self) -> None:
        """Guards against an answer to the request before that is passed on.

        It had arrived when the next request was sent, and the busy loop had
        not read it. An end of the stream made the next request fail.
        """
        for run in (uvloop.run, asyncio.run):
            for name, interrupt in INTERRUPTIONS:
                with self.subTest(name, loop=run.__module__):
                    bodies, connections = run(_interrupt(interrupt))
                    self.assertEqual(bodies, [b'good', b'good'])
                    self.assertEqual(connections, 2)

    def test_undisturbed(self) -> None:
        """Without an interruption, the connection is used again."""
        bodies, connections = uvloop.run(_interrupt(lambda _: None))
        self.assertEqual(bodies, [b'good', b'good'])
        self.assertEqual(connections, 1)
