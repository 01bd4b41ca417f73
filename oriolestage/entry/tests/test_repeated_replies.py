"""Tests of replies of other hosts that arrive twice."""

import asyncio
import contextlib
import unittest

from oriolestage.entry._compressed_frames import FrameReader, FrameWriter
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import (
    RelayRequest,
    decode_to_peer,
)
from oriolestage.entry.tests.broken_streams import reply_to
from oriolestage.entry.tests.peer_requests import make_gather_request
from oriolestage.routing._answers import AttemptAnswered
from oriolestage.routing._run_types import BatchAnswered

#: Requests sent over one stream.
REQUESTS = 5
#: Time from a reply to its second copy, in seconds, while the next request
#: waits for its own.
COPY_DELAY_S = 0.01


async def _serve_twice(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send each reply at once, and again before the reply to the next."""
    requests = FrameReader(reader)
    replies = FrameWriter(writer)
    earlier = b''
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        while True:
            reply = reply_to(decode_to_peer(await requests.read()))
            if not reply:
                continue
            if earlier:
                replies.write(earlier)
                await asyncio.sleep(COPY_DELAY_S)
            replies.write(reply)
            earlier = reply
    writer.close()


def _make_relay_request(name: str) -> RelayRequest:
    return RelayRequest(
        number=0,
        request_id=name,
        route='r',
        service='shard-0',
        method='GET',
        path='/x',
        headers=(),
        body=b'',
        regions=(),
        repeatable=True,
        time_left_s=2.0,
    )


class RepeatedReplyTest(unittest.IsolatedAsyncioTestCase):
    """A second copy of a reply is not taken for that to another request."""

    async def asyncSetUp(self) -> None:
        """Start a host that sends each reply twice."""
        self._server = await asyncio.start_server(_serve_twice, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = f'127.0.0.1:{port}'
        self._client = PeerClient(lambda _: None)

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self._client.close()
        self._server.close()

    async def test_batches(self) -> None:
        """Each batch gets the signatures of its own request."""
        for number in range(REQUESTS):
            name = f'request-{number}'
            gathering = self._client.gather(
                self._address, make_gather_request(request_id=name)
            )
            replies = [reply async for reply in gathering]
            self.assertEqual(len(replies), 1)
            assert isinstance(replies[0], BatchAnswered)
            self.assertEqual(replies[0].signatures, {'shard-0': name})

    async def test_relayed_requests(self) -> None:
        """Each relayed request gets the body of its own answer."""
        for number in range(REQUESTS):
            name = f'request-{number}'
            outcome = await self._client.relay(
                self._address, _make_relay_request(name)
            )
            assert isinstance(outcome, AttemptAnswered)
            self.assertEqual(outcome.answer.body, name.encode())
