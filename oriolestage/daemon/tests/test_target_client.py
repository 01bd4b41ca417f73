"""Tests of calls to targets that respond wrongly or not at all."""

import asyncio
import math
import unittest
from collections.abc import Callable

from oriolestage.core import (
    CallTarget,
    Target,
    TargetAnswered,
    TargetConnectionLost,
    TargetFailed,
    TargetNotReached,
    TargetRefused,
    TargetTimedOut,
)
from oriolestage.daemon._bodies import (
    ALWAYS_ACCEPTED_BYTES,
    MAX_BODY_BYTES,
    MAX_HELD_BYTES,
)
from oriolestage.daemon._events import Event, TargetCallEnded
from oriolestage.daemon._target_client import TargetClient

REQUEST_ID = 'request-1'
ROWS = b'[{"rota": 1}]'
#: Time that a call has, and that a call to an endless target has, in ms.
TIMEOUT_MS = 200
LONG_TIMEOUT_MS = 20_000
#: Calls of a query over many shards.
MANY_CALLS = 40
#: Time within which an endless target has to be cut off, in seconds.
CUT_OFF_S = 5.0


def response(
    *,
    status: str = '200 OK',
    request_id: str = REQUEST_ID,
    body: bytes = ROWS,
    claimed_length: int = len(ROWS),
    extra: str = '',
) -> bytes:
    """Return a target's response as bytes.

    ``claimed_length`` goes into Content-Length, whatever the body's length.
    """
    head = (
        f'HTTP/1.1 {status}\r\n'
        f'X-Request-Id: {request_id}\r\n'
        'X-Index-Version: 3\r\n'
        'X-Key-Range: 0-100\r\n'
        'X-Partition-Revision: 1\r\n'
        f'{extra}'
        f'Content-Length: {claimed_length}\r\n\r\n'
    )
    return head.encode() + body


class TargetClientTest(unittest.IsolatedAsyncioTestCase):
    """Each way in which a call can end has its own result."""

    async def test_responses(self) -> None:
        """Only a complete answer to the same request counts as an answer."""
        cases: tuple[tuple[str, bytes, type], ...] = (
            ('whole', response(), TargetAnswered),
            (
                'truncated',
                response(body=ROWS[:5]),
                TargetConnectionLost,
            ),
            ('truncated in the head', response()[:40], TargetConnectionLost),
            ('nothing', b'', TargetConnectionLost),
            (
                'of another request',
                response(request_id='request-2'),
                TargetFailed,
            ),
            (
                'refused',
                response(status='503 Busy', extra='X-Refused: shed\r\n'),
                TargetRefused,
            ),
            ('timed out', response(status='504 Late'), TargetTimedOut),
            ('error', response(status='500 Broken'), TargetFailed),
            ('not HTTP', b'hello\r\n\r\n', TargetConnectionLost),
        )
        for name, content, expected in cases:
            with self.subTest(name):
                event = await self._call(content)
                self.assertIsInstance(event.outcome, expected)

    async def test_rows_unchanged(self) -> None:
        """The body of an answer is passed on byte by byte."""
        event = await self._call(response())
        assert isinstance(event.outcome, TargetAnswered)
        self.assertEqual(event.outcome.rows, ROWS)

    async def test_no_response(self) -> None:
        """A call without a response times out."""
        event = await self._call(None)
        self.assertIsInstance(event.outcome, TargetTimedOut)

    async def test_endless_body(self) -> None:
        """Guards against reading a body without end into memory."""
        sent = _EndlessBody()
        event = await self._call_server(sent.answer, LONG_TIMEOUT_MS)
        self.assertIsInstance(event.outcome, TargetFailed)
        await asyncio.wait_for(sent.cut_off.wait(), CUT_OFF_S)

    async def test_many_long_bodies(self) -> None:
        """Guards against bodies that are short enough and many.

        Targets that stop just below the longest body, or go on, took eight
        megabytes for each shard of a query.
        """
        sent = _EndlessBody(MAX_BODY_BYTES - ALWAYS_ACCEPTED_BYTES)
        server = await asyncio.start_server(sent.answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        inbox: asyncio.Queue[Event] = asyncio.Queue()
        client = TargetClient('127.0.0.1', inbox)
        for call in range(MANY_CALLS):
            client.call(_make_call(f'127.0.0.1:{port}', TIMEOUT_MS * 10, call))
        largest = 0
        while inbox.qsize() < MANY_CALLS:
            largest = max(largest, client.held_bytes)
            await asyncio.sleep(0)
        await client.close()
        server.close()
        # One chunk of each body may arrive before its check.
        slack = MANY_CALLS * ALWAYS_ACCEPTED_BYTES * 4
        self.assertLessEqual(largest, MAX_HELD_BYTES + slack)
        self.assertEqual(client.held_bytes, 0)

    async def test_connection_refused(self) -> None:
        """A refused connection is reported as not reached."""
        event = await self._call_address('127.0.0.1:1')
        self.assertIsInstance(event.outcome, TargetNotReached)

    async def _call(self, content: bytes | None) -> TargetCallEnded:
        return await self._call_server(_respond_with(content))

    async def _call_server(
        self, answer: Callable, timeout_ms: int = TIMEOUT_MS
    ) -> TargetCallEnded:
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        event = await self._call_address(f'127.0.0.1:{port}', timeout_ms)
        server.close()
        return event

    async def _call_address(
        self, address: str, timeout_ms: int = TIMEOUT_MS
    ) -> TargetCallEnded:
        inbox: asyncio.Queue[Event] = asyncio.Queue()
        client = TargetClient('127.0.0.1', inbox)
        client.call(_make_call(address, timeout_ms))
        event = await inbox.get()
        await client.close()
        assert isinstance(event, TargetCallEnded)
        return event


def _make_call(address: str, timeout_ms: int, number: int = 1) -> CallTarget:
    target = Target('t-1', 's-1', 'ege-a', address, 2, 25)
    return CallTarget(
        number,
        target,
        REQUEST_ID,
        'search',
        b'{}',
        0,
        timeout_ms,
        timeout_ms + 100,
    )


def _respond_with(content: bytes | None) -> Callable:
    async def answer(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        if content is None:
            await reader.read()
        else:
            writer.write(content)
        writer.close()

    return answer


class _EndlessBody:
    """A target that sends a body until the caller closes the connection.

    It stops for good after ``pause_after`` bytes.
    """

    def __init__(self, pause_after: float = math.inf) -> None:
        self.cut_off = asyncio.Event()
        self._pause_after = pause_after

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request without end."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response(claimed_length=10**12))
        try:
            sent = 0
            while sent < self._pause_after:
                writer.write(ROWS * 5000)
                await writer.drain()
                sent += len(ROWS) * 5000
            await reader.read()
        except OSError:
            self.cut_off.set()
