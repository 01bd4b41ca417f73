"""Streams between hosts that no sound host sends."""

import asyncio
import struct
import zlib
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from oriolestage._frames import MAX_MESSAGE_BYTES, frame
from oriolestage.entry._compressed_frames import (
    BLOCK_END,
    MEMORY_LEVEL,
    WINDOW_BITS,
    FrameWriter,
)
from oriolestage.entry._peer_messages import (
    GatherReply,
    GatherRequest,
    RelayAnswered,
    RelayRequest,
    ToPeer,
    encode,
)

#: Levels of nesting that no decoder follows.
DEEP_LEVELS = 100_000
#: One more than the largest number of 64 bits.
BEYOND_64_BITS = 1 << 64


class WrittenStream:
    """Test double of a ``StreamWriter`` that collects the written bytes."""

    def __init__(self) -> None:
        """Start without bytes."""
        self.written = b''

    def write(self, content: bytes) -> None:
        """Collect bytes."""
        self.written += content


def frames_of(payloads: Iterable[bytes]) -> list[bytes]:
    """Return the frames of the messages of one stream."""
    stream = WrittenStream()
    writer = FrameWriter(stream)  # type: ignore[arg-type]
    frames: list[bytes] = []
    for payload in payloads:
        writer.write(payload)
        frames.append(stream.written)
        stream.written = b''
    return frames


def _bomb() -> bytes:
    compressor = zlib.compressobj(
        method=zlib.DEFLATED, wbits=WINDOW_BITS, memLevel=MEMORY_LEVEL
    )
    block = compressor.compress(bytes(MAX_MESSAGE_BYTES + 1))
    return block + compressor.flush(zlib.Z_SYNC_FLUSH)


def _message(*content: object) -> bytes:
    return frames_of([msgspec.msgpack.encode(content)])[0]


def _deep(head: bytes, level: bytes) -> bytes:
    return frames_of([head + level * DEEP_LEVELS + b'\xc0'])[0]


#: Bytes of a stream after which the reader can follow no further.
BROKEN_STREAMS = (
    ('empty frame', frame(b'')),
    ('frame over the maximum', struct.pack('>I', MAX_MESSAGE_BYTES + 1)),
    ('frame of 2^32-1 bytes', b'\xff\xff\xff\xff' + b'x' * 64),
    ('no DEFLATE', frame(b'\xff' * 16)),
    ('text', b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'),
    ('end of the DEFLATE stream', frame(zlib.compress(b'x', wbits=-12))),
    ('DEFLATE bomb', frame(_bomb().removesuffix(BLOCK_END))),
    ('no MessagePack', frames_of([b'\xc1'])[0]),
    ('MessagePack cut off', frames_of([b'\x92\xa4pin'])[0]),
    ('bytes after a message', frames_of([b'\x91\xa4ping\x00'])[0]),
    ('another type', _message('reply', 'one', 2)),
    ('null', frames_of([b'\xc0'])[0]),
    ('unknown kind', _message('newer', 1, 2)),
    ('no kind', _message()),
    ('nested arrays', _deep(b'', b'\x91')),
    ('nested arrays in a ping', _deep(b'\x92\xa4ping', b'\x91')),
    (
        'nested arrays in a pong',
        _deep(b'\x96\xa4pong\x01\x01\xc2\xc0', b'\x91'),
    ),
    ('nested maps in a ping', _deep(b'\x92\xa4ping', b'\x81\xa1k')),
    ('strings that are no UTF-8', frames_of([b'\x91\xa4\xff\xff\xff\xff'])[0]),
    (
        'number over 64 bits',
        _message('pong', msgspec.Raw(b'\xcf' + b'\xff' * 8), 1.5),
    ),
    ('number as text', _message('pong', str(BEYOND_64_BITS), 1)),
    ('infinite number', _message('pong', float('inf'), float('nan'))),
)


def reply_to(message: ToPeer) -> bytes:
    """Return the reply to a request; empty for other messages."""
    match message:
        case GatherRequest(number=number, request_id=name):
            return encode(
                GatherReply(
                    number=number,
                    signatures={'shard-0': name},
                    body=b'',
                    bodies={},
                    failed=(),
                    final=True,
                    work_s=0.01,
                    revision=1,
                    age_ms=0,
                )
            )
        case RelayRequest(number=number, request_id=name):
            return encode(RelayAnswered(number, 200, (), name.encode(), 's'))
    return b''


async def start_host(
    serve: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> tuple[asyncio.Server, str]:
    """Start a host on loopback; return its server and address."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    return server, f'127.0.0.1:{port}'
