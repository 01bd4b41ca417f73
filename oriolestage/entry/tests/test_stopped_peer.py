"""Tests of other hosts' requests at a host that is being stopped."""

import asyncio
import time
import unittest

import msgspec

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import RelayRequest
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.peer_requests import (
    SERVICES,
    make_gather_request,
    start_peer_server,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._run_types import BatchAnswered, BatchDeclined
from oriolestage.routing.tests.builders import (
    make_answer,
    make_placement,
    make_record,
)

#: Time that the host has left, in seconds.
LEFT_S = 10.0
#: Time within which a host must reply, in seconds.
REPLY_TIMEOUT_S = 5.0
RELAY = RelayRequest(
    number=0,
    request_id='a',
    route='r',
    service=SERVICES[0],
    method='POST',
    path='/x',
    headers=(),
    body=b'asked',
    regions=(),
    repeatable=False,
    time_left_s=0,
)


class WaitingTargets:
    """Targets that answer once they are told to."""

    def __init__(self) -> None:
        """Create targets without requests."""
        self.calls: list[TargetCall] = []
        self.started = asyncio.Event()
        self.go_on = asyncio.Event()

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt."""
        self.calls.append(call)
        self.started.set()
        await self.go_on.wait()
        return AttemptAnswered(make_answer())


class StoppedPeerTest(unittest.IsolatedAsyncioTestCase):
    """A host that is being stopped takes nothing that outlasts it."""

    async def asyncSetUp(self) -> None:
        """Start a host with one target for each service."""
        self._targets = WaitingTargets()
        records = tuple(make_record(f't-{name}', name) for name in SERVICES)
        placement, _ = make_placement(records=records)
        self._server, self._address = await start_peer_server(
            placement, self._targets
        )
        self._client = PeerClient(lambda _: None)
        self.addCleanup(self._server.close)
        self.addCleanup(self._client.close)

    async def _relay(self, time_left_s: float) -> AttemptOutcome:
        request = msgspec.structs.replace(RELAY, time_left_s=time_left_s)
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await self._client.relay(self._address, request)

    async def _gather(self, time_left_s: float) -> list[object]:
        request = make_gather_request(time_left_s=time_left_s)
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return [
                outcome
                async for outcome in self._client.gather(self._address, request)
            ]

    async def test_new_requests(self) -> None:
        """Guards against requests of other hosts that are cut by a stop.

        Those hosts are told that nothing was run, and ask others.
        """
        self._targets.go_on.set()
        self._server.requests.end_by(time.monotonic() + LEFT_S)
        not_run = AttemptNotRun(NotRunReason.NOT_REACHED)
        self.assertEqual(await self._relay(2 * LEFT_S), not_run)
        outcomes = await self._gather(2 * LEFT_S)
        declined = outcomes[-1]
        assert isinstance(declined, BatchDeclined)
        self.assertTrue(declined.final)
        self.assertEqual(declined.unreachable, frozenset(SERVICES))
        self.assertFalse(self._targets.calls)

    async def test_short_requests(self) -> None:
        """Requests that end in time are served."""
        self._targets.go_on.set()
        self._server.requests.end_by(time.monotonic() + LEFT_S)
        self.assertIsInstance(await self._relay(LEFT_S / 2), AttemptAnswered)
        outcomes = await self._gather(LEFT_S / 2)
        answered = outcomes[-1]
        assert isinstance(answered, BatchAnswered)
        self.assertEqual(set(answered.signatures), set(SERVICES))

    async def test_withdrawn_host(self) -> None:
        """Guards against a stream that is closed before its replies came.

        A host that is being stopped is no longer registered, but finishes
        the requests that it has.
        """
        for ask in (self._relay, self._gather):
            self._targets.started.clear()
            self._targets.go_on.clear()
            asking = asyncio.create_task(ask(LEFT_S))
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await self._targets.started.wait()
            await self._client.check_links(set())
            self._targets.go_on.set()
            outcome = await asking
            last = outcome[-1] if isinstance(outcome, list) else outcome
            with self.subTest(ask=ask.__name__):
                self.assertIsInstance(last, AttemptAnswered | BatchAnswered)

    async def test_requests_in_flight(self) -> None:
        """Guards against a stop that does not wait for batches."""
        for ask in (self._relay, self._gather):
            self._targets.started.clear()
            self._targets.go_on.clear()
            asking = asyncio.create_task(ask(2 * LEFT_S))
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await self._targets.started.wait()
            with self.subTest(ask=ask.__name__):
                self.assertEqual(len(self._server.requests), 1)
                self.assertEqual(self._server.requests.log_cut(), 1)
            self._targets.go_on.set()
            await asking
            await asyncio.sleep(0)
            self.assertEqual(len(self._server.requests), 0)
