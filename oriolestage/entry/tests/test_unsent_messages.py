"""Tests of requests and replies between hosts that cannot be sent."""

import asyncio
import contextlib
import random
import unittest
from unittest.mock import patch

from multidict import istr

from oriolestage._frames import MAX_MESSAGE_BYTES
from oriolestage.entry import _peer_link, _relay_serving
from oriolestage.entry._compressed_frames import MAX_PAYLOAD_BYTES
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import GatherRequest, RelayRequest
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.peer_requests import (
    link_patiently,
    make_gather_request,
    make_relay_request,
    start_peer_server,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)
from oriolestage.routing._run_types import (
    BatchAnswered,
    BatchLost,
    BatchOutcome,
)
from oriolestage.routing.tests.builders import make_placement, shard_records

#: Time within which a request has to end, in seconds; its deadline is later.
END_TIMEOUT_S = 10.0
#: Time for which a request waits while others end, in seconds.
PAUSE_S = 0.4
#: Bytes that the fields of the longest message take besides its body.
LONGEST_FIELDS_BYTES = 200
NOT_REACHED = AttemptNotRun(NotRunReason.NOT_REACHED)
BEYOND_64_BITS = 1 << 64
#: Addresses in a registration of another writer.
INVALID_ADDRESSES = (
    '',
    ':',
    'nohost',
    'a..b:1',
    '127.0.0.1:',
    '127.0.0.1:x',
    '127.0.0.1:-1',
    '127.0.0.1:99999',
    '127.0.0.1:18446744073709551616',
    '\udce9:1',
    '\x00:1',
)
#: Fields of requests that no message can have.
INVALID_FIELDS: tuple[dict[str, object], ...] = (
    {'body': 'text \ud800'},
    {'path': '/\ud800'},
    {'headers': ((istr('X'), 'y'),)},
    {'headers': (('X', '\ud800'),)},
    {'time_left_s': BEYOND_64_BITS, 'method': BEYOND_64_BITS},
)


class AnsweringTargets:
    """Answers each attempt with the same answer."""

    def __init__(self) -> None:
        """Create targets with an answer that can be sent."""
        self.answer = TargetAnswer(200, (), b'body', 's')
        self.calls = 0
        #: Time that an attempt takes, in seconds.
        self.pause_s: float = 0

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt."""
        self.calls += 1
        await asyncio.sleep(self.pause_s)
        return AttemptAnswered(self.answer)


class _UnsentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Start a server and a client."""
        self.enterContext(link_patiently())
        self._targets = AnsweringTargets()
        self._server, self._address = await start_peer_server(
            make_placement('dc-a', shard_records(4))[0], self._targets
        )
        self._client = PeerClient(lambda _: None)

    async def asyncTearDown(self) -> None:
        """Close both."""
        self._client.close()
        self._server.close()

    async def _gather(
        self, request: GatherRequest, address: str | None = None
    ) -> BatchOutcome:
        gathering = self._client.gather(
            self._address if address is None else address, request
        )
        async with contextlib.aclosing(gathering) as replies:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await anext(replies)

    async def _relay(
        self, request: RelayRequest, address: str | None = None
    ) -> AttemptOutcome:
        async with asyncio.timeout(END_TIMEOUT_S):
            return await self._client.relay(
                self._address if address is None else address, request
            )


class InvalidAddressTest(_UnsentTest):
    """A host without a valid address is one that is not reached."""

    async def test_requests(self) -> None:
        """Guards against requests that count as run and were never sent."""
        for address in INVALID_ADDRESSES:
            with self.subTest(ascii(address)):
                lost = await self._gather(make_gather_request(), address)
                assert isinstance(lost, BatchLost)
                self.assertTrue(lost.not_sent)
                outcome = await self._relay(make_relay_request(), address)
                self.assertEqual(outcome, NOT_REACHED)

    async def test_links(self) -> None:
        """Guards against an error of this program that nobody sees.

        Hosts that are not reached are not logged at each check.
        """
        addresses = {self._address, '127.0.0.1:99999', '127.0.0.1:1'}
        open_stream = asyncio.open_connection

        async def fail(
            host: str, port: int
        ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            if port == 1:
                raise RuntimeError('bug')
            return await open_stream(host, port)

        with (
            patch('asyncio.open_connection', fail),
            patch('oriolestage.entry._peer_client.log_event') as log,
        ):
            states = await self._client.check_links(addresses)
        self.assertEqual(states.keys(), addresses)
        self.assertGreater(states[self._address].heard_at, 0)
        self.assertEqual(len(log.call_args_list), 1)
        self.assertIn('bug', str(log.call_args))


class InvalidRequestTest(_UnsentTest):
    """A request that cannot be encoded is not sent, and no other suffers."""

    async def test_requests(self) -> None:
        """Guards against requests that count as run and were never sent.

        The stream stays open, and the request is not waited for.
        """
        await self._relay(make_relay_request())
        calls = self._targets.calls
        for fields in INVALID_FIELDS:
            with (
                self.subTest(ascii(fields)),
                patch.object(_peer_link, 'log_event') as log,
            ):
                lost = await self._gather(make_gather_request(**fields))
                assert isinstance(lost, BatchLost)
                self.assertTrue(lost.not_sent)
                outcome = await self._relay(make_relay_request(**fields))
                self.assertEqual(outcome, NOT_REACHED)
                events = [call.args[0] for call in log.call_args_list]
                self.assertEqual(set(events), {'message_not_encoded'})
                self.assertEqual(len(events), 2)
        self.assertEqual(self._targets.calls, calls)
        answered = await self._gather(make_gather_request())
        self.assertIsInstance(answered, BatchAnswered)


class LongMessageTest(_UnsentTest):
    """A message that no host accepts is not sent."""

    async def test_request(self) -> None:
        """Guards against a request that ends all others on its stream."""
        self._targets.pause_s = PAUSE_S
        other = asyncio.create_task(self._relay(make_relay_request()))
        await asyncio.sleep(PAUSE_S / 4)
        body = bytes(MAX_MESSAGE_BYTES)
        lost = await self._gather(make_gather_request(body=body))
        assert isinstance(lost, BatchLost)
        self.assertTrue(lost.not_sent)
        outcome = await self._relay(make_relay_request(body=body))
        self.assertEqual(outcome, NOT_REACHED)
        self.assertIsInstance(await other, AttemptAnswered)

    async def test_reply(self) -> None:
        """Guards against a reply that ends all requests on its stream."""
        self._targets.pause_s = PAUSE_S
        other = asyncio.create_task(self._relay(make_relay_request()))
        await asyncio.sleep(PAUSE_S / 4)
        self._targets.pause_s = 0
        whole, body = self._targets.answer, bytes(MAX_MESSAGE_BYTES)
        self._targets.answer = TargetAnswer(200, (), body, 's')
        outcome = await self._relay(make_relay_request())
        self.assertEqual(outcome, AttemptLost('relay.crash'))
        self._targets.answer = whole
        self.assertIsInstance(await other, AttemptAnswered)

    async def test_longest(self) -> None:
        """The longest message arrives even if it cannot be compressed."""
        length = MAX_PAYLOAD_BYTES - LONGEST_FIELDS_BYTES
        body = random.Random(1).randbytes(length)
        self._targets.answer = TargetAnswer(200, (), body, 's')
        outcome = await self._relay(make_relay_request(body=body))
        assert isinstance(outcome, AttemptAnswered)
        self.assertEqual(outcome.answer.body, body)


class InvalidReplyTest(_UnsentTest):
    """A reply that cannot be encoded is replaced by one that says lost."""

    async def test_relayed_request(self) -> None:
        """The error is logged, and the request may have run."""
        self._targets.answer = TargetAnswer(BEYOND_64_BITS, (), b'', 's')
        with patch.object(_relay_serving, 'log_event') as log:
            outcome = await self._relay(make_relay_request())
            self.assertIsInstance(outcome, AttemptLost)
            await asyncio.sleep(0)
        events = [call.args[0] for call in log.call_args_list]
        self.assertEqual(events, ['relay_crashed', 'relay_served'])
        self.assertIn('relay.crash', str(log.call_args_list[-1]))
        self._targets.answer = TargetAnswer(200, (), b'', 's')
        self.assertIsInstance(
            await self._relay(make_relay_request()), AttemptAnswered
        )

    async def test_batch(self) -> None:
        """The shards count as failed at once."""
        self._targets.answer = TargetAnswer(200, (), b'', '\ud800')
        answer = await self._gather(make_gather_request())
        assert isinstance(answer, BatchAnswered)
        self.assertEqual(answer.signatures, {})
        self.assertEqual(len(answer.failed), 4)
