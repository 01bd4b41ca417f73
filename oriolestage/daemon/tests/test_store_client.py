"""Tests of calls to a store that answers wrongly."""

import asyncio
import contextlib
import unittest

from oriolestage.core import (
    StoreMismatch,
    StoreOutcome,
    StoreUnreachable,
    StoreWrite,
    StoreWritten,
)
from oriolestage.daemon._events import Event, StoreCallEnded
from oriolestage.daemon._store_client import StoreClient

WRITTEN = b'HTTP/1.1 200 OK\r\nX-Version: 5\r\nContent-Length: 0\r\n\r\n'
CONFLICT = b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
WITHOUT_VERSION = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
#: Time until the second copy of an answer, and a pause that includes it, in
#: seconds.
COPY_DELAY_S = 0.02
PAUSE_S = 0.1
#: Time within which a call has to end, in seconds.
TIMEOUT_S = 2.0


class ScriptedStore:
    """Answers the calls of all connections in order, the first one twice."""

    def __init__(self, *answers: bytes) -> None:
        """Create a store that gives ``answers``."""
        self._answers = list(answers)
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
        first = len(self._answers) > 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                answer = self._answers.pop(0)
                writer.write(answer)
                if first:
                    first = False
                    await asyncio.sleep(COPY_DELAY_S)
                    writer.write(answer)
        writer.close()


async def _write(*answers: bytes) -> list[StoreOutcome]:
    """Write a key once for each answer; return the outcomes."""
    store = ScriptedStore(*answers)
    address = await store.start()
    inbox: asyncio.Queue[Event] = asyncio.Queue()
    client = StoreClient(address, address, '127.0.0.1', TIMEOUT_S, inbox)
    outcomes: list[StoreOutcome] = []
    for operation, _ in enumerate(answers):
        client.call(StoreWrite(operation, 'key', expected=0, content=b''))
        async with asyncio.timeout(2 * TIMEOUT_S):
            ended = await inbox.get()
        assert isinstance(ended, StoreCallEnded)
        outcomes.append(ended.outcome)
        await asyncio.sleep(PAUSE_S)
    await client.close()
    store.close()
    return outcomes


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """An outcome says what the store did for that call."""

    async def test_late_copy(self) -> None:
        """Guards against a write that is refused and counts as accepted.

        It got the second copy of the answer to the write before, so that two
        different changes were accepted as the same version.
        """
        outcomes = await _write(WRITTEN, CONFLICT)
        self.assertEqual(outcomes, [StoreWritten(5), StoreMismatch()])

    async def test_answer_without_version(self) -> None:
        """A malformed answer ends the call; it may have been carried out."""
        outcomes = await _write(WITHOUT_VERSION)
        self.assertEqual(outcomes, [StoreUnreachable(sent=True)])
