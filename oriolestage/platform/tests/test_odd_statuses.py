"""Tests of answers whose status lies outside of 100 to 599."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import RelayAnswered
from oriolestage.entry._ports import AnswerRejectedError, StoreError
from oriolestage.entry._relay_serving import outcome_of_reply
from oriolestage.entry._target_client import TargetClient
from oriolestage.entry.tests.peer_requests import (
    link_patiently,
    make_gather_request,
    make_relay_request,
    start_peer_server,
)
from oriolestage.platform import _names
from oriolestage.platform._store_calls import StoreCalls
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.broken_answers import Ending
from oriolestage.platform.tests.cutting_target import CuttingTarget
from oriolestage.platform.tests.odd_statuses import (
    INVALID_STATUSES,
    VALID_STATUSES,
    with_status,
)
from oriolestage.platform.tests.served_callers import (
    FIELDS,
    ForwardingRouter,
    ask,
    serving,
    status_of,
)
from oriolestage.platform.tests.target_calls import (
    RecordingObserver,
    make_call,
)
from oriolestage.routing._answers import (
    AttemptLost,
    AttemptOutcome,
)
from oriolestage.routing._run_types import BatchAnswered
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import make_placement, make_record

#: Time within which a request has to end, in seconds.
END_TIMEOUT_S = 10.0
SERVICE = 'shard-0'
#: Fields of a target's answer.
SIGNED = 'Server-Stamp: s\r\nAttempt-Id: a\r\n'
#: Field with which a target promises that it has not run a request.
NOT_RUN = f'{_names.NOT_RUN_HEADER}: 1\r\n'
#: Fields of a target's answers, of which the second promises something.
FIELD_SETS = (SIGNED, SIGNED + NOT_RUN)
REQUEST = b'GET /x HTTP/1.1\r\nConnection: close\r\n' + FIELDS + b'\r\n'
ERA_FIELD = f'{_names.STORE_ERA_HEADER}: 7\r\n'


class OddStatusTest(unittest.IsolatedAsyncioTestCase):
    """An answer with an invalid status is lost, and its sender is failing."""

    async def asyncSetUp(self) -> None:
        """Start a target or store whose answers each test sets."""
        self.enterContext(link_patiently())
        self._target = await self.enterAsyncContext(CuttingTarget())

    async def test_attempts(self) -> None:
        """Guards against a status, or a promise with it, that is believed."""
        for status in INVALID_STATUSES:
            for fields in FIELD_SETS:
                with self.subTest(status, fields=fields):
                    self._answer(status, fields)
                    outcome = await self._send()
                    assert isinstance(outcome, AttemptLost), outcome
                    self.assertFalse(outcome.broken)

    async def test_callers(self) -> None:
        """Guards against a caller that receives the status."""
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self._answer(status)
                self.assertEqual(await self._ask(), 502)

    async def test_valid(self) -> None:
        """Valid statuses are passed on, also unusual ones."""
        for status in VALID_STATUSES:
            with self.subTest(status):
                self._answer(str(status))
                self.assertEqual(await self._ask(), status)

    async def test_relayed_requests(self) -> None:
        """Guards against a status that another host passes on."""
        for status in INVALID_STATUSES:
            for fields in FIELD_SETS:
                self._answer(status, fields)
                with self.subTest(status, fields=fields):
                    async with self._host() as (address, target):
                        outcome = await self._relay(address)
                        self.assertIsInstance(outcome, AttemptLost)
                        self._check_failing(target)

    async def test_relayed_by_other_versions(self) -> None:
        """Guards against the status from a host that does not check it."""
        for status in (-20, 0, 20, 99, 600, 999, 1000):
            with self.subTest(status=status):
                reply = RelayAnswered(1, status, (), b'body', 's')
                self.assertIsInstance(outcome_of_reply(reply), AttemptLost)

    async def test_shards(self) -> None:
        """Guards against a part of a shard query with such a status."""
        for status in INVALID_STATUSES:
            for fields in FIELD_SETS:
                self._answer(status, fields)
                with self.subTest(status, fields=fields):
                    async with self._host() as (address, target):
                        reply = await self._gather(address)
                        self.assertEqual(reply.signatures, {})
                        self.assertEqual(reply.failed, frozenset((SERVICE,)))
                        self._check_failing(target)

    async def test_store(self) -> None:
        """Guards against such an answer of the store, and its era.

        If its status was read, it is not taken for a sign that the same call
        would fail again: all hosts would read everything.
        """
        for status in INVALID_STATUSES:
            calls = StoreCalls(self._target.address)
            self._answer(status, ERA_FIELD)
            with self.subTest(status):
                with self.assertRaises(StoreError) as raised:
                    await calls.call('GET', _names.STORE_RANGE_PATH)
                self.assertIsNone(calls.eras.era)
                if status in {'000', '600', '999'}:
                    self.assertNotIsInstance(
                        raised.exception, AnswerRejectedError
                    )
            calls.close()
            await self._target.end_connections()

    def _answer(self, status: str, fields: str = SIGNED) -> None:
        self._target.cut_off(
            with_status(status, fields), Ending.CLOSED, bytewise=False
        )

    def _check_failing(self, target: KnownTarget) -> None:
        self.assertGreater(self._failure_rate(target), 0)

    def _failure_rate(self, target: KnownTarget) -> float:
        load = self._placement.observations.load_of(target)
        return load.failure_rate(asyncio.get_running_loop().time())

    async def _send(self) -> AttemptOutcome:
        client = _client()
        call = make_call(
            address=self._target.address, time_left_s=END_TIMEOUT_S
        )
        outcome = await client.send(call)
        client.close()
        await self._target.end_connections()
        return outcome

    async def _ask(self) -> int:
        """Return the status that a caller receives."""
        router = ForwardingRouter(self._target.address)
        with contextlib.closing(router):
            async with serving(router) as address:
                received = await ask(address, (REQUEST,))
        await self._target.end_connections()
        return status_of(received)

    @contextlib.asynccontextmanager
    async def _host(self) -> AsyncIterator[tuple[str, KnownTarget]]:
        """Run a host with the target as the only one of a service."""
        record = make_record('t-1', SERVICE, address=self._target.address)
        self._placement, directory = make_placement(records=(record,))
        client = _client()
        server, address = await start_peer_server(self._placement, client)
        yield address, next(iter(directory.usable(SERVICE)))
        server.close()
        client.close()
        await self._target.end_connections()

    async def _relay(self, address: str) -> AttemptOutcome:
        client = PeerClient(lambda _: None)
        with contextlib.closing(client):
            async with asyncio.timeout(END_TIMEOUT_S):
                return await client.relay(address, make_relay_request())

    async def _gather(self, address: str) -> BatchAnswered:
        client = PeerClient(lambda _: None)
        request = make_gather_request(services=(SERVICE,), late_s=END_TIMEOUT_S)
        with contextlib.closing(client):
            gathering = client.gather(address, request)
            async with contextlib.aclosing(gathering) as replies:
                async with asyncio.timeout(END_TIMEOUT_S):
                    reply = await anext(replies)
        assert isinstance(reply, BatchAnswered)
        return reply


def _client() -> TargetClient:
    return TargetClient(PlatformWireProtocol(), RecordingObserver())
