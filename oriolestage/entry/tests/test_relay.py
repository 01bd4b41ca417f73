"""Tests of requests that one host sends to targets for another."""

import asyncio
import functools
import unittest
from collections.abc import Callable

import msgspec
from multidict import istr

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import RelayRequest
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.peer_requests import start_peer_server
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)
from oriolestage.routing._crash_detector import fingerprint_of
from oriolestage.routing._placement import Placement
from oriolestage.routing.tests.builders import (
    make_placement,
    make_record,
)
from oriolestage.routing.tests.test_cut_off_host import make_cut_off_placement

#: Header names as the parser of the target connections returns them.
ANSWER = TargetAnswer(
    404, ((istr('X-Signature'), 's'), (istr('X-Own'), '1')), b'body', 's'
)
#: Time within which a host must reply, in seconds.
REPLY_TIMEOUT_S = 5.0


class OneTarget:
    """Ends every attempt in the same way."""

    def __init__(self, end: Callable[[], AttemptOutcome]) -> None:
        """Create a target whose attempts end with the result of ``end``."""
        self._end = end
        self.calls: list[TargetCall] = []
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.hangs = False

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """End an attempt."""
        self.calls.append(call)
        self.started.set()
        if self.hangs:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        return self._end()


def _crash() -> AttemptOutcome:
    raise RuntimeError('bug')


def _request(*, repeatable: bool = False) -> RelayRequest:
    return RelayRequest(
        number=0,
        request_id='a',
        route='r',
        service='shard-0',
        method='POST',
        path='/x?y=1',
        headers=(('Host', 'h'),),
        body=b'asked',
        regions=(),
        repeatable=repeatable,
        time_left_s=2.0,
    )


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A host makes one attempt for another and returns its outcome."""

    async def _start(self, target: OneTarget, placement: Placement) -> None:
        self._server, self._address = await start_peer_server(placement, target)
        #: Identities of the targets that the client was told to leave.
        self._leaving: list[str] = []
        self._client = PeerClient(self._leaving.append)
        self.addCleanup(self._server.close)
        self.addCleanup(self._client.close)

    async def _relay(self) -> AttemptOutcome:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await self._client.relay(self._address, _request())

    async def _relay_to(
        self, end: Callable[[], AttemptOutcome]
    ) -> tuple[AttemptOutcome, OneTarget]:
        target = OneTarget(end)
        await self._start(target, make_placement(records=(make_record(),))[0])
        return await self._relay(), target

    async def test_fingerprint(self) -> None:
        """Guards against crashes that count for another request here.

        The account is part of the fingerprint and cannot be told from the
        headers. A host of an older build sends none.
        """
        for sent, expected in (
            (2**64 - 1, 2**64 - 1),
            (0, fingerprint_of('POST', 'h', '/x?y=1', b'asked')),
        ):
            target = OneTarget(functools.partial(AttemptAnswered, ANSWER))
            placement, _ = make_placement(records=(make_record(),))
            await self._start(target, placement)
            request = msgspec.structs.replace(_request(), fingerprint=sent)
            await self._client.relay(self._address, request)
            with self.subTest(sent=sent):
                self.assertEqual(target.calls[0].fingerprint, expected)

    async def test_answer_is_unchanged(self) -> None:
        """Status, headers, body and signature of an answer are returned."""
        outcome, target = await self._relay_to(lambda: AttemptAnswered(ANSWER))
        self.assertEqual(outcome, AttemptAnswered(ANSWER))
        call = target.calls[0]
        self.assertEqual(len(target.calls), 1)
        self.assertEqual((call.method, call.path), ('POST', '/x?y=1'))
        self.assertEqual(call.body, b'asked')
        self.assertFalse(call.repeatable)

    async def test_leaving_target(self) -> None:
        """The asking host learns that the target of its request leaves.

        It passes on the answer that says so, and may reach the target itself
        later.
        """
        placement, _ = make_placement(records=(make_record(),))

        def answer_and_leave() -> AttemptOutcome:
            placement.record_leaving('t-1')
            return AttemptAnswered(ANSWER)

        await self._start(OneTarget(answer_and_leave), placement)
        self.assertEqual(await self._relay(), AttemptAnswered(ANSWER))
        self.assertEqual(self._leaving, ['t-1'])

    async def test_leaving_target_registered_again(self) -> None:
        """Guards against a notice that is lost with a registration.

        The entry of the target was away while the request ran.
        """
        placement, directory = make_placement(records=(make_record(),))

        def register_again_and_leave() -> AttemptOutcome:
            directory.remove('t-1', 1)
            directory.register(make_record(), 2)
            placement.record_leaving('t-1')
            return AttemptAnswered(ANSWER)

        await self._start(OneTarget(register_again_and_leave), placement)
        await self._relay()
        self.assertEqual(self._leaving, ['t-1'])

    async def test_target_that_stays(self) -> None:
        """Nothing is reported of a target that does not leave."""
        await self._relay_to(lambda: AttemptAnswered(ANSWER))
        self.assertEqual(self._leaving, [])

    async def test_not_run(self) -> None:
        """A request that a target rejects has not run."""
        shed = AttemptNotRun(NotRunReason.SHED)
        outcome, _ = await self._relay_to(lambda: shed)
        self.assertEqual(outcome, shed)

    async def test_lost(self) -> None:
        """A request that a target may have run is not reported as not run."""
        lost = AttemptLost('target.reset')
        outcome, target = await self._relay_to(lambda: lost)
        self.assertEqual(outcome, lost)
        self.assertEqual(len(target.calls), 1)

    async def test_bug_at_the_other_host(self) -> None:
        """A failed task is reported; the caller does not wait for it."""
        outcome, _ = await self._relay_to(_crash)
        self.assertIsInstance(outcome, AttemptLost)

    async def test_other_host_is_cut_off(self) -> None:
        """A host without a path sends nothing, and says so."""
        target = OneTarget(lambda: AttemptAnswered(ANSWER))
        await self._start(target, make_cut_off_placement())
        self.assertEqual(
            await self._relay(), AttemptNotRun(NotRunReason.NOT_REACHED)
        )
        self.assertFalse(target.calls)

    async def test_caller_leaves(self) -> None:
        """A cancelled request is cancelled at the target."""
        target = OneTarget(lambda: AttemptAnswered(ANSWER))
        target.hangs = True
        await self._start(target, make_placement(records=(make_record(),))[0])
        relaying = asyncio.create_task(self._relay())
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            await target.started.wait()
            self.assertEqual(self._server.relays_in_flight, 1)
            relaying.cancel()
            await target.cancelled.wait()

    async def test_stream_is_lost(self) -> None:
        """A request may have run if the stream ends before the reply."""
        target = OneTarget(lambda: AttemptAnswered(ANSWER))
        target.hangs = True
        await self._start(target, make_placement(records=(make_record(),))[0])
        relaying = asyncio.create_task(self._relay())
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            await target.started.wait()
            self._server.close()
            self.assertIsInstance(await relaying, AttemptLost)
