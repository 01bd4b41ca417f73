"""Tests of the limits on callers that send slowly, too much or nothing."""

import asyncio
import contextlib
import dataclasses
import logging
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.platform.tests.served_callers import (
    FIELDS,
    ask,
    read_all,
    serving,
    status_of,
)
from oriolestage.platform.tests.strict_messages import read_statuses
from oriolestage.platform.tests.test_caller_wire import (
    LIMITS,
    RecordingRouter,
)
from oriolestage.routing import _connection_ages

#: Time within which a connection must end, in seconds.
TIMEOUT_S = 5.0
SHORT = dataclasses.replace(LIMITS, idle_timeout_s=0.3)
#: Time between two pieces of what is sent slowly, in seconds.
PIECE_S = 0.05
LINE = b'X-Line: 0123456789\r\n'
GET = b'GET /a/ HTTP/1.1\r\n' + FIELDS
POST = b'POST /a/ HTTP/1.1\r\n' + FIELDS
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'


class CallerLimitTest(IsolatedAsyncioTestCase):
    """No caller holds a connection or memory beyond the configured limits."""

    async def asyncSetUp(self) -> None:
        """Start a server."""
        patch = mock.patch.object(_connection_ages, 'SETTLING_S', 0)
        patch.start()
        self.addCleanup(patch.stop)
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        self._router = RecordingRouter()
        self._address = await self.enterAsyncContext(
            serving(self._router, lambda: SHORT)
        )

    async def test_slow_bodies(self) -> None:
        """Guards against a body that arrives in pieces without an end."""
        for head, piece in (
            (CHUNKED, b'1\r\nx\r\n'),
            (CHUNKED, b'1;a=b'),
            (CHUNKED, b''),
            (POST + b'Content-Length: 60\r\n\r\n', b'x'),
            (POST + b'Expect: 100-continue\r\nContent-Length: 9\r\n\r\n', b''),
        ):
            with self.subTest(head=head[-40:], piece=piece):
                received = await self._send_pieces(head, piece)
                final = received.removeprefix(b'HTTP/1.1 100 Continue\r\n\r\n')
                self.assertIn(status_of(final), (408, 413))
        self.assertEqual(self._router.requests, [])

    async def test_caller_that_leaves_within_a_body(self) -> None:
        """A request whose body does not come is never run."""
        _, writer = await asyncio.open_connection(*self._address)
        writer.write(POST + b'Content-Length: 4\r\n\r\nbo')
        await asyncio.sleep(PIECE_S)
        writer.close()
        await asyncio.sleep(PIECE_S)
        self.assertEqual(self._router.requests, [])

    async def test_large_heads(self) -> None:
        """Guards against a head beyond the limit that arrives at once.

        It may come first, or behind a request that is being served.
        """
        large = GET + LINE * (SHORT.header_bytes // len(LINE)) + b'\r\n'
        sound = GET + b'\r\n'
        for requests, statuses in (
            (large, [431]),
            (sound + large, [200, 431]),
            (large + sound, [431]),
        ):
            with self.subTest(bytes=len(requests)):
                received = await ask(self._address, (requests,))
                self.assertEqual(read_statuses(received, []), statuses)

    async def _send_pieces(self, head: bytes, piece: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*self._address)
        writer.write(head)
        answer = asyncio.create_task(read_all(reader))
        with contextlib.closing(writer):
            async with asyncio.timeout(TIMEOUT_S):
                while not answer.done():
                    writer.write(piece)
                    await asyncio.sleep(PIECE_S)
        return answer.result()
