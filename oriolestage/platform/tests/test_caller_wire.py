"""Tests of the caller server with the platform's wire protocol."""

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._caller_server import CallerServer
from oriolestage.entry._ports import RequestMetadata
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.routing import _connection_ages
from oriolestage.routing._answers import (
    Delivered,
    GiveUpReason,
    Refused,
    RequestResult,
    TargetAnswer,
)
from oriolestage.routing._rules import CallerLimits

LIMITS = CallerLimits(
    header_bytes=512,
    body_bytes=64,
    header_timeout_s=0.3,
    idle_timeout_s=1.5,
)
ANSWER = Delivered(TargetAnswer(200, (('Server-Stamp', 's'),), b'body', 's'))
HEAD = 'Host: h.example\r\nAttempt-Id: a\r\nDeadline-Ms: 1000\r\n'


class RecordingRouter:
    """Records the requests and answers each with a set result."""

    def __init__(self) -> None:
        """Create a router without requests."""
        self.requests: list[CallerRequest] = []
        self.cancelled = 0
        self.block = False
        self.result: RequestResult = ANSWER

    async def serve(self, request: CallerRequest) -> RequestResult:
        """Record a request and answer it, or block until it is cancelled."""
        self.requests.append(request)
        if not self.block:
            return self.result
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.result


class CallerServerTest(IsolatedAsyncioTestCase):
    """Valid requests are forwarded unchanged, others get an error status."""

    async def asyncSetUp(self) -> None:
        """Start a server."""
        # Just after its start, a host closes connections after one response.
        patch = mock.patch(f'{_connection_ages.__name__}.SETTLING_S', 0)
        patch.start()
        self.addCleanup(patch.stop)
        self._router = RecordingRouter()
        self._server = CallerServer(
            self._router,  # type: ignore[arg-type]
            PlatformWireProtocol(),
            lambda: LIMITS,
        )
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setblocking(False)
        await self._server.start(listener)
        self._port = listener.getsockname()[1]

    async def asyncTearDown(self) -> None:
        """Stop the server."""
        await self._server.close()

    async def _send(self, text: str) -> bytes:
        """Send a request and return the head of the response.

        If the server closes the connection first, return what it sent.
        """
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        writer.write(text.encode('utf-8', 'surrogateescape'))
        try:
            async with asyncio.timeout(5):
                answer = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError as error:
            answer = error.partial
        finally:
            writer.close()
        return answer

    async def test_forwarded_unchanged(self) -> None:
        """Method, path, query, headers and body reach the router as sent."""
        path = '/a/%2F/../b?x=%20&y='
        await self._send(
            f'POST {path} HTTP/1.1\r\n{HEAD}X-Own: 1\r\n'
            'Content-Length: 4\r\n\r\nbody',
        )
        request = self._router.requests[0]
        self.assertEqual(request.method, 'POST')
        self.assertEqual(request.path, path)
        self.assertEqual(request.host, 'h.example')
        self.assertEqual(request.body, b'body')
        self.assertIn(('X-Own', '1'), request.headers)
        self.assertEqual(request.metadata.request_id, 'a')

    async def test_chunked_body(self) -> None:
        """A chunked body is reassembled."""
        await self._send(
            f'POST /a/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n'
            '2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n',
        )
        self.assertEqual(self._router.requests[0].body, b'body')

    async def test_invalid_requests(self) -> None:
        """An invalid request gets a 4xx status and never reaches the router."""
        long_header = 'X-Long: ' + 'x' * 600
        body = 'b' * 65
        cases = (
            ('no request at all\r\n\r\n', b'400'),
            ('GET  HTTP/1.1\r\n\r\n', b'400'),
            (f'GET /a/ HTTP/1.1\r\n{HEAD}{long_header}\r\n\r\n', b'400'),
            (
                f'POST /a/ HTTP/1.1\r\n{HEAD}Content-Length: 65\r\n\r\n{body}',
                b'413',
            ),
            (
                f'POST /a/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n'
                f'\r\n41\r\n{body}\r\n0\r\n\r\n',
                b'413',
            ),
            (
                f'POST /a/ HTTP/1.1\r\n{HEAD}Content-Length: 4\r\n'
                'Content-Length: 5\r\n\r\nbody',
                b'400',
            ),
            (
                f'POST /a/ HTTP/1.1\r\n{HEAD}Content-Length: 4\r\n'
                'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                b'400',
            ),
            ('GET /a/ HTTP/1.1\r\nAttempt-Id: a\r\n\r\n', b'400'),
            ('GET /a/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: x\r\n\r\n', b'400'),
        )
        for text, status in cases:
            with self.subTest(text=text[:90]):
                answer = await self._send(text)
                self.assertIn(status, answer.partition(b'\r\n')[0])
        self.assertEqual(self._router.requests, [])

    async def test_odd_headers(self) -> None:
        """Guards against a 500 for a malformed header of the system's own."""
        deadlines = ('9' * 400, '\u00b2', '\u0663', '+5', '1_000', '-1', '1.5')
        for line in (
            *(f'Deadline-Ms: {text}' for text in deadlines),
            'Attempt-Id: \u00e9',
            'Attempt-Id: a b',
        ):
            with self.subTest(line=line[:40]):
                answer = await self._send(
                    f'GET /a/ HTTP/1.1\r\nHost: h\r\n{line}\r\n\r\n'
                )
                self.assertIn(b' 400 ', answer.partition(b'\r\n')[0])
        self.assertEqual(self._router.requests, [])

    async def test_spaces_around_values(self) -> None:
        """Spaces around a header value do not belong to it."""
        answer = await self._send(
            'GET /a/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: \t 800 \t\r\n'
            'Attempt-Id:  a \t\r\n\r\n'
        )
        self.assertIn(b' 200 ', answer.partition(b'\r\n')[0])
        metadata = self._router.requests[0].metadata
        self.assertEqual(metadata, RequestMetadata('a', 0.8))

    async def test_host_that_is_not_utf8(self) -> None:
        """Guards against a 500 for a host name that no route has."""
        host = 'h\udcff.example'
        for path in ('/a/', '/b/'):
            answer = await self._send(
                f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'
            )
            self.assertIn(b' 200 ', answer.partition(b'\r\n')[0])
        first, second = self._router.requests
        self.assertEqual(first.host, host)
        self.assertNotEqual(first.fingerprint, second.fingerprint)

    async def test_odd_answer(self) -> None:
        """Guards against an answer that is lost because of one odd header.

        A header with a control character cannot be written.
        """
        stamp = ('Server-Stamp', 's')
        self._router.result = Delivered(
            TargetAnswer(200, (stamp, ('X-Odd', 'a\x1bb')), b'body', 's')
        )
        answer = await self._send(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n')
        self.assertIn(b' 200 ', answer.partition(b'\r\n')[0])
        self.assertIn(b'Server-Stamp: s\r\n', answer)
        self.assertNotIn(b'X-Odd', answer)

    async def test_slow_head(self) -> None:
        """A head that is not complete in time gets a 408 and is not run."""
        answer = await self._send('GET /a/ HTTP/1.1\r\nHost: h')
        self.assertIn(b'408', answer.partition(b'\r\n')[0])
        self.assertIn(b'Connection: close', answer)
        self.assertEqual(self._router.requests, [])

    async def test_slow_second_head(self) -> None:
        """The header timeout counts from the first byte of each request.

        Idle time between two requests of a connection does not count.
        """
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        writer.write(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n'.encode())
        await reader.readuntil(ANSWER.answer.body)
        await asyncio.sleep(LIMITS.header_timeout_s * 1.5)
        writer.write(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n'.encode())
        await reader.readuntil(ANSWER.answer.body)
        writer.write(b'GET')
        async with asyncio.timeout(5):
            self.assertIn(b' 408 ', await reader.readline())
        writer.close()

    async def test_network_delay(self) -> None:
        """The delay of a connection's first request includes the handshake.

        It is two round trips; that of a later request is one.
        """
        with mock.patch(
            'oriolestage.entry._caller_connection.round_trip_s',
            return_value=0.004,
        ):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                self._port,
            )
            for _ in range(2):
                writer.write(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n'.encode())
                await reader.readuntil(ANSWER.answer.body)
            writer.close()
        delays_s = [
            request.network_delay_s for request in self._router.requests
        ]
        self.assertEqual(delays_s, [0.008, 0.004])

    async def test_slow_body(self) -> None:
        """A body that is not complete in time gets a 408 and is not run."""
        answer = await self._send(
            'POST /a/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 200\r\n'
            'Content-Length: 4\r\n\r\nbo',
        )
        self.assertIn(b'408', answer.partition(b'\r\n')[0])
        self.assertEqual(self._router.requests, [])

    async def test_oversized_head(self) -> None:
        """The limit on headers applies to all lines together."""
        lines = ''.join(f'X-{one}: {"x" * 40}\r\n' for one in range(30))
        answer = await self._send(f'GET /a/ HTTP/1.1\r\n{HEAD}{lines}')
        self.assertIn(b'431', answer.partition(b'\r\n')[0])

    async def test_idle_connection(self) -> None:
        """A connection without a request is closed after the idle timeout."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        async with asyncio.timeout(LIMITS.idle_timeout_s * 3):
            self.assertEqual(await reader.read(), b'')
        writer.close()

    async def test_refusal(self) -> None:
        """A refused request gets a 503 with ``Retry-After``."""
        self._router.result = Refused(GiveUpReason.NO_ROOM, 0.5)
        answer = await self._send(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n')
        self.assertIn(b'503', answer)
        self.assertIn(b'Retry-After: 0.500', answer)

    async def test_caller_disconnects(self) -> None:
        """A request is cancelled when its caller closes the connection."""
        self._router.block = True
        _, writer = await asyncio.open_connection('127.0.0.1', self._port)
        writer.write(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n'.encode())
        while not self._router.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(2):
            while not self._router.cancelled:
                await asyncio.sleep(0.01)

    async def test_draining_host(self) -> None:
        """A draining host closes connections after the response."""
        self._server.start_draining()
        answer = await self._send(f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n')
        self.assertIn(b'Connection: close', answer)
