"""Tests of answers whose status lies outside of 100 to 599."""

import asyncio
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.core import (
    CallTarget,
    StoreRead,
    StoreUnreachable,
    Target,
    TargetConnectionLost,
    TargetFailed,
)
from oriolestage.daemon._events import Event, StoreCallEnded, TargetCallEnded
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._store_client import StoreClient
from oriolestage.daemon._target_client import TargetClient
from oriolestage.platform.tests.broken_answers import Ending
from oriolestage.platform.tests.cutting_target import CuttingTarget
from oriolestage.platform.tests.odd_statuses import (
    INVALID_STATUSES,
    with_status,
)

#: Fields of a target's answer.
FIELDS = (
    'X-Request-Id: request-1\r\nX-Index-Version: 3\r\n'
    'X-Key-Range: 0-100\r\nX-Partition-Revision: 1\r\n'
)
#: Fields with which a target promises that it has not run a request.
REFUSED = f'{FIELDS}X-Refused: shed\r\n'
#: Time that a call has, in milliseconds, and within which it ends, in seconds.
TIMEOUT_MS = 10_000
END_TIMEOUT_S = 20.0
#: Time in which the result of a probe would come, in seconds.
PROBE_S = 0.1
#: Longest delay of a call that is sent.
SEND_DELAY = 'oriolestage.daemon._target_client.MAX_SEND_DELAY_S'


class OddStatusTest(IsolatedAsyncioTestCase):
    """An answer with an invalid status is that of a failing sender."""

    async def asyncSetUp(self) -> None:
        """Start a target or store whose answers each test sets."""
        self.enterContext(mock.patch(SEND_DELAY, END_TIMEOUT_S))
        self._server = await self.enterAsyncContext(CuttingTarget())
        self._inbox: asyncio.Queue[Event] = asyncio.Queue()
        self._target = Target(
            't-1', 's-1', 'ege-a', self._server.address, 2, 25
        )

    async def test_calls(self) -> None:
        """Guards against a refusal, and a promise, that is believed."""
        for status in INVALID_STATUSES:
            for fields in (FIELDS, REFUSED):
                with self.subTest(status, fields=fields):
                    outcome = (await self._call(status, fields)).outcome
                    self.assertIsInstance(
                        outcome, TargetFailed | TargetConnectionLost
                    )

    async def test_health_checks(self) -> None:
        """Guards against a status page that counts as read."""
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self._answer(status, FIELDS)
                client = TargetClient('127.0.0.1', self._inbox)
                client.probe(self._target)
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(self._inbox.get(), PROBE_S)
                await client.close()
                await self._server.end_connections()

    async def test_store(self) -> None:
        """Guards against a store whose failure is not counted."""
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self._answer(status, 'X-Version: 5\r\n')
                failures = FailureLog()
                outcome = await self._read_store(failures)
                self.assertEqual(outcome, StoreUnreachable(sent=True))
                if status in {'000', '600', '999'}:
                    self.assertIn('store.answer', dict(failures.counts))

    def _answer(self, status: str, fields: str) -> None:
        self._server.cut_off(
            with_status(status, fields, '[10]'), Ending.CLOSED, bytewise=False
        )

    async def _call(self, status: str, fields: str) -> TargetCallEnded:
        self._answer(status, fields)
        client = TargetClient('127.0.0.1', self._inbox)
        call = CallTarget(
            1,
            self._target,
            'request-1',
            'r',
            b'{}',
            0,
            TIMEOUT_MS,
            TIMEOUT_MS,
        )
        client.call(call)
        event = await self._next_event()
        await client.close()
        await self._server.end_connections()
        assert isinstance(event, TargetCallEnded)
        return event

    async def _read_store(self, failures: FailureLog) -> object:
        client = StoreClient(
            self._server.address,
            self._server.address,
            '127.0.0.1',
            END_TIMEOUT_S,
            self._inbox,
            failures,
        )
        client.call(StoreRead(1, 'k'))
        event = await self._next_event()
        await client.close()
        await self._server.end_connections()
        assert isinstance(event, StoreCallEnded)
        return event.outcome

    async def _next_event(self) -> Event:
        async with asyncio.timeout(END_TIMEOUT_S):
            return await self._inbox.get()
