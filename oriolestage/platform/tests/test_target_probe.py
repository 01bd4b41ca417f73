"""Tests of the check whether a target responds."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from oriolestage.entry._target_client import PROBE_TIMEOUT_S, TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.target_calls import RecordingObserver

PATH = '/healthz'
REQUEST_LINE = b'GET /healthz HTTP/1.1\r\n'
#: Slack on the time-out of a probe, in seconds.
SLACK_S = 1.0
SETTLING_S = 0.05
LENGTH = b'Content-Length: 0\r\n\r\n'

_Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _reset_at_once(
    _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.transport.abort()


async def _reset_on_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readline()
    writer.transport.abort()


async def _close_on_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.close()


async def _stay_silent(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


async def _send_endless_head(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readline()
    writer.write(b'HTTP/1.1 200 OK\r\n')
    while not writer.is_closing():
        writer.write(b'X: y\r\n')
        await asyncio.sleep(0.01)


def _answer(head: bytes) -> _Serve:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await reader.readuntil(b'\r\n\r\n')
        if request.startswith(REQUEST_LINE):
            writer.write(head + LENGTH)
        await reader.read()
        writer.close()

    return serve


#: What a listener does with a connection, and whether that is a response.
LISTENERS: tuple[tuple[str, _Serve, bool], ...] = (
    ('reset at once', _reset_at_once, False),
    ('reset on the request', _reset_on_request, False),
    ('closed on the request', _close_on_request, False),
    ('silent', _stay_silent, False),
    ('a head without end', _send_endless_head, False),
    ('healthy', _answer(b'HTTP/1.1 200 OK\r\n'), True),
    ('draining', _answer(b'HTTP/1.1 503 Service Unavailable\r\n'), True),
    ('another target', _answer(b'HTTP/1.1 421 Misdirected Request\r\n'), True),
)


async def _probe(serve: _Serve) -> tuple[bool, float]:
    """Return the result of a probe and the seconds that it took."""
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = TargetClient(PlatformWireProtocol(), RecordingObserver())
    started_at = loop.time()
    responded = await client.probe(f'127.0.0.1:{port}', PATH)
    took_s = loop.time() - started_at
    client.close()
    server.close()
    # Lets the listener notice that its connection has ended.
    await asyncio.sleep(SETTLING_S)
    return responded, took_s


class TargetProbeTest(unittest.IsolatedAsyncioTestCase):
    """Only a response shows that a target is reached."""

    async def test_listeners(self) -> None:
        """Guards against a cut that is forgotten while it lasts.

        A connection that could be opened was taken for a path to targets, so
        that the next requests were sent on it and waited there.
        """
        for name, serve, expected in LISTENERS:
            with self.subTest(name=name):
                responded, took_s = await _probe(serve)
                self.assertEqual(responded, expected)
                self.assertLess(took_s, PROBE_TIMEOUT_S + SLACK_S)

    async def test_no_listener(self) -> None:
        """An address that refuses connections does not respond."""
        client = TargetClient(PlatformWireProtocol(), RecordingObserver())
        self.assertFalse(await client.probe('127.0.0.1:1', PATH))

    async def test_invalid_path(self) -> None:
        """A path that would end the request line early is not sent."""
        server = await asyncio.start_server(_stay_silent, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(PlatformWireProtocol(), RecordingObserver())
        self.assertFalse(
            await client.probe(f'127.0.0.1:{port}', '/ HTTP/1.1\r\nX: ')
        )
        server.close()
