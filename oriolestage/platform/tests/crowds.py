"""Clients that hold what a host has to keep for them, many at once."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import struct
import zlib
from collections.abc import Callable, Iterable, Iterator

from oriolestage.platform.tests.stopped_host import HOST_NAME

#: Longest legal body and head, in bytes.
BODY_BYTES = 262_144
HEAD_BYTES = 16_384
#: A body far over the limit, in bytes, and the pieces that it is sent in.
LONG_BODY_BYTES = 64_000_000
PIECE_BYTES = 65_536
#: Connections of a crowd whose members each hold a body or an answer, and of
#: one whose members hold hardly anything.
CONNECTIONS = 250
IDLE_CONNECTIONS = 900
#: Time for which a crowd holds what it has, in seconds.
CROWD_S = 2.0
#: Pause before a client whose connection was closed comes back, in seconds.
RETURN_PAUSE_S = 0.2
#: Pause between the small pieces of a slow client, in seconds.
SLOW_PAUSE_S = 0.02
#: Receive buffer of a client that does not read, in bytes.
RECEIVE_BUFFER = 4096
#: Requests that a client sends without reading an answer, and the pieces that
#: a body is cut into.
PIPELINED = 400
SMALL_PIECES = 500
#: Longest message between hosts, in bytes.
MESSAGE_BYTES = 1 << 24

Pieces = Iterable[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class CrowdKind:
    """What each client of a crowd sends on each of its connections."""

    #: Returns the pieces to send for a path.
    pieces: Callable[[str], Pieces]
    connections: int = CONNECTIONS
    pause_s: float = 0
    #: Bytes that a client reads after each pause; 0 to read nothing.
    reads: int = 0


class Crowd:
    """Clients that come back when their connection is closed."""

    def __init__(self, address: tuple[str, int], kind: CrowdKind) -> None:
        """Create a crowd without connections."""
        self._address = address
        self._kind = kind
        self._sockets: list[socket.socket] = []

    async def run(self, path: str) -> None:
        """Connect, send everything to a path and hold the connections."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_S), asyncio.TaskGroup() as group:
                for _ in range(self._kind.connections):
                    group.create_task(self._return_always(path))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()

    async def _return_always(self, path: str) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._hold(path)
            await asyncio.sleep(RETURN_PAUSE_S)

    async def _hold(self, path: str) -> None:
        """Return when the connection is closed by the host."""
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        await loop.sock_connect(connection, self._address)
        for piece in self._kind.pieces(path):
            await loop.sock_sendall(connection, piece)
            if self._kind.pause_s:
                await asyncio.sleep(self._kind.pause_s)
        if not self._kind.reads:
            await asyncio.Event().wait()
        while await loop.sock_recv(connection, self._kind.reads):
            await asyncio.sleep(self._kind.pause_s)
        connection.close()


def _head(path: str, fields: str, method: str = 'POST') -> bytes:
    text = f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n{fields}\r\n'
    return text.encode()


def _with_length(path: str, length: int) -> bytes:
    return _head(path, f'Content-Length: {length}\r\n')


def _short_body(path: str) -> Pieces:
    body = bytes(BODY_BYTES - 1)
    return (_with_length(path, BODY_BYTES) + body,)


def _pieces_of_body(path: str) -> Iterator[bytes]:
    yield _with_length(path, BODY_BYTES)
    yield from itertools.repeat(
        bytes(BODY_BYTES // SMALL_PIECES), SMALL_PIECES - 1
    )


def _chunks(path: str) -> Iterator[bytes]:
    """Yield a chunked body without its last chunk, in chunks of a byte."""
    yield _head(path, 'Transfer-Encoding: chunked\r\n')
    chunk = b'1\r\nx\r\n'
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield chunk * (PIECE_BYTES - 1)


def _long_body(path: str) -> Iterator[bytes]:
    yield _with_length(path, LONG_BODY_BYTES)
    yield from itertools.repeat(
        bytes(PIECE_BYTES), LONG_BODY_BYTES // PIECE_BYTES
    )


def _long_chunks(path: str) -> Iterator[bytes]:
    yield _head(path, 'Transfer-Encoding: chunked\r\n')
    chunk = b'%x\r\n' % PIECE_BYTES + bytes(PIECE_BYTES) + b'\r\n'
    yield from itertools.repeat(chunk, LONG_BODY_BYTES // PIECE_BYTES)


def _fields(path: str) -> bytes:
    """Return a head of legal size with as many fields as it can hold."""
    line = 'a:\r\n'
    empty = len(_head(path, ''))
    return _head(path, line * ((HEAD_BYTES - empty) // len(line)), 'GET')


def _open_head(path: str) -> Pieces:
    return (_fields(path)[:-2],)


def _many_heads(path: str) -> Pieces:
    return (_fields(path) * (PIPELINED // 4),)


def _pipelined(path: str) -> Pieces:
    request = _head(path, '', 'GET')
    return (request * PIPELINED,)


def _one_request(path: str) -> Pieces:
    return (_head(path, '', 'GET'),)


def _pipelined_bodies(path: str) -> Pieces:
    body_bytes = BODY_BYTES // 4
    request = _with_length(path, body_bytes) + bytes(body_bytes)
    return itertools.repeat(request, 8)


def _slow_head(path: str) -> Iterator[bytes]:
    yield _fields(path)[: HEAD_BYTES // 2]
    yield from itertools.repeat(b'a:\r\n', PIPELINED)


def _stopped_head(path: str) -> Pieces:
    return (_head(path, '', 'GET')[:-2],)


def _silence(path: str) -> Pieces:
    return ()


#: What clients send at an address that serves HTTP, by name.
HTTP_CROWDS = {  # noqa: WPS407
    'short_bodies': CrowdKind(_short_body),
    'small_pieces': CrowdKind(_pieces_of_body, pause_s=0.001),
    'chunks': CrowdKind(_chunks),
    'long_bodies': CrowdKind(_long_body),
    'long_chunks': CrowdKind(_long_chunks),
    'open_heads': CrowdKind(_open_head),
    'many_fields': CrowdKind(_many_heads),
    'pipelined': CrowdKind(_pipelined),
    'pipelined_bodies': CrowdKind(_pipelined_bodies),
    'slow_readers': CrowdKind(_pipelined, pause_s=SLOW_PAUSE_S, reads=16),
    'slow_heads': CrowdKind(_slow_head, pause_s=SLOW_PAUSE_S),
    'stopped_heads': CrowdKind(
        _stopped_head, connections=IDLE_CONNECTIONS, reads=1
    ),
    'asking': CrowdKind(_one_request, reads=1),
    'silent': CrowdKind(_silence, connections=IDLE_CONNECTIONS, reads=1),
}


def _short_message(_: str) -> Iterator[bytes]:
    """Yield a message of the longest size without its last byte."""
    yield struct.pack('>I', MESSAGE_BYTES)
    yield from itertools.repeat(
        bytes(PIECE_BYTES), MESSAGE_BYTES // PIECE_BYTES - 1
    )


def _compressed_message(_: str) -> Pieces:
    """Return a message that is much longer than its compressed form."""
    compressor = zlib.compressobj(wbits=-12)
    block = compressor.compress(bytes(MESSAGE_BYTES - PIECE_BYTES))
    block += compressor.flush(zlib.Z_SYNC_FLUSH)
    return (struct.pack('>I', len(block) - 4) + block[:-4],)


#: What clients send at the address for other hosts, by name.
PEER_CROWDS = {  # noqa: WPS407
    'short_messages': CrowdKind(_short_message, connections=40),
    'compressed_messages': CrowdKind(_compressed_message, connections=40),
    'silent_streams': CrowdKind(
        _silence, connections=IDLE_CONNECTIONS, reads=1
    ),
}
