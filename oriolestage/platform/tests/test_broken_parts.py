"""Tests of answers that break off on their way through another host."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._target_client import TargetClient
from oriolestage.entry.tests.peer_requests import (
    make_gather_request,
    link_patiently,
    make_relay_request,
    start_peer_server,
)
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.broken_answers import Answer, Ending, Framing
from oriolestage.platform.tests.cutting_target import CuttingTarget
from oriolestage.platform.tests.target_calls import RecordingObserver
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptOutcome,
)
from oriolestage.routing._run_types import BatchAnswered
from oriolestage.routing.tests.builders import make_placement, make_record

#: Time within which a request has to end, in seconds; its deadline is later.
END_TIMEOUT_S = 10.0
SERVICES = ('shard-0', 'shard-1')
SMALL_RECORD = b'a' * 16
GREAT_RECORDS = b'z' * 16 + b'y' * 16
HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\n'
WHOLE_PART = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: s0\r\nContent-Length: 16\r\n\r\n'
    + SMALL_RECORD
)
#: Answers that end early, with what ends them.
BROKEN_PARTS = (
    (
        Answer('length', HEAD + b'Content-Length: 32\r\n\r\n', GREAT_RECORDS),
        Ending.CLOSED,
    ),
    (
        Answer(
            'chunks',
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
            b'20\r\n' + GREAT_RECORDS + b'\r\n0\r\n\r\n',
            content=GREAT_RECORDS,
        ),
        Ending.CLOSED,
    ),
    (
        Answer('no length', HEAD + b'\r\n', GREAT_RECORDS, Framing.CLOSE),
        Ending.RESET,
    ),
)


def _cuts(answer: Answer) -> range:
    """Return the cuts from the end of the head on."""
    return range(len(answer.head) - 2, len(answer.wire) + 1)


async def _gather(address: str) -> BatchAnswered:
    """Return the reply of the other host to a batch of both shards."""
    client = PeerClient(lambda _: None)
    gathering = client.gather(
        address,
        make_gather_request(
            services=SERVICES,
            late_s=END_TIMEOUT_S,
        ),
    )
    async with contextlib.aclosing(gathering) as replies:
        async with asyncio.timeout(END_TIMEOUT_S):
            reply = await anext(replies)
    client.close()
    assert isinstance(reply, BatchAnswered)
    return reply


async def _relay(address: str) -> AttemptOutcome:
    """Return the outcome of a request to the second shard."""
    client = PeerClient(lambda _: None)
    async with asyncio.timeout(END_TIMEOUT_S):
        outcome = await client.relay(
            address,
            make_relay_request(service=SERVICES[1]),
        )
    client.close()
    return outcome


class BrokenPartTest(unittest.IsolatedAsyncioTestCase):
    """A host replies for targets, of which the second breaks off."""

    async def asyncSetUp(self) -> None:
        """Start both targets."""
        self._targets = (CuttingTarget(), CuttingTarget())
        self.enterContext(link_patiently())
        for target in self._targets:
            await self.enterAsyncContext(target)
        self._targets[0].cut_off(WHOLE_PART, Ending.CLOSED, bytewise=False)

    @contextlib.asynccontextmanager
    async def _host(self) -> AsyncIterator[str]:
        """Run a host that knows nothing of earlier attempts."""
        records = tuple(
            make_record(f't-{service}', service, address=target.address)
            for service, target in zip(SERVICES, self._targets, strict=True)
        )
        targets = TargetClient(PlatformWireProtocol(), RecordingObserver())
        server, address = await start_peer_server(
            make_placement(records=records)[0], targets
        )
        yield address
        server.close()
        targets.close()
        await asyncio.sleep(0)

    async def test_batches(self) -> None:
        """Guards against records and signatures of part of an answer."""
        for answer, ending in BROKEN_PARTS:
            for cut in _cuts(answer):
                self._targets[1].cut_off(
                    answer.wire[:cut], ending, bytewise=False
                )
                async with self._host() as address:
                    reply = await _gather(address)
                whole = answer.expected(cut, ending, without_body=False)
                signatures = {SERVICES[0]: 's0'}
                if whole is not None:
                    signatures[SERVICES[1]] = 's1'
                with self.subTest(answer.name, cut=cut):
                    self.assertEqual(reply.signatures, signatures)
                    self.assertEqual(reply.body, whole or SMALL_RECORD)
                    failed = SERVICES[1:] if whole is None else ()
                    self.assertEqual(reply.failed, frozenset(failed))

    async def test_relayed_requests(self) -> None:
        """Guards against part of an answer that is relayed as the whole."""
        for answer, ending in BROKEN_PARTS:
            for cut in _cuts(answer):
                self._targets[1].cut_off(
                    answer.wire[:cut], ending, bytewise=False
                )
                async with self._host() as address:
                    outcome = await _relay(address)
                whole = answer.expected(cut, ending, without_body=False)
                with self.subTest(answer.name, cut=cut):
                    if whole is None:
                        self.assertIsInstance(outcome, AttemptLost)
                        continue
                    assert isinstance(outcome, AttemptAnswered)
                    self.assertEqual(outcome.answer.body, whole)
