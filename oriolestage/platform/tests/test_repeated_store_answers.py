"""Tests of answers of the store that arrive twice."""

import asyncio
import contextlib
import json
import unittest

from oriolestage.entry._ports import StorePosition
from oriolestage.platform._store import StoreClient

#: Times from an answer to its second copy, in seconds.
DELAYS_S = (0, 0.02, 0.05)
#: Pause after the call whose answer is repeated, in seconds.
PAUSE_S = 0.15
CALLS = 4


def _encode(content: object) -> bytes:
    body = json.dumps(content).encode()
    length = f'Content-Length: {len(body)}'
    return f'HTTP/1.1 200 OK\r\n{length}\r\n\r\n'.encode() + body


class RepeatingStore:
    """Answers each watch with a new revision, and the first one twice."""

    def __init__(self, delay_s: float) -> None:
        """Create a store that repeats its first answer after ``delay_s``."""
        self._delay_s = delay_s
        self._answered = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on loopback; return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self._answered += 1
                first = self._answered == 1
                answer = _encode(
                    {'events': [], 'storeRevision': 100 + self._answered}
                )
                writer.write(answer)
                if first:
                    await asyncio.sleep(self._delay_s)
                    writer.write(answer)
        writer.close()


class RepeatedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The second copy of an answer is not taken for another call's answer."""

    async def test_late_copy(self) -> None:
        """Guards against answers that are each one call behind.

        The copy arrived on an idle connection, and the next call got it.
        """
        for delay_s in DELAYS_S:
            store = RepeatingStore(delay_s)
            client = StoreClient(await store.start())
            revisions: list[int] = []
            for number in range(CALLS):
                changes = await client.changes_after(StorePosition(None, 1), 0)
                revisions.append(changes.position.revision)
                await asyncio.sleep(0 if number else PAUSE_S)
            await client.close()
            store.close()
            with self.subTest(delay_s=delay_s):
                self.assertEqual(revisions, [101, 102, 103, 104])
