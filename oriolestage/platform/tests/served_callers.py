"""A server for callers with a target behind it, and callers of raw bytes."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable, Sequence

from oriolestage.entry._caller_connections import UNGUARDED, ConnectionGuard
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._caller_server import CallerServer
from oriolestage.entry._target_client import TargetCall, TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.target_calls import RecordingObserver
from oriolestage.routing._answers import (
    AttemptAnswered,
    Delivered,
    Failed,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._crash_detector import fingerprint_of
from oriolestage.routing._rules import CallerLimits

WIRE_PROTOCOL = PlatformWireProtocol()
LIMITS = CallerLimits(header_timeout_s=0.2, idle_timeout_s=0.4)
#: Time after which a caller gives up, in seconds.
CALLER_TIMEOUT_S = 10.0
#: Pause between the parts of a request, so that they are read one by one, in
#: seconds.
PART_PAUSE_S = 0.01
#: Time that a target gets for a request, in seconds.
TARGET_TIMEOUT_S = 5.0
BODY = b'body'
KNOWN_HOST = 'h.example'
#: Fields of a sound request.
FIELDS = b'Host: h.example\r\nAttempt-Id: a\r\nDeadline-Ms: 1000\r\n'


class EchoingTarget:
    """Records the bytes of requests and answers each with its identity."""

    def __init__(self) -> None:
        """Create a target that does not listen yet."""
        #: Head and body of each request.
        self.received: list[tuple[bytes, bytes]] = []
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = parse_fields(head)
                size = int(fields.get(b'content-length', b'0'))
                body = await reader.readexactly(size)
                self.received.append((head, body))
                identity = fields.get(b'attempt-id', b'')
                answer = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n'
                answer += b'Attempt-Id: %s\r\n' % identity
                answer += b'Content-Length: %d\r\n\r\n' % len(BODY)
                if not head.startswith(b'HEAD '):
                    answer += BODY
                writer.write(answer)
        writer.close()


class ForwardingRouter:
    """Sends each request for the known host to one target."""

    def __init__(self, address: str) -> None:
        """Create a router whose target has an address, as ``ip:port``."""
        self._address = address
        self._client = TargetClient(PlatformWireProtocol(), RecordingObserver())

    def close(self) -> None:
        """Close the connections to the target."""
        self._client.close()

    async def serve(self, request: CallerRequest) -> RequestResult:
        """Send a request once and return what came of it."""
        if request.host != KNOWN_HOST:
            return Refused(GiveUpReason.UNKNOWN_ROUTE, 0)
        outcome = await self._client.send(
            TargetCall(
                request_id=request.metadata.request_id,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                repeatable=True,
                target='i-1',
                address=self._address,
                time_left_s=TARGET_TIMEOUT_S,
                fingerprint=fingerprint_of('', '', '', b''),
            )
        )
        if isinstance(outcome, AttemptAnswered):
            return Delivered(outcome.answer)
        return Failed(GiveUpReason.LOST)


def parse_fields(head: bytes) -> dict[bytes, bytes]:
    """Return the fields of a head by lower-case name."""
    lines = head.split(b'\r\n')[1:]
    fields = [line.partition(b':') for line in lines if line]
    return {name.lower(): text.strip() for name, _, text in fields}


@contextlib.asynccontextmanager
async def serving(
    router: object,
    limits: Callable[[], CallerLimits] = CallerLimits,
    wire_protocol: PlatformWireProtocol = WIRE_PROTOCOL,
    guard: ConnectionGuard = UNGUARDED,
) -> AsyncIterator[tuple[str, int]]:
    """Run a server with a router; its address is the value.

    ``limits`` returns those of the next connection; ``guard`` bounds what all
    of them take.
    """
    server = CallerServer(
        router,  # type: ignore[arg-type]
        wire_protocol,
        limits,
        guard,
    )
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    await server.start(listener)
    try:
        yield listener.getsockname()
    finally:
        await server.close()


async def ask(address: tuple[str, int], parts: Sequence[bytes]) -> bytes:
    """Send the parts of requests; return all bytes until the stream ends.

    Raises ``TimeoutError`` if it does not end.
    """
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.closing(writer):
        # An answer may come, and the connection be closed, in between.
        answers = asyncio.create_task(read_all(reader))
        for part in parts:
            writer.write(part)
            await asyncio.sleep(PART_PAUSE_S if len(parts) > 1 else 0)
        return await answers


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Return all bytes until a stream ends, also those before a reset."""
    received = b''
    async with asyncio.timeout(CALLER_TIMEOUT_S):
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(1 << 16):
                received += chunk
    return received


async def forward(
    *parts: bytes,
) -> tuple[bytes, list[tuple[bytes, bytes]]]:
    """Return what a caller of these bytes gets, and what the target got."""
    target = EchoingTarget()
    await target.start()
    router = ForwardingRouter(target.address)
    try:
        async with serving(router, lambda: LIMITS) as address:
            received = await ask(address, parts)
    finally:
        router.close()
        target.close()
    return received, target.received


def status_of(received: bytes) -> int:
    """Return the status of the first answer; 0 if there is none."""
    words = received.split(b' ', 2)
    return int(words[1]) if len(words) > 1 else 0
