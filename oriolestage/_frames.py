"""Length-prefixed messages on streams between hosts."""

import asyncio
import struct

#: Length prefix: four bytes, big-endian.
LENGTH = struct.Struct('>I')
#: Largest message accepted, in bytes.
MAX_MESSAGE_BYTES = 1 << 24


def frame(payload: bytes) -> bytes:
    """Give a payload with its length before it."""
    return LENGTH.pack(len(payload)) + payload


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one payload.

    Raises ``asyncio.IncompleteReadError`` at the end of the stream and
    ``ValueError`` for a message that is too long.
    """
    prefix = await reader.readexactly(LENGTH.size)
    length = LENGTH.unpack(prefix)[0]
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f'message of {length} bytes')
    return await reader.readexactly(length)
