"""Tests of the target client against responses without end."""

import asyncio
import socket
import threading
import time
import unittest

import uvloop

from oriolestage.entry._held_bytes import MAX_HELD_BYTES
from oriolestage.entry._ports import StoreError
from oriolestage.entry._target_client import TargetClient
from oriolestage.platform._store import StoreClient
from oriolestage.platform._store_calls import (
    MAX_PAGE_BYTES,
    RESPONSE_TIMEOUT_S,
)
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.target_calls import (
    COMPLETE_ANSWER,
    HEAD,
    RecordingObserver,
    make_call,
    run_calls,
)

#: Bytes that an endless target sends at once.
BLOCK_BYTES = 65536
#: Bytes after which an endless target gives up: far more than a response may
#: have, with the buffers of both sockets.
MAX_ENDLESS_BYTES = 64 * 1024 * 1024
#: Time that an attempt at an endless target has, and within which the target
#: has to be cut off, in seconds.
ENDLESS_TIME_LEFT_S = 20.0
CUT_OFF_S = 5.0
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
#: Endless targets that are called at once, as the shards of one query.
ENDLESS_TARGETS = 40
#: Prefix and pattern of responses without end, by the place of the pattern.
ENDLESS_RESPONSES = (
    ('status line', b'HTTP/1.1 200 ', b'x'),
    ('empty lines before the head', b'', b'\r\n'),
    ('interim responses', b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    ('header name', HEAD, b'x'),
    ('header value', HEAD + b'X: ', b'x'),
    ('headers', HEAD, b'X: y\r\n'),
    ('body without a length', HEAD + b'\r\n', b'x'),
    ('body with a length', HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    ('chunks', CHUNKED_HEAD, b'400\r\n' + b'x' * 1024 + b'\r\n'),
    ('tiny chunks', CHUNKED_HEAD, b'1\r\nx\r\n'),
    ('chunk size', CHUNKED_HEAD, b'0'),
    ('chunk extension', CHUNKED_HEAD + b'1;', b'x'),
    ('trailers', CHUNKED_HEAD + b'0\r\n', b'X: y\r\n'),
    ('bytes after a complete response', COMPLETE_ANSWER, b'x'),
    ('answers after a complete response', COMPLETE_ANSWER, COMPLETE_ANSWER),
)


class EndlessTarget:
    """A target that sends a prefix and then a pattern until it is cut off."""

    def __init__(self, prefix: bytes, pattern: bytes) -> None:
        """Serve one connection on a thread of its own."""
        #: Number of bytes that the caller's side has taken.
        self.sent = 0
        #: Set when the caller has closed the connection.
        self.cut_off = threading.Event()
        self._prefix = prefix
        self._block = pattern * (BLOCK_BYTES // len(pattern) + 1)
        self._listener = socket.create_server(('127.0.0.1', 0))
        #: Address at which it listens, as ``ip:port``.
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(self._prefix)
            try:
                while self.sent < MAX_ENDLESS_BYTES:
                    self.sent += connection.send(self._block)
            except OSError:
                self.cut_off.set()


async def _read_store(address: str) -> None:
    """Read the whole store once."""
    client = StoreClient(address)
    try:
        await client.read_all()
    finally:
        await client.close()


async def _largest_held_bytes(targets: list[EndlessTarget]) -> int:
    """Call all targets at once; return the largest number of held bytes."""
    client = TargetClient(PlatformWireProtocol(), RecordingObserver())
    calls = [
        asyncio.create_task(
            client.send(
                make_call(
                    address=target.address, time_left_s=ENDLESS_TIME_LEFT_S
                ),
            ),
        )
        for target in targets
    ]
    largest = 0
    while not all(call.done() for call in calls):
        largest = max(largest, client.held_bytes)
        await asyncio.sleep(0)
    client.close()
    return largest


class EndlessResponseTest(unittest.TestCase):
    """A response without end is cut off after a bounded number of bytes."""

    def test_cut_off(self) -> None:
        """Guards against hosts that read a faulty target's bytes for ever.

        They would fill the memory of the host, or its processor time until
        the deadline, wherever in a response the bytes come.
        """
        for place, prefix, pattern in ENDLESS_RESPONSES:
            with self.subTest(place=place):
                target = EndlessTarget(prefix, pattern)
                started = time.monotonic()
                run_calls(target, time_left_s=ENDLESS_TIME_LEFT_S, pause_s=0.1)
                self.assertTrue(target.cut_off.wait(CUT_OFF_S))
                self.assertLess(time.monotonic() - started, CUT_OFF_S)

    def test_many_at_once(self) -> None:
        """All endless responses together are bounded, not only each one."""
        targets = [
            EndlessTarget(HEAD + b'\r\n', b'x') for _ in range(ENDLESS_TARGETS)
        ]
        peak = uvloop.run(_largest_held_bytes(targets))
        for target in targets:
            target.close()
        self.assertLessEqual(peak, MAX_HELD_BYTES + BLOCK_BYTES * len(targets))


class EndlessStoreTest(unittest.TestCase):
    """The same for the store, whose answers are read in the same way."""

    def test_cut_off(self) -> None:
        """Guards against a host that keeps all that a faulty store sends."""
        for place, prefix, pattern in ENDLESS_RESPONSES:
            with self.subTest(place=place):
                store = EndlessTarget(prefix, pattern)
                started = time.monotonic()
                with self.assertRaises(StoreError):
                    uvloop.run(_read_store(store.address))
                store.close()
                self.assertTrue(store.cut_off.wait(CUT_OFF_S))
                took_s = time.monotonic() - started
                self.assertLess(took_s, RESPONSE_TIMEOUT_S + CUT_OFF_S)
                # Tiny chunks take six bytes for each byte of the body.
                self.assertLess(store.sent, 4 * MAX_PAGE_BYTES)
