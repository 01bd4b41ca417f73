"""Tests of calls to targets that respond wrongly or not at all."""

import asyncio
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
from oriolestage.daemon._events import Event, TargetCallEnded
from oriolestage.daemon._target_client import TargetClient

REQUEST_ID = 'request-1'
ROWS = b'[{"rota": 1}]'
#: Time that a call has, and that a call to an endless target has, in ms.
TIMEOUT_MS = 200
LONG_TIMEOUT_MS = 20_000
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
        target = Target('t-1', 's-1', 'ege-a', address, 2, 25)
        client.call(
            CallTarget(
                1,
                target,
                REQUEST_ID,
                'search',
                b'{}',
                0,
                timeout_ms,
                timeout_ms + 100,
            ),
        )
        event = await inbox.get()
        await client.close()
        assert isinstance(event, TargetCallEnded)
        return event


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
    """A target that sends a body until the caller closes the connection."""

    def __init__(self) -> None:
        self.cut_off = asyncio.Event()

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request without end."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response(claimed_length=10**12))
        try:
            while True:
                writer.write(ROWS * 5000)
                await writer.drain()
        except OSError:
            self.cut_off.set()
