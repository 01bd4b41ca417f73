"""Tests of connections to targets that are used again."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Callable

import uvloop

from oriolestage.entry._target_client import TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.broken_answers import Ending
from oriolestage.platform.tests.cutting_target import (
    CuttingTarget,
    connect_patiently,
)
from oriolestage.platform.tests.target_calls import (
    RecordingObserver,
    make_call,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptOutcome,
)

#: An answer that does not repeat the id of its request.
ANSWER = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ngood'
OTHER_ANSWER = ANSWER.replace(b'good', b'evil')
#: Answers to earlier requests, of which the head may break off.
EARLIER_ANSWERS = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: t\r\nContent-Length: 9\r\nX: y\r\n\r\n',
    b'HTTP/1.1 404 Not Found\r\nServer-Stamp: t\r\nX: y\r\n\r\n',
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 204 None\r\nServer-Stamp: t\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\nX: y\r\n\r\n',
)


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


async def _outcomes_after(earlier: bytes) -> list[AttemptOutcome]:
    """Return the outcomes with each part of a head before an answer."""
    outcomes: list[AttemptOutcome] = []
    async with CuttingTarget() as target:
        for cut, _ in enumerate(earlier):
            content = earlier[:cut] + ANSWER
            target.cut_off(content, Ending.CLOSED, bytewise=False)
            client = TargetClient(PlatformWireProtocol(), RecordingObserver())
            outcomes.append(
                await client.send(make_call(address=target.address))
            )
            client.close()
            await target.end_connections()
    return outcomes


class BrokenHeadTest(unittest.TestCase):
    """Two answers do not make one."""

    def test_every_cut(self) -> None:
        """Guards against an answer with the status or signature of another.

        A head that breaks off runs into the answer that follows it: the
        status line of that one becomes part of a field or of the reason.
        """
        right = uvloop.run(_outcomes_after(b'x'))[0]
        self.assertIsInstance(right, AttemptAnswered)
        for earlier in EARLIER_ANSWERS:
            outcomes = uvloop.run(_outcomes_after(earlier))
            for cut, outcome in enumerate(outcomes):
                with self.subTest(head=earlier[:cut]):
                    if outcome != right:
                        self.assertIsInstance(outcome, AttemptLost)


class KeptConnectionTest(unittest.TestCase):
    """A connection is used again only if nothing has arrived on it."""

    def setUp(self) -> None:
        """Let the client connect on a busy machine."""
        self.enterContext(connect_patiently())

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
