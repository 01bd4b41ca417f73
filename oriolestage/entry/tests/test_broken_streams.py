"""Tests of streams between hosts on which a message cannot be read."""

import asyncio
import contextlib
import unittest
from unittest.mock import patch

from oriolestage.entry import _peer_server
from oriolestage.entry._compressed_frames import FrameReader, FrameWriter
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import (
    Ping,
    decode_to_peer,
    encode,
)
from oriolestage.entry.tests.broken_streams import (
    BROKEN_STREAMS,
    frames_of,
    reply_to,
    start_host,
)
from oriolestage.entry.tests.peer_requests import (
    link_patiently,
    make_gather_request,
    make_relay_request,
    start_peer_server,
)
from oriolestage.entry.tests.test_peer_link import ScriptedTargets
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptOutcome,
)
from oriolestage.routing._run_types import (
    BatchAnswered,
    BatchLost,
    BatchOutcome,
)
from oriolestage.routing.tests.builders import make_placement, shard_records

#: Time within which a request has to end, in seconds; its deadline is later.
END_TIMEOUT_S = 10.0


class BreakingHost:
    """Sends given bytes on the first stream, and answers on later ones."""

    def __init__(self, content: bytes) -> None:
        """Create a host that sends ``content`` after the first request."""
        self._content = content
        self._served: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait until the client has closed all streams."""
        if self._served:
            await asyncio.wait(self._served)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one stream."""
        task = asyncio.current_task()
        assert task is not None
        self._served.add(task)
        content, self._content = self._content, b''
        requests = FrameReader(reader)
        replies = FrameWriter(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                reply = reply_to(decode_to_peer(await requests.read()))
                if reply and content:
                    writer.write(content)
                elif reply:
                    replies.write(reply)
        writer.close()


class _Client:
    """A client of one host."""

    def __init__(self, address: str) -> None:
        self.client = PeerClient(lambda _: None)
        self._address = address

    async def gather(self) -> BatchOutcome:
        """Return the first reply to a batch."""
        gathering = self.client.gather(self._address, make_gather_request())
        async with contextlib.aclosing(gathering) as replies:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await anext(replies)

    async def relay(self) -> AttemptOutcome:
        """Return the outcome of a request to a single service."""
        async with asyncio.timeout(END_TIMEOUT_S):
            return await self.client.relay(self._address, make_relay_request())


class BrokenReplyTest(unittest.IsolatedAsyncioTestCase):
    """A reply that cannot be read ends its stream, and all requests on it."""

    async def asyncSetUp(self) -> None:
        """Let the client connect on a busy machine."""
        self.enterContext(link_patiently())

    async def _start(self, content: bytes) -> _Client:
        host = BreakingHost(content)
        server, address = await start_host(host.serve)
        self.addAsyncCleanup(host.close)
        self.addCleanup(server.close)
        client = _Client(address)
        self.addCleanup(client.client.close)
        return client

    async def test_batches(self) -> None:
        """Guards against a batch that waits for its deadline.

        The task that reads replies ended with an error that nobody saw. The
        batch may have run; the next one gets a stream of its own.
        """
        for name, content in BROKEN_STREAMS:
            with self.subTest(name):
                client = await self._start(content)
                lost = await client.gather()
                assert isinstance(lost, BatchLost)
                self.assertFalse(lost.not_sent)
                self.assertIsInstance(await client.gather(), BatchAnswered)

    async def test_relayed_requests(self) -> None:
        """A relayed request may have run; the next one is answered."""
        for name, content in BROKEN_STREAMS:
            with self.subTest(name):
                client = await self._start(content)
                self.assertIsInstance(await client.relay(), AttemptLost)
                self.assertIsInstance(await client.relay(), AttemptAnswered)

    async def test_unexpected_error(self) -> None:
        """An error of this program on a reply ends the requests as well."""
        client = await self._start(b'')
        with patch(
            'oriolestage.entry._peer_link.outcome_of_reply',
            side_effect=RuntimeError('bug'),
        ):
            self.assertIsInstance(await client.relay(), AttemptLost)
        self.assertIsInstance(await client.relay(), AttemptAnswered)


class BrokenRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request that cannot be read ends its stream and no other."""

    async def asyncSetUp(self) -> None:
        """Start a server and a client."""
        self.enterContext(link_patiently())
        #: Errors that the event loop has caught.
        self._loop_errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self._loop_errors.append(context)
        )
        placement = make_placement('dc-a', shard_records(4))[0]
        self._targets = ScriptedTargets()
        self._server, address = await start_peer_server(
            placement, self._targets
        )
        self._host, _, port = address.partition(':')
        self._port = int(port)
        self._client = _Client(address)

    async def asyncTearDown(self) -> None:
        """Close both."""
        self._client.client.close()
        self._server.close()

    async def _send(self, content: bytes, *, end: bool) -> None:
        """Send bytes and wait until the server closes the stream."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        writer.write(content)
        if end:
            writer.write_eof()
        async with asyncio.timeout(END_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        writer.close()

    async def test_requests(self) -> None:
        """Guards against a stream whose end nobody logs.

        Other streams go on, and the next one is served.
        """
        await self._client.gather()
        for name, content in BROKEN_STREAMS:
            with (
                self.subTest(name),
                patch.object(_peer_server, 'log_event') as log,
            ):
                await self._send(content, end=False)
                events = [call.args[0] for call in log.call_args_list]
                self.assertEqual(events, ['batch_rejected'])
                self.assertIsInstance(
                    await self._client.gather(), BatchAnswered
                )
        self.assertEqual(self._loop_errors, [])

    async def test_repeated_request(self) -> None:
        """Guards against a request that runs twice, from a copied frame.

        Reordered requests end the stream as well: the one before may be a
        copy.
        """
        gather = make_gather_request(number=1)
        relay = make_relay_request(number=2)
        for numbers in ((1, 1), (2, 2), (1, 2, 1), (2, 1), (1, 2, 2)):
            with self.subTest(numbers=numbers):
                messages = [(gather, relay)[number - 1] for number in numbers]
                content = b''.join(frames_of(map(encode, messages)))
                self._targets.bodies.clear()
                with patch.object(_peer_server, 'log_event') as log:
                    await self._send(content, end=False)
                events = [call.args[0] for call in log.call_args_list]
                self.assertEqual(events.count('batch_rejected'), 1)
                limit = len(gather.services) * (1 in numbers) + (2 in numbers)
                self.assertLessEqual(len(self._targets.bodies), limit)

    async def test_every_cut(self) -> None:
        """A stream may end at any byte of its messages."""
        content = b''.join(
            frames_of(
                encode(message)
                for message in (
                    Ping(),
                    make_gather_request(number=1),
                    make_relay_request(number=2),
                )
            )
        )
        for cut, _ in enumerate(content):
            await self._send(content[:cut], end=True)
        self.assertIsInstance(await self._client.gather(), BatchAnswered)
        self.assertEqual(self._loop_errors, [])


class CutReplyTest(unittest.IsolatedAsyncioTestCase):
    """A reply counts if it is whole, wherever its stream ends."""

    async def test_every_cut(self) -> None:
        """Guards against part of a reply that is taken for the whole."""
        self.enterContext(link_patiently())
        reply = frames_of([reply_to(make_gather_request(number=1))])[0]

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            requests = FrameReader(reader)
            request = decode_to_peer(await requests.read())
            while isinstance(request, Ping):
                request = decode_to_peer(await requests.read())
            writer.write(reply[:cut])
            writer.close()

        for cut in range(len(reply) + 1):
            server, address = await start_host(serve)
            client = _Client(address)
            outcome = await client.gather()
            client.client.close()
            server.close()
            kind = BatchAnswered if cut == len(reply) else BatchLost
            self.assertIsInstance(outcome, kind, cut)
