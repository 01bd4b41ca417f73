"""A target that sends prepared bytes, and calls of it."""

import asyncio
import contextlib
import socket
import struct
import threading
import time
from typing import Protocol

import uvloop

from oriolestage.entry._target_client import TargetCall, TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.routing._answers import AttemptOutcome

HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n'
COMPLETE_ANSWER = HEAD + b'Content-Length: 4\r\n\r\nbody'
#: Value of SO_LINGER with which closing a socket resets the connection.
LINGER_ZERO = struct.pack('ii', 1, 0)


class RecordingObserver:
    """Collects what targets state, in order."""

    def __init__(self) -> None:
        """Start without statements."""
        self.limits: list[float | None] = []
        #: Identities of targets that leave, one for each response.
        self.leaving: list[str] = []
        #: Times for which targets want no request, in seconds.
        self.rests: list[float] = []

    def record_rate_limit(
        self, identity: str, limit: float | None, now: float
    ) -> None:
        """Collect a rate limit in requests/s."""
        self.limits.append(limit)

    def record_leaving(self, identity: str) -> None:
        """Collect a target that leaves."""
        self.leaving.append(identity)

    def record_rest(self, identity: str, rest_s: float, now: float) -> None:
        """Collect a time of rest in seconds."""
        self.rests.append(rest_s)


class ListeningTarget(Protocol):
    """A target of a test."""

    #: Address at which it listens, as ``ip:port``.
    address: str

    def close(self) -> None:
        """Stop listening."""


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
                answer = self._answers.pop(0)
                if not answer and not self._reset:
                    return
                connection.sendall(answer)
                if self._reset:
                    connection.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        LINGER_ZERO,
                    )
                    return


def make_call(**changes: object) -> TargetCall:
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


def run_calls(
    target: ListeningTarget,
    calls: int = 1,
    *,
    block_s: float = 0,
    pause_s: float = 0,
    observer: RecordingObserver | None = None,
    **changes: object,
) -> list[AttemptOutcome]:
    """Send calls one after another on uvloop, as in production.

    With ``block_s``, the event loop is blocked for that time in each call.
    """

    async def send_all() -> list[AttemptOutcome]:
        client = TargetClient(
            PlatformWireProtocol(), observer or RecordingObserver()
        )
        outcomes: list[AttemptOutcome] = []
        try:
            for _ in range(calls):
                send_task = asyncio.create_task(
                    client.send(
                        make_call(**{'address': target.address, **changes})
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
