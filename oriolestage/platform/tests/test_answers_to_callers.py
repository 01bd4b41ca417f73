"""Tests of the bytes that a caller gets as an answer."""

import asyncio
import logging
import socket
import unittest

import uvloop

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._caller_server import CallerServer
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.served_callers import BODY, FIELDS, forward
from oriolestage.routing._answers import (
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    Refused,
    RequestResult,
    TargetAnswer,
)
from oriolestage.routing._rules import CallerLimits

#: Time after which a caller gives up, in seconds.
CALLER_TIMEOUT_S = 5.0
#: Statuses of answers without a body.
EMPTY_STATUSES = frozenset((204, 304))
#: Fields of targets that say something about their own connection.
TARGET_HEADERS = (
    ('Server-Stamp', 's'),
    ('Content-Length', '99'),
    ('content-length', '3'),
    ('Transfer-Encoding', 'chunked'),
    ('Connection', 'close, X-Hop'),
    ('Keep-Alive', 'timeout=1'),
    ('Trailer', 'X'),
    ('Upgrade', 'h2c'),
    ('X-Hop', '1'),
)
#: Fields of an answer that a caller must not get from a target.
HOP_HEADERS = frozenset(
    ('transfer-encoding', 'keep-alive', 'trailer', 'upgrade', 'x-hop')
)
LENGTHS = frozenset(('content-length',))


def _delivered(status: int, body: bytes = b'body') -> RequestResult:
    return Delivered(TargetAnswer(status, TARGET_HEADERS, body, 's'))


RESULTS: tuple[RequestResult | Exception, ...] = (
    *(_delivered(status) for status in (200, 201, 404, 500, 503, 599, 999)),
    *(_delivered(status, b'') for status in (200, 204, 205, 304)),
    # A faulty target may send a body where there is none.
    *(_delivered(status) for status in EMPTY_STATUSES),
    _delivered(200, bytes(1 << 20)),
    Gathered(b'r' * 16, ('s-1', 's-2'), 1),
    Gathered(b'', ('s-1',), 0),
    Refused(GiveUpReason.NO_ROOM, 0.5),
    Refused(GiveUpReason.UNKNOWN_ROUTE, 0),
    Failed(GiveUpReason.LOST),
    Failed(GiveUpReason.DEADLINE),
    RuntimeError('bug'),
)


class ScriptedRouter:
    """Ends each request with the same result."""

    def __init__(self, result: RequestResult | Exception) -> None:
        """Create a router of this result; an exception is raised."""
        self._result = result

    async def serve(self, request: CallerRequest) -> RequestResult:
        """Return the result of a request."""
        if isinstance(self._result, Exception):
            raise self._result
        return self._result


async def _ask(result: RequestResult | Exception, request: bytes) -> bytes:
    """Return all bytes that a caller gets until the end of the stream."""
    server = CallerServer(
        ScriptedRouter(result),  # type: ignore[arg-type]
        PlatformWireProtocol(),
        CallerLimits,
    )
    server.start_draining()
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    await server.start(listener)
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    writer.write(request)
    async with asyncio.timeout(CALLER_TIMEOUT_S):
        received = await reader.read()
    writer.close()
    await server.close()
    return received


def _parse(received: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return the status, the fields in lower case and what follows them."""
    head, _, rest = received.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    fields = [line.partition(': ') for line in lines[1:]]
    return (
        int(lines[0].split()[1]),
        [(name.lower(), text) for name, _, text in fields],
        rest,
    )


class AnswerFramingTest(unittest.TestCase):
    """An answer that ends early does not look whole to a caller."""

    def setUp(self) -> None:
        """Leave out the tracebacks of the scripted errors."""
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_length(self) -> None:
        """Guards against answers whose end only the connection tells.

        Each one states the length of its body once, whatever the target's
        fields say, and has just that body.
        """
        for result in RESULTS:
            for method in ('GET', 'HEAD', 'POST'):
                request = f'{method} / HTTP/1.1\r\nHost: h\r\n\r\n'.encode()
                with self.subTest(result=repr(result)[:60], method=method):
                    self._check(method, uvloop.run(_ask(result, request)))

    def test_length_for_head(self) -> None:
        """Guards against a length other than the target's for HEAD.

        A target that contradicts itself states none.
        """
        stamp = ('Server-Stamp', 's')
        for lengths, expected in (
            (('1234',), ['1234']),
            (('0',), ['0']),
            (('1234', '1234'), ['1234']),
            (('99', '3'), []),
            (('+4',), []),
            (('\u0663',), []),
            ((), []),
        ):
            fields = [('Content-Length', text) for text in lengths]
            result = Delivered(TargetAnswer(200, (stamp, *fields), b'', 's'))
            with self.subTest(lengths=lengths):
                request = b'HEAD / HTTP/1.1\r\nHost: h\r\n\r\n'
                received = uvloop.run(_ask(result, request))
                status, found, body = _parse(received)
                self.assertEqual((status, body), (200, b''))
                self.assertIn(('server-stamp', 's'), found)
                stated = [text for name, text in found if name in LENGTHS]
                self.assertEqual(stated, expected)

    def test_forwarded_head(self) -> None:
        """HEAD gets the target's length from end to end."""
        request = b'HEAD /a/ HTTP/1.1\r\n' + FIELDS
        received, _ = uvloop.run(
            forward(request + b'Connection: close\r\n\r\n')
        )
        status, found, body = _parse(received)
        self.assertEqual((status, body), (200, b''))
        self.assertIn(('content-length', str(len(BODY))), found)

    def _check(self, method: str, received: bytes) -> None:
        status, fields, body = _parse(received)
        names = [name for name, _ in fields]
        self.assertTrue(HOP_HEADERS.isdisjoint(names), names)
        lengths = [text for name, text in fields if name == 'content-length']
        if status in EMPTY_STATUSES:
            self.assertEqual((lengths, body), ([], b''))
        elif method == 'HEAD':
            self.assertLessEqual(len(lengths), 1)
            self.assertEqual(body, b'')
        else:
            self.assertEqual(lengths, [str(len(body))])
        connection = [text for name, text in fields if name == 'connection']
        self.assertEqual(connection, ['close'])
