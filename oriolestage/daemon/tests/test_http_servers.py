"""Tests of invalid requests to the HTTP servers of the daemon."""

import asyncio
import json
from unittest import IsolatedAsyncioTestCase, mock

import msgspec

from oriolestage.core import RemoveRoute
from oriolestage.daemon.tests.http_servers import running_servers
from oriolestage.views import ChangeRequest

#: Lists nested deeper than any recursion limit of a decoder.
DEEP_LISTS = b'[' * 100_000 + b']' * 100_000
#: Time in which a server reads what was sent, in seconds.
READ_PAUSE_S = 0.1
SEARCH = b'POST /v1/requests/search'
CHANGE = b'POST /v1/changes'


def _change_body() -> bytes:
    request = ChangeRequest(RemoveRoute('search'), 'tests', 'command-1')
    return msgspec.json.encode(request)


class InvalidRequestTest(IsolatedAsyncioTestCase):
    """An invalid request is refused with status 400 and a reason."""

    async def test_operator_requests(self) -> None:
        """Guards against status 500 for what the operator sent."""
        good = _change_body()
        deep_field = good.replace(b'"search"', b'"search","x":%s' % DEEP_LISTS)
        cases = (
            ('superscript', b'GET /v1/in-force/%C2%B2', b''),
            ('other script', b'GET /v1/in-force/%D9%A3', b''),
            ('many digits', b'GET /v1/in-force/' + b'9' * 5000, b''),
            ('not UTF-8', b'GET /v1/in-force/%ff', b''),
            ('negative wait', b'GET /v1/in-force/1?wait_ms=-1', b''),
            ('superscript wait', b'GET /v1/in-force/1?wait_ms=%C2%B2', b''),
            (
                'wait of many digits',
                b'GET /v1/in-force/1?wait_ms=' + b'9' * 5000,
                b'',
            ),
            ('empty', CHANGE, b''),
            ('deep lists', CHANGE, DEEP_LISTS),
            ('deep lists in a field', CHANGE, deep_field),
            ('cut off', CHANGE, good[:-5]),
            ('text not UTF-8', CHANGE, good.replace(b'tests', b'te\xff\xfe')),
            ('wrong type', CHANGE, good.replace(b'"search"', b'7')),
        )
        async with running_servers() as servers:
            for name, line, body in cases:
                with self.subTest(name):
                    status, response = await servers.request(
                        'operators', line, body
                    )
                    self.assertEqual(status, 400)
                    self.assertIn(b'"type":"error"', response)
            self.assertEqual(servers.core.failures.counts.total(), 0)

    async def test_caller_requests(self) -> None:
        """Guards against status 500 for what the caller sent."""
        cases = (
            ('deep lists', SEARCH, DEEP_LISTS, b''),
            ('number out of range', SEARCH, b'1e999', b''),
            ('many digits', SEARCH, b'9' * 5000, b''),
            ('half a surrogate', SEARCH, json.dumps(chr(0xD800)).encode(), b''),
            ('not UTF-8', SEARCH, b'"\xff\xfe"', b''),
            (
                'superscript timeout',
                SEARCH,
                b'1',
                b'X-Request-Timeout-Ms: \xc2\xb2\r\n',
            ),
            ('caller not UTF-8', SEARCH, b'1', b'X-Caller: \xff\xfe\r\n'),
            ('key not UTF-8', SEARCH, b'1', b'Idempotency-Key: \xff\r\n'),
            ('id not UTF-8', SEARCH, b'1', b'X-Request-Id: \xff\r\n'),
        )
        async with running_servers() as servers:
            for name, line, body, headers in cases:
                with self.subTest(name):
                    status, response = await servers.request(
                        'callers', line, body, headers
                    )
                    self.assertEqual(status, 400)
                    self.assertIn(b'"type":"bad_request"', response)
            self.assertEqual(servers.core.failures.counts.total(), 0)

    async def test_unknown_routes(self) -> None:
        """Guards against route names that cannot be encoded or logged."""
        names = (b'ghost', b'%ff%fe', b'%ED%A0%80', b'%0A', b'%00', b'a' * 4000)
        async with running_servers() as servers:
            for name in names:
                with self.subTest(name[:9]):
                    status, _ = await servers.request(
                        'callers', b'POST /v1/requests/' + name, b'1'
                    )
                    self.assertIn(status, {400, 404, 503})
            self.assertEqual(servers.core.failures.counts.total(), 0)


class FailingHandlerTest(IsolatedAsyncioTestCase):
    """An unexpected error ends one request, and is logged and counted."""

    async def test_operator_server(self) -> None:
        """The next request is answered."""
        async with running_servers() as servers:
            with mock.patch(
                'oriolestage.daemon._operator_server.build_node_view',
                side_effect=KeyError('view'),
            ):
                status, response = await servers.request(
                    'operators', b'GET /v1/view'
                )
            self.assertEqual(status, 500)
            self.assertIn(b'"type":"error"', response)
            counts = servers.core.failures.counts
            self.assertEqual(counts['operator.http'], 1)
            status, _ = await servers.request('operators', b'GET /v1/view')
            self.assertEqual(status, 200)

    async def test_client_that_closes_early(self) -> None:
        """A connection that ends within a body is no internal error."""
        head = b'%s HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{'
        async with running_servers() as servers:
            for server, line in (('operators', CHANGE), ('callers', SEARCH)):
                with self.subTest(server):
                    _, writer = await asyncio.open_connection(
                        '127.0.0.1', servers.ports[server]
                    )
                    writer.write(head % line)
                    await writer.drain()
                    await asyncio.sleep(READ_PAUSE_S)
                    writer.close()
                    await asyncio.sleep(READ_PAUSE_S)
                    counts = servers.core.failures.counts
                    self.assertEqual(counts.total(), 0)

    async def test_caller_server(self) -> None:
        """The caller learns that the request may have run."""
        async with running_servers() as servers:
            with mock.patch(
                'oriolestage.daemon._caller_server.caller_view',
                side_effect=KeyError('view'),
            ):
                status, response = await servers.request(
                    'callers', SEARCH, b'1'
                )
            self.assertEqual(status, 500)
            self.assertIn(b'"type":"may_have_run"', response)
            counts = servers.core.failures.counts
            self.assertEqual(counts['caller.http'], 1)
            status, _ = await servers.request('callers', SEARCH, b'1')
            self.assertEqual(status, 503)
