"""Tests of errors of this program while it serves a caller's request."""

import asyncio
import logging
from collections.abc import Mapping
from unittest import TestCase, mock

import uvloop

from oriolestage.entry import _caller_failures
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._ports import RequestMetadata, Response
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.served_callers import (
    BODY,
    serving,
    status_of,
)
from oriolestage.routing import _connection_ages
from oriolestage.routing._answers import Delivered, RequestResult, TargetAnswer

FAULTY_PATH = '/faulty/'
#: Identity of the request during which the error is raised.
FAULTY_ID = 'f-1'
#: Time within which everything must have an end, in seconds.
TIMEOUT_S = 5.0
ERRORS: tuple[BaseException, ...] = (
    RuntimeError('bug'),
    ValueError('bug'),
    KeyError('bug'),
    TimeoutError(),
    ConnectionResetError('bug'),
    # Of a task that the program itself has cancelled.
    asyncio.CancelledError(),
    UnicodeEncodeError('utf-8', '\udcff', 0, 1, 'bug'),
)


class FaultyRouter:
    """Raises an error for one path and answers others once it is told to."""

    def __init__(self, error: BaseException | None) -> None:
        """Create a router that raises ``error``, if there is one."""
        self._error = error
        self.released = asyncio.Event()

    async def serve(self, request: CallerRequest) -> RequestResult:
        """Answer a request or raise the error."""
        if request.path != FAULTY_PATH:
            await self.released.wait()
        elif self._error is not None:
            raise self._error
        return Delivered(TargetAnswer(200, (), BODY, ''))


class FaultyProtocol(PlatformWireProtocol):
    """Raises an error, or returns a response that cannot be written."""

    def __init__(self, step: str) -> None:
        """Create a protocol with an error in one step."""
        self._step = step

    def request_metadata(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the metadata of a request."""
        metadata = super().request_metadata(headers)
        if self._step == 'metadata' and metadata.request_id == FAULTY_ID:
            raise RuntimeError('bug')
        return metadata

    def response(self, result: RequestResult, request_id: str) -> Response:
        """Return the response to a request."""
        if self._step == 'response' and request_id == FAULTY_ID:
            raise RuntimeError('bug')
        if self._step == 'lines' and request_id == FAULTY_ID:
            return Response(200, (('X-Odd', 'a\r\nb'),), BODY)
        return super().response(result, request_id)


def _encode(path: str, request_id: str) -> bytes:
    lines = f'POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {request_id}\r\n'
    return f'{lines}Content-Length: 4\r\n\r\n'.encode() + BODY


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return an answer; raises an error if it is not complete."""
    async with asyncio.timeout(TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        return head + await reader.readexactly(int(length.split()[0]))


async def _serve_beside_error(router: FaultyRouter, step: str) -> list[int]:
    """Return the statuses of the faulty request and of two others.

    The second one is on the same connection and the third one on another, on
    which it was under way meanwhile.
    """
    protocol = FaultyProtocol(step)
    async with serving(router, wire_protocol=protocol) as address:
        other_reader, other_writer = await asyncio.open_connection(*address)
        other_writer.write(_encode('/other/', 'o-1'))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(_encode(FAULTY_PATH, FAULTY_ID))
        answers = [await _read_answer(reader)]
        router.released.set()
        writer.write(_encode('/next/', 'n-1'))
        answers.append(await _read_answer(reader))
        answers.append(await _read_answer(other_reader))
        writer.close()
        other_writer.close()
    return [status_of(answer) for answer in answers]


class CallerErrorTest(TestCase):
    """An error ends one request, with an answer that promises nothing."""

    def setUp(self) -> None:
        """Keep connections open, and leave out the lines of libraries."""
        # Just after its start, a host closes connections after one response.
        patch = mock.patch.object(_connection_ages, 'SETTLING_S', 0)
        patch.start()
        self.addCleanup(patch.stop)
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_router(self) -> None:
        """Guards against a cut connection, a 500 or a 504 for an error."""
        for error in ERRORS:
            with self.subTest(error=repr(error)):
                self._check(error, '')

    def test_wire_protocol(self) -> None:
        """Guards against a cut connection for what cannot be written."""
        for step in ('metadata', 'response', 'lines'):
            with self.subTest(step=step):
                self._check(None, step)

    def _check(self, error: BaseException | None, step: str) -> None:
        async def run() -> list[int]:
            return await _serve_beside_error(FaultyRouter(error), step)

        with mock.patch.object(_caller_failures, 'log_event') as log:
            self.assertEqual(uvloop.run(run()), [502, 200, 200])
        lines = [call.args for call in log.call_args_list]
        self.assertEqual([event for event, _ in lines], ['request_error'])
        self.assertEqual(
            lines[0][1]['id'], '' if step == 'metadata' else FAULTY_ID
        )
