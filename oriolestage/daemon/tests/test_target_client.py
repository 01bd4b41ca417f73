"""Tests of calls to targets whose connections misbehave."""

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


def response(
    *,
    status: str = '200 OK',
    request_id: str = REQUEST_ID,
    body: bytes = ROWS,
    claimed_length: int = len(ROWS),
    extra: str = '',
) -> bytes:
    """Build the bytes of a target's response."""
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
    """Every way in which a call can end has its own outcome."""

    async def test_responses(self) -> None:
        """Takes only whole answers to the very request."""
        cases: tuple[tuple[str, bytes, type], ...] = (
            ('whole', response(), TargetAnswered),
            (
                'truncated',
                response(body=ROWS[:5]),
                TargetConnectionLost,
            ),
            ('cut in the head', response()[:40], TargetConnectionLost),
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
            ('given up', response(status='504 Late'), TargetTimedOut),
            ('error', response(status='500 Broken'), TargetFailed),
            ('not HTTP', b'hello\r\n\r\n', TargetConnectionLost),
        )
        for name, content, expected in cases:
            with self.subTest(name):
                ended = await self._call(content)
                self.assertIsInstance(ended.outcome, expected)

    async def test_rows_are_kept_to_the_letter(self) -> None:
        """Passes on the bytes of the answer."""
        ended = await self._call(response())
        assert isinstance(ended.outcome, TargetAnswered)
        self.assertEqual(ended.outcome.rows, ROWS)

    async def test_silence(self) -> None:
        """Ends a call that gets no answer."""
        ended = await self._call(None)
        self.assertIsInstance(ended.outcome, TargetTimedOut)

    async def test_nobody_listens(self) -> None:
        """Tells that nothing was sent when there is no connection."""
        ended = await self._exchange('127.0.0.1:1')
        self.assertIsInstance(ended.outcome, TargetNotReached)

    async def _call(self, content: bytes | None) -> TargetCallEnded:
        server = await asyncio.start_server(
            _answer_with(content),
            '127.0.0.1',
            0,
        )
        port = server.sockets[0].getsockname()[1]
        ended = await self._exchange(f'127.0.0.1:{port}')
        server.close()
        return ended

    async def _exchange(self, address: str) -> TargetCallEnded:
        inbox: asyncio.Queue[Event] = asyncio.Queue()
        client = TargetClient('127.0.0.1', inbox)
        target = Target('t-1', 's-1', 'ege-a', address, 2, 25)
        client.call(
            CallTarget(1, target, REQUEST_ID, 'search', b'{}', 0, 200, 300),
        )
        event = await inbox.get()
        await client.close()
        assert isinstance(event, TargetCallEnded)
        return event


def _answer_with(content: bytes | None) -> Callable:
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
