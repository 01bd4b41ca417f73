"""Tests of batches between a peer client and a peer server."""

import asyncio
import contextlib
import itertools
import unittest
from collections.abc import Callable
from unittest.mock import patch

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import GatherRequest
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.peer_requests import (
    SERVICES,
    make_gather_request,
    start_peer_server,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptOutcome,
    TargetAnswer,
)
from oriolestage.routing._run_types import (
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
)
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing.tests.builders import (
    make_placement,
    shard_records,
)

#: Time within which a reply has to arrive; that of the request is 2 s.
REPLY_TIMEOUT_S = 1.0
#: Time that opening a stream takes, in seconds.
OPENING_S = 0.2


class ScriptedTargets:
    """Answers attempts at once, except for slow and broken targets."""

    def __init__(self) -> None:
        """Create targets that all answer at once."""
        self.slow: set[str] = set()
        self.broken: set[str] = set()
        #: Targets at which an attempt ends with an error of this program.
        self.crashing: set[str] = set()
        self.pause_s = 10.0
        self.cancelled = 0
        self.bodies: list[bytes] = []
        #: Times left in seconds that the attempts state.
        self.times_left: list[float] = []
        #: Called with the identity of each target that answers.
        self.on_answer: Callable[[str], None] = lambda _: None

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt."""
        self.bodies.append(call.body)
        self.times_left.append(call.time_left_s)
        if call.target in self.crashing:
            raise RuntimeError(call.target)
        if call.target in self.broken:
            return AttemptLost('reset')
        if call.target in self.slow:
            try:
                await asyncio.sleep(self.pause_s)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        self.on_answer(call.target)
        body = call.target.encode().ljust(16, b'.')
        return AttemptAnswered(TargetAnswer(200, (), body, call.target))


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    """A server returns the shards that are in time and names the others."""

    async def asyncSetUp(self) -> None:
        """Start a server that knows two targets of each service."""
        self._placement = make_placement('dc-a', shard_records(4))[0]
        self._targets = ScriptedTargets()
        self._server, self._address = await start_peer_server(
            self._placement, self._targets
        )
        #: Identities of the targets that the client was told to leave.
        self._leaving: list[str] = []
        self._client = PeerClient(self._leaving.append)

    async def _first_reply(self, request: GatherRequest) -> BatchOutcome:
        gathering = self._client.gather(self._address, request)
        async with contextlib.aclosing(gathering) as replies:
            return await anext(replies)

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self._client.close()
        self._server.close()

    async def test_merged(self) -> None:
        """A merged reply has the greatest records and all signatures."""
        answer = await self._first_reply(make_gather_request())
        assert isinstance(answer, BatchAnswered)
        self.assertEqual(set(answer.signatures), set(SERVICES))
        self.assertEqual(len(answer.body), 32)
        self.assertEqual(answer.bodies, {})
        self.assertEqual(
            self._targets.bodies,
            list(itertools.repeat(b'asked', len(SERVICES))),
        )

    async def test_leaving_target(self) -> None:
        """The asking host learns which targets of its shards leave.

        The answer to its caller contains their parts, and it may reach them
        itself later.
        """
        self._targets.on_answer = self._placement.record_leaving
        await self._first_reply(make_gather_request(services=SERVICES[:1]))
        self.assertEqual(self._leaving, ['t-0-0'])

    async def test_not_merged(self) -> None:
        """An unmerged reply has the records of each shard."""
        answer = await self._first_reply(make_gather_request(merged=False))
        assert isinstance(answer, BatchAnswered)
        self.assertEqual(set(answer.bodies), set(SERVICES))

    async def test_floor(self) -> None:
        """Records that do not exceed the requested floor are left out."""
        floor = b't-9'.ljust(16, b'.')
        answer = await self._first_reply(
            make_gather_request(merged=False, floor=floor)
        )
        assert isinstance(answer, BatchAnswered)
        self.assertEqual(set(answer.signatures), set(SERVICES))
        self.assertEqual(set(answer.bodies.values()), {b''})

    async def test_floor_of_late_shards(self) -> None:
        """A late shard's records are left out if greater ones were sent."""
        self._targets.slow = {'t-0-0', 't-0-1'}
        self._targets.pause_s = 0.1
        gathering = self._client.gather(self._address, make_gather_request())
        replies = [reply async for reply in gathering]
        late = replies[-1]
        assert isinstance(late, BatchAnswered)
        # The merged reply holds the two greatest records, of other shards.
        self.assertEqual(late.bodies, {SERVICES[0]: b''})

    async def test_late_shard(self) -> None:
        """The reply does not wait for a shard much slower than its siblings."""
        self._targets.slow = {'t-0-0', 't-0-1'}
        answer = await self._first_reply(make_gather_request())
        assert isinstance(answer, BatchAnswered)
        self.assertEqual(set(answer.signatures), set(SERVICES[1:]))
        await asyncio.sleep(0.01)
        self.assertEqual(self._targets.cancelled, 1)

    async def test_failed_shard(self) -> None:
        """A shard whose attempt failed is missing from the signatures."""
        self._targets.broken = {'t-0-0', 't-0-1'}
        answer = await self._first_reply(make_gather_request())
        assert isinstance(answer, BatchAnswered)
        self.assertNotIn(SERVICES[0], answer.signatures)

    async def test_deadline_after_opening(self) -> None:
        """Guards against handing on time that has passed.

        Opening the stream takes time, and the process may be paused.
        """
        open_stream = asyncio.open_connection

        async def open_late(
            host: str, port: int
        ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            await asyncio.sleep(OPENING_S)
            return await open_stream(host, port)

        with patch('asyncio.open_connection', open_late):
            await self._first_reply(make_gather_request())
        self.assertLessEqual(
            max(self._targets.times_left),
            make_gather_request().time_left_s - OPENING_S,
        )

    async def test_crashed_attempt(self) -> None:
        """An error on one shard does not keep back the answers of others."""
        self._targets.crashing = {'t-0-0', 't-0-1'}
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            answer = await self._first_reply(make_gather_request())
        assert isinstance(answer, BatchAnswered)
        self.assertEqual(set(answer.signatures), set(SERVICES[1:]))
        self.assertEqual(answer.failed, frozenset(SERVICES[:1]))

    async def test_crashed_batch(self) -> None:
        """Guards against a batch that is never answered after an error.

        The asking host would wait for its shards until the deadline.
        """
        with patch.object(
            self._placement, 'choose', side_effect=RuntimeError('choose')
        ):
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                answer = await self._first_reply(make_gather_request())
        assert isinstance(answer, BatchAnswered)
        self.assertTrue(answer.final)
        self.assertEqual(answer.failed, frozenset(SERVICES))

    async def test_unknown_service(self) -> None:
        """A shard without a target is declined before others answer."""
        self._targets.slow = {'t-0-0', 't-0-1'}
        answer = await self._first_reply(
            make_gather_request(services=('shard-0', 'unknown'))
        )
        assert isinstance(answer, BatchDeclined)
        self.assertEqual(set(answer.retry_after_s), {'unknown'})
        self.assertFalse(answer.final)

    async def test_all_declined(self) -> None:
        """The only reply is a final decline if no shard has a target."""
        request = make_gather_request(services=('unknown',))
        gathering = self._client.gather(self._address, request)
        replies = [reply async for reply in gathering]
        self.assertEqual(len(replies), 1)
        assert isinstance(replies[0], BatchDeclined)
        self.assertTrue(replies[0].final)

    async def test_freshness(self) -> None:
        """Replies carry the revision and age of the server's state."""
        await self._first_reply(make_gather_request())
        links = await self._client.check_links({self._address})
        freshness = links[self._address].freshness
        self.assertEqual(freshness, Freshness(revision=7, age_s=0.5))

    async def test_cancel(self) -> None:
        """Cancelling a batch cancels its attempts and keeps the stream open."""
        self._targets.slow = {
            f't-{shard}-{copy}' for shard in range(4) for copy in (0, 1)
        }
        batch_task = asyncio.create_task(
            self._first_reply(make_gather_request(late_s=5.0)),
        )
        await asyncio.sleep(0.1)
        batch_task.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(self._targets.cancelled, 4)
        self._targets.slow = set()
        answer = await self._first_reply(make_gather_request())
        self.assertIsInstance(answer, BatchAnswered)

    async def test_unreachable_host(self) -> None:
        """A batch for a host that cannot be reached counts as not sent."""
        self._server.close()
        await asyncio.sleep(0.05)
        gathering = self._client.gather('127.0.0.1:1', make_gather_request())
        answer = await anext(gathering)
        assert isinstance(answer, BatchLost)
        self.assertTrue(answer.not_sent)
