"""Tests of the compressed framing of messages on a stream."""

import asyncio
import unittest
import zlib

from oriolestage._frames import MAX_MESSAGE_BYTES, frame
from oriolestage.entry._compressed_frames import (
    WINDOW_BITS,
    FrameReader,
    FrameWriter,
)

MESSAGES = (b'', b'a', b'host=search.example' * 9, bytes(range(256)) * 40)


class _WrittenStream:
    """Test double of a ``StreamWriter`` that collects the written bytes."""

    def __init__(self) -> None:
        self.written = b''

    def write(self, content: bytes) -> None:
        self.written += content


def _write(*messages: bytes) -> bytes:
    stream = _WrittenStream()
    frames = FrameWriter(stream)  # type: ignore[arg-type]
    for message in messages:
        frames.write(message)
    return stream.written


async def _read(content: bytes, count: int) -> list[bytes]:
    reader = asyncio.StreamReader()
    reader.feed_data(content)
    reader.feed_eof()
    frames = FrameReader(reader)
    return [await frames.read() for _ in range(count)]


class CompressedFramesTest(unittest.IsolatedAsyncioTestCase):
    """Messages survive a round trip, and repeated content compresses well."""

    async def test_round_trip(self) -> None:
        """All messages are read back unchanged and in order."""
        messages = await _read(_write(*MESSAGES), len(MESSAGES))
        self.assertEqual(messages, list(MESSAGES))

    def test_repeated_content(self) -> None:
        """A message like the previous one takes under 25 % of its size."""
        first = b'host=search.example accept=*/* user-agent=sdk-client/1.9.3 '
        second = first + b'7'
        added = len(_write(first, second)) - len(_write(first))
        self.assertLess(added, len(second) / 4)

    async def test_invalid_message(self) -> None:
        """Invalid DEFLATE data and oversized messages raise ``ValueError``."""
        compressor = zlib.compressobj(wbits=WINDOW_BITS)
        bomb = compressor.compress(b'0' * (MAX_MESSAGE_BYTES + 1))
        bomb += compressor.flush(zlib.Z_SYNC_FLUSH)
        for name, content in (
            ('no message', frame(b'\xff\xff\xff')),
            ('too long', frame(bomb)),
        ):
            with self.subTest(name), self.assertRaises(ValueError):
                await _read(content, 1)

    async def test_truncated_message(self) -> None:
        """A message that is cut short raises ``IncompleteReadError``."""
        content = _write(b'whole')
        with self.assertRaises(asyncio.IncompleteReadError):
            await _read(content[:-1], 1)
