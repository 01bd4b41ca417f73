"""Tests of connections that count what they hold, over loopback."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from oriolestage.admission._memory_budget import MemoryBudget
from oriolestage.entry._caller_connections import (
    CallerConnections,
    ConnectionGuard,
)
from oriolestage.entry._held_memory import HeldMemory
from oriolestage.routing._rules import CallerLimits

LOOPBACK = '127.0.0.1'
LIMIT_BYTES = 50_000_000
MAX_CONNECTIONS = 2
IDLE_TIMEOUT_S = 1.0
#: Longer than the idle timeout, so that both are told apart.
HEADER_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 10.0
FIRST_PIECE = b'GET / HTTP/1.1\r\n'
SECOND_PIECE = b'Host: search.example\r\n\r\n'
BODY = b'body'
BODY_HEAD = (
    b'POST / HTTP/1.1\r\nHost: search.example\r\nContent-Length: 4\r\n\r\n'
)
#: More than are parsed ahead of their turn.
PIPELINED = 20


class _ConnectedTest(IsolatedAsyncioTestCase):
    """Has a connection to a server with a short idle timeout."""

    async def asyncSetUp(self) -> None:
        """Start the server, and connect to it."""
        #: Set once the head of a request was read.
        self._begun = asyncio.Event()
        limits = CallerLimits(
            idle_timeout_s=IDLE_TIMEOUT_S, header_timeout_s=HEADER_TIMEOUT_S
        )
        memory = HeldMemory(MemoryBudget(LIMIT_BYTES))
        guard = ConnectionGuard(memory, MAX_CONNECTIONS)
        connections = CallerConnections(self._answer, lambda: limits, guard)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(connections.accept, LOOPBACK, 0)
        self.addCleanup(server.close)
        self._port = server.sockets[0].getsockname()[1]
        self._reader, self._writer = await self._connect()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(LOOPBACK, self._port)
        self.addCleanup(writer.close)
        return reader, writer

    async def _read_status(self) -> bytes:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = await self._reader.readuntil(b'\r\n\r\n')
        return head.split()[1]

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self._begun.set()
        await request.read()
        return web.Response()


class IdleTimeoutTest(_ConnectedTest):
    """The idle timeout ends with the first byte of the next request."""

    async def test_head_in_pieces(self) -> None:
        """Guards against a head that is cut off by the idle timeout.

        A connection that was used again shortly before the timeout was closed
        without a status while its client sent the head within the time.
        """
        self._writer.write(FIRST_PIECE + SECOND_PIECE)
        await self._read_status()
        self._writer.write(FIRST_PIECE)
        await asyncio.sleep(IDLE_TIMEOUT_S * 2)
        self._writer.write(SECOND_PIECE)
        self.assertEqual(await self._read_status(), b'200')

    async def test_idle(self) -> None:
        """A connection without a next request is closed."""
        self._writer.write(FIRST_PIECE + SECOND_PIECE)
        await self._read_status()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            self.assertEqual(await self._reader.read(), b'')


class PipelinedRequestsTest(_ConnectedTest):
    """Requests that were sent ahead are all answered in the end."""

    async def test_after_late_body(self) -> None:
        """Guards against requests that stay in the parser for ever.

        After a body that came later than its head, the parser stopped at one
        request less than the connection waited for, and was not resumed.
        """
        self._writer.write(BODY_HEAD)
        await self._begun.wait()
        self._writer.write(BODY)
        self.assertEqual(await self._read_status(), b'200')
        self._writer.write((FIRST_PIECE + SECOND_PIECE) * PIPELINED)
        for _ in range(PIPELINED):
            self.assertEqual(await self._read_status(), b'200')


class RoomTest(_ConnectedTest):
    """A new connection closes those that were never served first."""

    async def test_stopped_body(self) -> None:
        """Guards against ordinary callers that make room for a crowd.

        A connection whose first body stops short counted as served, and one
        that had been served, and had waited for longer, was closed for it.
        """
        self._writer.write(FIRST_PIECE + SECOND_PIECE)
        await self._read_status()
        self._begun.clear()
        stopped, stopped_writer = await self._connect()
        stopped_writer.write(BODY_HEAD)
        await self._begun.wait()
        await self._connect()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            self.assertEqual(await stopped.read(), b'')
        self._writer.write(FIRST_PIECE + SECOND_PIECE)
        self.assertEqual(await self._read_status(), b'200')
