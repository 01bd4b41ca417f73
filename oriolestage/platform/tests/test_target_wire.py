"""Tests of attempts at targets that misbehave."""

import asyncio
import contextlib
import socket
import struct
import threading
import time
import unittest

import uvloop

from oriolestage.entry._target_client import TargetCall, TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)

HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n'
WHOLE = HEAD + b'Content-Length: 4\r\n\r\nbody'
#: Makes closing a socket reset its connection.
RESET = struct.pack('ii', 1, 0)


class RawTarget:
    """A target that writes prepared bytes, on threads of its own."""

    def __init__(
        self,
        *answers: bytes,
        reset: bool = False,
        delay_s: float = 0,
    ) -> None:
        """Answer the requests of all connections in order."""
        self._delay_s = delay_s
        self.accepted = 0
        self.received = b''
        self._answers = list(answers)
        self._reset = reset
        self._listening = socket.create_server(('127.0.0.1', 0))
        #: Where it listens.
        self.address = f'127.0.0.1:{self._listening.getsockname()[1]}'
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop listening."""
        self._listening.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listening.accept()
                self.accepted += 1
                threading.Thread(
                    target=self._serve,
                    args=(connection,),
                    daemon=True,
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while self._answers:
                asked = connection.recv(65536)
                if not asked:
                    return
                self.received += asked
                time.sleep(self._delay_s)
                connection.sendall(self._answers.pop(0))
                if self._reset:
                    connection.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        RESET,
                    )
                    return


def _call(**changes: object) -> TargetCall:
    facts: dict[str, object] = {
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
    return TargetCall(**facts)  # type: ignore[arg-type]


def _run(
    target: RawTarget,
    calls: int = 1,
    *,
    block_s: float = 0,
    gap_s: float = 0,
    **changes: object,
) -> list[AttemptOutcome]:
    """Make calls in order on the loop that the product uses."""

    async def send_all() -> list[AttemptOutcome]:
        client = TargetClient(PlatformWireProtocol())
        outcomes: list[AttemptOutcome] = []
        try:
            for _ in range(calls):
                sending = asyncio.create_task(
                    client.send(
                        _call(**{'address': target.address, **changes})
                    ),
                )
                if block_s:
                    await asyncio.sleep(block_s / 10)
                    # A busy loop finds the bytes and the reset together.
                    time.sleep(block_s)
                outcomes.append(await sending)
                await asyncio.sleep(gap_s)
            return outcomes
        finally:
            await client.close()

    try:
        return uvloop.run(send_all())
    finally:
        target.close()


class TargetClientTest(unittest.TestCase):
    """Damaged and foreign bytes never become an answer."""

    def test_whole_answer(self) -> None:
        """A framed answer is passed on as it is."""
        outcome = _run(RawTarget(WHOLE))[0]
        self.assertIsInstance(outcome, AttemptAnswered)
        if isinstance(outcome, AttemptAnswered):
            self.assertEqual(outcome.answer.body, b'body')

    def test_ends_with_connection(self) -> None:
        """An answer without a length is whole at the end of its stream."""
        outcome = _run(RawTarget(HEAD + b'\r\nbody'))[0]
        self.assertIsInstance(outcome, AttemptAnswered)

    def test_reset_without_length(self) -> None:
        """A reset answer is lost, also if the loop sees it as an end."""
        for block_s in (0, 0.2):
            with self.subTest(block_s=block_s):
                target = RawTarget(
                    HEAD + b'\r\nbo',
                    reset=True,
                    delay_s=block_s / 2,
                )
                outcome = _run(target, block_s=block_s)[0]
                self.assertIsInstance(outcome, AttemptLost)

    def test_damaged_answers(self) -> None:
        """Short, unreadable and foreign answers are lost."""
        cases = (
            HEAD + b'Content-Length: 9\r\n\r\nbody',
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n',
            b'no answer at all\r\n\r\n',
            WHOLE.replace(b'Attempt-Id: a', b'Attempt-Id: b'),
            WHOLE.replace(b'Server-Stamp: s\r\n', b''),
        )
        for answer in cases:
            with self.subTest(answer=answer[:60]):
                outcome = _run(RawTarget(answer))[0]
                self.assertIsInstance(outcome, AttemptLost)

    def test_extra_answer(self) -> None:
        """Bytes after an answer end the connection, not the next request."""
        for gap_s in (0, 0.05):
            with self.subTest(gap_s=gap_s):
                extra = WHOLE.replace(b'body', b'evil')
                target = RawTarget(WHOLE + extra, WHOLE)
                outcomes = _run(target, 2, gap_s=gap_s)
                for outcome in outcomes:
                    self.assertIsInstance(outcome, AttemptAnswered)
                    if isinstance(outcome, AttemptAnswered):
                        self.assertEqual(outcome.answer.body, b'body')
                self.assertEqual(target.accepted, 2)

    def test_not_reached(self) -> None:
        """Without a connection nothing was run."""
        target = RawTarget(WHOLE)
        target.close()
        outcome = _run(target, address='127.0.0.1:1')[0]
        self.assertEqual(outcome, AttemptNotRun(NotRunReason.NOT_REACHED))

    def test_closed_before_answer(self) -> None:
        """After the request was sent it may have run."""
        outcome = _run(RawTarget(b'', reset=True))[0]
        self.assertIsInstance(outcome, AttemptLost)

    def test_no_silent_repeat(self) -> None:
        """The client library does not send a request again by itself."""
        target = RawTarget(WHOLE, b'', WHOLE, reset=False)
        outcomes = _run(target, 2)
        self.assertIsInstance(outcomes[0], AttemptAnswered)

    def test_once_uses_fresh_connections(self) -> None:
        """A request that runs once never meets a closing connection."""
        target = RawTarget(WHOLE, WHOLE)
        _run(target, 2, repeatable=False)
        self.assertEqual(target.accepted, 2)

    def test_path_unchanged(self) -> None:
        """Path and query reach the target byte by byte."""
        paths = ('/a/?', '/a/?x', '/a//b', '/a/../b', '/a/%2f?q=%20+&&=')
        for path in paths:
            with self.subTest(path=path):
                target = RawTarget(WHOLE)
                _run(target, path=path)
                line = f'GET {path} HTTP/1.1\r\n'.encode()
                self.assertTrue(target.received.startswith(line))

    def test_deadline(self) -> None:
        """A silent target costs no more than the time left."""
        target = RawTarget()
        started = time.monotonic()
        outcome = _run(target, time_left_s=0.2)[0]
        self.assertLess(time.monotonic() - started, 2)
        self.assertIsInstance(outcome, AttemptLost)
