"""Tests of streams to another host that sends bytes without end."""

import asyncio
import time
import unittest

from oriolestage._frames import MAX_MESSAGE_BYTES, frame
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry.tests.peer_requests import make_relay_request
from oriolestage.routing._answers import AttemptAnswered

#: Bytes that the other host sends at once, and after which it gives up.
BLOCK_BYTES = 65_536
MAX_ENDLESS_BYTES = 16 * MAX_MESSAGE_BYTES
#: Time within which the other host has to be cut off, in seconds.
CUT_OFF_S = 5.0
#: What the kernel and the event loop hold besides a message, in bytes.
BUFFERED_BYTES = 8 * 1024 * 1024
#: Prefix and pattern of the bytes, by what they are.
ENDLESS_BYTES = (
    ('a message over the bound', b'', b'x'),
    ('empty messages', b'', b'\0'),
    ('no messages', b'', frame(b'x' * 1024)),
    (
        'a message of the longest length',
        MAX_MESSAGE_BYTES.to_bytes(4, 'big'),
        b'x',
    ),
    ('text', b'HTTP/1.1 200 OK\r\n', b'X: y\r\n'),
)


def _ignore(_: str) -> None:
    """Do nothing about a target that leaves."""


class _EndlessHost:
    """A host that sends bytes until the stream is closed."""

    def __init__(self, prefix: bytes, pattern: bytes) -> None:
        self.sent = 0
        self.cut_off = asyncio.Event()
        self._prefix = prefix
        self._block = pattern * (BLOCK_BYTES // len(pattern) + 1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first bytes of a request without end."""
        await reader.read(1)
        writer.write(self._prefix)
        try:
            while self.sent < MAX_ENDLESS_BYTES:
                writer.write(self._block)
                await writer.drain()
                self.sent += len(self._block)
        except OSError:
            self.cut_off.set()
        writer.close()


class EndlessStreamTest(unittest.IsolatedAsyncioTestCase):
    """A host that sends no replies is cut off after a bounded number."""

    async def test_cut_off(self) -> None:
        """Guards against a host that keeps all that another one sends."""
        for name, prefix, pattern in ENDLESS_BYTES:
            host = _EndlessHost(prefix, pattern)
            server = await asyncio.start_server(host.serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            client = PeerClient(_ignore)
            started = time.monotonic()
            outcome = await client.relay(
                f'127.0.0.1:{port}', make_relay_request()
            )
            with self.subTest(name=name):
                self.assertNotIsInstance(outcome, AttemptAnswered)
                await asyncio.wait_for(host.cut_off.wait(), CUT_OFF_S)
                self.assertLess(time.monotonic() - started, CUT_OFF_S)
                self.assertLess(host.sent, MAX_MESSAGE_BYTES + BUFFERED_BYTES)
            client.close()
            server.close()
