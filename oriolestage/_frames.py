"""Length-prefixed messages on streams between hosts."""

import asyncio
import struct

#: Length prefix: four bytes, big-endian.
LENGTH = struct.Struct('>I')
#: Maximum size of a received message, in bytes.
MAX_MESSAGE_BYTES = 1 << 24


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
