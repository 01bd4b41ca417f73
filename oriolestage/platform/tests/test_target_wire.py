"""Tests of the target client against faulty targets."""

import asyncio
import contextlib
import socket
import struct
import threading
import time
import unittest

import uvloop

from oriolestage.entry._held_bytes import MAX_HELD_BYTES
from oriolestage.entry._target_client import TargetCall, TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)

HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n'
COMPLETE_ANSWER = HEAD + b'Content-Length: 4\r\n\r\nbody'
#: Value of SO_LINGER with which closing a socket resets the connection.
LINGER_ZERO = struct.pack('ii', 1, 0)
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


class RawTarget:
    """A target that sends prepared bytes, on its own threads."""

    def __init__(
        self,
        *answers: bytes,
        reset: bool = False,
        delay_s: float = 0,
    ) -> None:
        """Answer the requests of all connections in order.

        With ``reset``, each connection is reset after its first answer.
        """
        self._delay_s = delay_s
        self.accepted = 0
        self.received = b''
        self._answers = list(answers)
        self._reset = reset
        self._listener = socket.create_server(('127.0.0.1', 0))
        #: Address at which it listens, as ``ip:port``.
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.accepted += 1
                threading.Thread(
                    target=self._serve,
                    args=(connection,),
                    daemon=True,
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while self._answers:
                request = connection.recv(65536)
                if not request:
                    return
                self.received += request
                time.sleep(self._delay_s)
                connection.sendall(self._answers.pop(0))
                if self._reset:
                    connection.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        LINGER_ZERO,
                    )
                    return


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


def _call(**changes: object) -> TargetCall:
    fields: dict[str, object] = {
        'request_id': 'a',
        'method': 'GET',
        'path': '/x?y=1',
        'headers': (('Host', 'h'), ('Attempt-Id', 'a')),
        'body': b'',
        'repeatable': True,
        'target': 'i-1',
        'time_left_s': 2.0,
        'fingerprint': 1,
        **changes,
    }
    return TargetCall(**fields)  # type: ignore[arg-type]


def _run(
    target: RawTarget | EndlessTarget,
    calls: int = 1,
    *,
    block_s: float = 0,
    pause_s: float = 0,
    **changes: object,
) -> list[AttemptOutcome]:
    """Send calls one after another on uvloop, as in production.

    With ``block_s``, the event loop is blocked for that time in each call.
    """

    async def send_all() -> list[AttemptOutcome]:
        client = TargetClient(PlatformWireProtocol())
        outcomes: list[AttemptOutcome] = []
        try:
            for _ in range(calls):
                send_task = asyncio.create_task(
                    client.send(
                        _call(**{'address': target.address, **changes})
                    ),
                )
                if block_s:
                    await asyncio.sleep(block_s / 10)
                    # After the block, the loop sees data and reset together.
                    time.sleep(block_s)
                outcomes.append(await send_task)
                await asyncio.sleep(pause_s)
            return outcomes
        finally:
            client.close()

    try:
        return uvloop.run(send_all())
    finally:
        target.close()


async def _largest_held_bytes(targets: list[EndlessTarget]) -> int:
    """Call all targets at once; return the largest number of held bytes."""
    client = TargetClient(PlatformWireProtocol())
    calls = [
        asyncio.create_task(
            client.send(
                _call(address=target.address, time_left_s=ENDLESS_TIME_LEFT_S),
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


class TargetClientTest(unittest.TestCase):
    """Bytes that are not the complete answer are never passed on."""

    def test_complete_answer(self) -> None:
        """An answer with a length is passed on unchanged."""
        outcome = _run(RawTarget(COMPLETE_ANSWER))[0]
        self.assertIsInstance(outcome, AttemptAnswered)
        if isinstance(outcome, AttemptAnswered):
            self.assertEqual(outcome.answer.body, b'body')

    def test_answer_without_length(self) -> None:
        """An answer without a length ends with the connection."""
        outcome = _run(RawTarget(HEAD + b'\r\nbody'))[0]
        self.assertIsInstance(outcome, AttemptAnswered)

    def test_reset_without_length(self) -> None:
        """An answer without a length that a reset cuts off is lost.

        A busy event loop sees the reset as a normal end of the stream.
        """
        for block_s in (0, 0.2):
            with self.subTest(block_s=block_s):
                target = RawTarget(
                    HEAD + b'\r\nbo',
                    reset=True,
                    delay_s=block_s / 2,
                )
                outcome = _run(target, block_s=block_s)[0]
                self.assertIsInstance(outcome, AttemptLost)

    def test_invalid_answers(self) -> None:
        """An answer is lost if it is cut off, malformed or unsigned.

        So is the answer to another request.
        """
        cases = (
            HEAD + b'Content-Length: 9\r\n\r\nbody',
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n',
            b'no answer at all\r\n\r\n',
            COMPLETE_ANSWER.replace(b'Attempt-Id: a', b'Attempt-Id: b'),
            COMPLETE_ANSWER.replace(b'Server-Stamp: s\r\n', b''),
        )
        for answer in cases:
            with self.subTest(answer=answer[:60]):
                outcome = _run(RawTarget(answer))[0]
                self.assertIsInstance(outcome, AttemptLost)

    def test_extra_answer(self) -> None:
        """Extra bytes after an answer do not reach the next request.

        The connection is closed instead of reused.
        """
        for pause_s in (0, 0.05):
            with self.subTest(pause_s=pause_s):
                extra = COMPLETE_ANSWER.replace(b'body', b'evil')
                target = RawTarget(COMPLETE_ANSWER + extra, COMPLETE_ANSWER)
                outcomes = _run(target, 2, pause_s=pause_s)
                for outcome in outcomes:
                    self.assertIsInstance(outcome, AttemptAnswered)
                    if isinstance(outcome, AttemptAnswered):
                        self.assertEqual(outcome.answer.body, b'body')
                self.assertEqual(target.accepted, 2)

    def test_not_reached(self) -> None:
        """If no connection was made, the attempt did not run."""
        target = RawTarget(COMPLETE_ANSWER)
        target.close()
        outcome = _run(target, address='127.0.0.1:1')[0]
        self.assertEqual(outcome, AttemptNotRun(NotRunReason.NOT_REACHED))

    def test_reset_before_answer(self) -> None:
        """If the connection breaks after the request, it may have run."""
        outcome = _run(RawTarget(b'', reset=True))[0]
        self.assertIsInstance(outcome, AttemptLost)

    def test_no_automatic_retry(self) -> None:
        """The HTTP library does not repeat a request by itself."""
        target = RawTarget(COMPLETE_ANSWER, b'', COMPLETE_ANSWER, reset=False)
        outcomes = _run(target, 2)
        self.assertIsInstance(outcomes[0], AttemptAnswered)

    def test_non_idempotent_uses_new_connections(self) -> None:
        """A non-idempotent request never reuses a connection.

        The target may close an idle connection just as the request is sent,
        and the request may then have run without an answer.
        """
        target = RawTarget(COMPLETE_ANSWER, COMPLETE_ANSWER)
        _run(target, 2, repeatable=False)
        self.assertEqual(target.accepted, 2)

    def test_path_unchanged(self) -> None:
        """Path and query reach the target unchanged."""
        paths = ('/a/?', '/a/?x', '/a//b', '/a/../b', '/a/%2f?q=%20+&&=')
        for path in paths:
            with self.subTest(path=path):
                target = RawTarget(COMPLETE_ANSWER)
                _run(target, path=path)
                line = f'GET {path} HTTP/1.1\r\n'.encode()
                self.assertTrue(target.received.startswith(line))

    def test_deadline(self) -> None:
        """An attempt at a silent target ends when its time is over."""
        target = RawTarget()
        started = time.monotonic()
        outcome = _run(target, time_left_s=0.2)[0]
        self.assertLess(time.monotonic() - started, 2)
        self.assertIsInstance(outcome, AttemptLost)


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
                _run(target, time_left_s=ENDLESS_TIME_LEFT_S, pause_s=0.1)
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
