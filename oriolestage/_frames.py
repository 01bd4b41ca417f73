"""Length-prefixed messages on streams between hosts."""

import asyncio
import struct
from collections.abc import Callable

#: Length prefix: four bytes, big-endian.
LENGTH = struct.Struct('>I')
#: Maximum size of a received message, in bytes.
MAX_MESSAGE_BYTES = 1 << 24
#: Bytes of a message that are read at once if what is held is noted.
PIECE_BYTES = 65_536


def frame(payload: bytes) -> bytes:
    """Return a payload preceded by its length."""
    return LENGTH.pack(len(payload)) + payload


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one message and return its payload.

    Raises ``asyncio.IncompleteReadError`` at the end of the stream and
    ``ValueError`` for a message above `MAX_MESSAGE_BYTES`.
    """
    prefix = await reader.readexactly(LENGTH.size)
    length = LENGTH.unpack(prefix)[0]
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f'message of {length} bytes is too long')
    return await reader.readexactly(length)


async def read_noted_frame(
    reader: asyncio.StreamReader,
    max_bytes: int,
    note_held: Callable[[int], None],
) -> bytes:
    """Read one message in pieces and return its payload.

    ``note_held`` is called with the number of bytes that are held, which is 0
    in the end. Raises like :func:`read_frame`, with a limit of ``max_bytes``.
    """
    prefix = await reader.readexactly(LENGTH.size)
    left = LENGTH.unpack(prefix)[0]
    if left > max_bytes:
        raise ValueError(f'message of {left} bytes is too long')
    payload = bytearray()
    while left:
        piece = await reader.read(min(left, PIECE_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(bytes(payload), None)
        payload += piece
        left -= len(piece)
        note_held(len(payload) if left else 0)
    return bytes(payload)
