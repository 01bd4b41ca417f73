"""Tests of calls to a store that answers wrongly."""

import asyncio
import contextlib
from collections.abc import Sequence
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.core import (
    ReadHostList,
    StoreFound,
    StoreMismatch,
    StoreOutcome,
    StoreRead,
    StoreUnreachable,
    StoreWatch,
    StoreWrite,
    StoreWritten,
)
from oriolestage.daemon._events import Event, StoreCallEnded
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._store_client import StoreClient, StoreEffect

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
    writes = [
        StoreWrite(operation, 'key', expected=0, content=b'')
        for operation, _ in enumerate(answers)
    ]
    return await _call(writes, answers)


async def _call(
    effects: Sequence[StoreEffect], answers: tuple[bytes, ...]
) -> list[StoreOutcome]:
    """Execute calls that are answered in order; return the outcomes."""
    store = ScriptedStore(*answers)
    address = await store.start()
    inbox: asyncio.Queue[Event] = asyncio.Queue()
    client = StoreClient(
        address, address, '127.0.0.1', TIMEOUT_S, inbox, FailureLog()
    )
    outcomes: list[StoreOutcome] = []
    for effect in effects:
        client.call(effect)
        async with asyncio.timeout(2 * TIMEOUT_S):
            ended = await inbox.get()
        assert isinstance(ended, StoreCallEnded)
        outcomes.append(ended.outcome)
        await asyncio.sleep(PAUSE_S)
    await client.close()
    store.close()
    return outcomes


def _with_version(version: str) -> bytes:
    """Build an answer with a value and a version."""
    head = f'HTTP/1.1 200 OK\r\nX-Version: {version}\r\n'
    return head.encode() + b'Content-Length: 2\r\n\r\n{}'


class StoreClientTest(IsolatedAsyncioTestCase):
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

    async def test_malformed_versions(self) -> None:
        """Guards against a version that is asked for again at once.

        A watch for a version after a negative one is answered at once.
        """
        malformed = ('-5', '1_0', '\u00b2', '+5', '', '0', '9' * 5000, '1e3')
        lost = StoreUnreachable(sent=True)
        for version in malformed:
            answer = _with_version(version)
            for effect in (
                StoreRead(1, 'key'),
                StoreWatch(1, 'key', 0),
                StoreWrite(1, 'key', 0, b''),
            ):
                with self.subTest(version=version[:9], call=type(effect)):
                    outcomes = await _call([effect], (answer,))
                    self.assertEqual(outcomes, [lost])

    async def test_host_list_has_no_version(self) -> None:
        """The host list is read without a version."""
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
        outcomes = await _call([ReadHostList(1)], (answer,))
        self.assertEqual(outcomes, [StoreFound(b'{}', 0)])

    async def test_unexpected_error(self) -> None:
        """Guards against a call without an outcome.

        The core waits for it, and never watches the store again.
        """
        for error in (KeyError('call'), RuntimeError('call'), OSError('call')):
            with self.subTest(type(error).__name__):
                with mock.patch.object(StoreClient, '_call', side_effect=error):
                    outcomes = await _call([StoreRead(1, 'key')], ())
                self.assertEqual(outcomes, [StoreUnreachable(sent=True)])
