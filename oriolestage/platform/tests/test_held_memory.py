"""Tests of callers' connections that count towards a memory budget."""

import asyncio
import contextlib
import dataclasses
import logging
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.admission._memory_budget import (
    MIN_BUDGET_BYTES,
    Cause,
    MemoryBudget,
)
from oriolestage.entry._caller_connections import ConnectionGuard
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._counted_connection import CountedConnection
from oriolestage.entry._held_memory import HeldMemory
from oriolestage.platform.tests.served_callers import (
    FIELDS,
    PART_PAUSE_S,
    ask,
    read_all,
    serving,
    status_of,
)
from oriolestage.platform.tests.strict_messages import read_statuses
from oriolestage.platform.tests.test_caller_wire import RecordingRouter
from oriolestage.routing import _connection_ages
from oriolestage.routing._answers import (
    Delivered,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._rules import CallerLimits

LIMITS = CallerLimits(header_timeout_s=2.0, idle_timeout_s=2.0)
#: A budget for three bodies.
SMALL_BUDGET_BYTES = 1_000_000
#: Bytes of an answer that the system does not take at once.
ANSWER_BYTES = 7_000_000
BODY = bytes(LIMITS.body_bytes)
POST = b'POST /a/ HTTP/1.1\r\n' + FIELDS
GET = b'GET /a/ HTTP/1.1\r\n' + FIELDS + b'\r\n'
WITH_LENGTH = POST + b'Content-Length: %d\r\n\r\n'
CLOSE = b'Connection: close\r\n'
#: Time within which something has to happen, in seconds.
TIMEOUT_S = 5.0
MAX_CONNECTIONS = 8


class RoutingRouter(RecordingRouter):
    """Has a route for one path."""

    def refuse_unrouted(self, request: CallerRequest) -> RequestResult | None:
        """Refuse a request for another path."""
        if request.path.startswith('/a/'):
            return None
        return Refused(GiveUpReason.UNKNOWN_ROUTE, 0)


class _HeldMemoryTest(IsolatedAsyncioTestCase):
    """Starts a server with a budget."""

    budget_bytes = MIN_BUDGET_BYTES

    async def asyncSetUp(self) -> None:
        """Start a server."""
        patch = mock.patch.object(_connection_ages, 'SETTLING_S', 0)
        patch.start()
        self.addCleanup(patch.stop)
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        self._router = RoutingRouter()
        self._budget = MemoryBudget(self.budget_bytes)
        self._memory = HeldMemory(self._budget)
        self._address = await self.enterAsyncContext(
            serving(
                self._router,
                lambda: LIMITS,
                guard=ConnectionGuard(self._memory, MAX_CONNECTIONS),
            )
        )

    async def _wait_for_release(self) -> None:
        """Wait until nothing is held."""
        async with asyncio.timeout(TIMEOUT_S):
            while self._budget.total_bytes:
                await asyncio.sleep(PART_PAUSE_S)


class LargeRequestTest(_HeldMemoryTest):
    """A request inside the limits is served without overload."""

    async def test_largest_requests(self) -> None:
        """Guards against a single request inside the limits that is refused.

        Its body, its head or the number of its fields is the largest one.
        """
        fields = (LIMITS.header_bytes - len(POST) - 40) // 5
        for parts in (
            (POST + CLOSE + b'Content-Length: 262144\r\n\r\n' + BODY,),
            (POST + CLOSE + b'Content-Length: 262144\r\n\r\n', BODY),
            (POST + CLOSE + b'a: \r\n' * fields + b'\r\n',),
            (POST + CLOSE + b'X: ' + b'x' * 16_000 + b'\r\n\r\n',),
            (POST + CLOSE, b'a:\r\n' * (fields // 2), b'\r\n'),
        ):
            with self.subTest(bytes=sum(map(len, parts))):
                received = await ask(self._address, parts)
                self.assertEqual(status_of(received), 200)

    async def test_chunks_of_a_byte(self) -> None:
        """A body in very small chunks is passed on whole."""
        head = POST + CLOSE + b'Transfer-Encoding: chunked\r\n\r\n'
        chunks = b'1\r\nx\r\n' * 20_000
        received = await ask(self._address, (head, chunks, b'0\r\n\r\n'))
        self.assertEqual(status_of(received), 200)
        self.assertEqual(self._router.requests[0].body, b'x' * 20_000)

    async def test_requests_ahead(self) -> None:
        """Each of many requests on one connection is answered, in order."""
        close = b'GET /a/ HTTP/1.1\r\n' + FIELDS + CLOSE + b'\r\n'
        received = await ask(self._address, (GET * 99 + close,))
        statuses = read_statuses(received, [])
        self.assertEqual((len(statuses), set(statuses)), (100, {200}))

    async def test_release(self) -> None:
        """Guards against a count that grows with the requests served."""
        reader, writer = await asyncio.open_connection(*self._address)
        with contextlib.closing(writer):
            for _ in range(3):
                head = POST + b'Transfer-Encoding: chunked\r\n\r\n'
                writer.write(head + b'4\r\nbody\r\n0\r\n\r\n')
                await reader.readuntil(b'\r\n\r\n')
                await asyncio.sleep(PART_PAUSE_S)
                held = self._budget.held_bytes(Cause.REQUEST)
                self.assertLess(held, 1_000)
        await self._wait_for_release()

    async def test_unrouted_bodies(self) -> None:
        """Guards against a body that is read for a path without a route."""
        head = b'POST /b HTTP/1.1\r\n' + FIELDS
        for fields in (
            b'Content-Length: 262144\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\n',
            b'Expect: 100-continue\r\nContent-Length: 9\r\n\r\n',
        ):
            with self.subTest(fields):
                received = await ask(self._address, (head + fields,))
                self.assertEqual(status_of(received), 404)
        self.assertEqual(self._router.requests, [])

    async def test_answers_not_read(self) -> None:
        """Guards against a client that never reads its answer."""
        self._answer_long()
        reader, writer = await asyncio.open_connection(*self._address)
        writer.write(GET * 9)
        async with asyncio.timeout(4 * TIMEOUT_S):
            while not self._memory.refusals['answer_not_taken']:
                await asyncio.sleep(PART_PAUSE_S)
        self.assertEqual(len(self._router.requests), 1)
        await read_all(reader)
        writer.close()
        await self._wait_for_release()

    def _answer_long(self) -> None:
        result = self._router.result
        assert isinstance(result, Delivered)
        answer = dataclasses.replace(result.answer, body=bytes(ANSWER_BYTES))
        self._router.result = dataclasses.replace(result, answer=answer)


class ShortBudgetTest(_HeldMemoryTest):
    """Others are closed for a new request, and what is refused has not run."""

    budget_bytes = SMALL_BUDGET_BYTES

    async def test_short_bodies(self) -> None:
        """Guards against a promise of 503 for a request that runs.

        Bodies that stop short of their end take the budget. Those that are
        closed for others come in full afterwards.
        """
        callers = [await self._send_short() for _ in range(6)]
        refused = 0
        for reader, writer in callers:
            writer.write(BODY[:1])
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(1):
                    line = await reader.readline()
                    refused += b' 503 ' in line
            writer.close()
        self.assertGreater(refused, 0)
        self.assertLessEqual(len(self._router.requests), 6 - refused)
        self.assertEqual(self._memory.refusals['memory'], 6 - 3)
        await self._wait_for_release()

    async def test_closed_as_body_completes(self) -> None:
        """Guards against a promise of 503 for a request that then runs.

        The last byte of its body arrives in the step that closes it.
        """
        receive = CountedConnection.data_received

        def receive_and_close(
            connection: CountedConnection, data: bytes
        ) -> None:
            receive(connection, data)
            if data.endswith(b'!'):
                connection.close_early('memory')

        with mock.patch.object(
            CountedConnection, 'data_received', receive_and_close
        ):
            head = WITH_LENGTH % 3
            received = await ask(self._address, (head + b'ab', b'!'))
        self.assertEqual(status_of(received), 503)
        self.assertEqual(self._router.requests, [])

    async def test_silent_connections(self) -> None:
        """Guards against connections that keep out all others."""
        silent = [
            await asyncio.open_connection(*self._address)
            for _ in range(3 * MAX_CONNECTIONS)
        ]
        close = b'GET /a/ HTTP/1.1\r\n' + FIELDS + CLOSE + b'\r\n'
        received = await ask(self._address, (close,))
        self.assertEqual(status_of(received), 200)
        self.assertGreater(self._memory.refusals['connections'], 0)
        for _, writer in silent:
            writer.close()

    async def _send_short(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self._address)
        writer.write(WITH_LENGTH % len(BODY) + BODY[:-1])
        await asyncio.sleep(5 * PART_PAUSE_S)
        return reader, writer
