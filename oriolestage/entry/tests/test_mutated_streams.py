"""Property tests of streams between hosts against mutated messages."""

import asyncio
import contextlib
import logging
import unittest

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.entry._compressed_frames import FrameReader
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import (
    GatherCancel,
    GatherDeclined,
    GatherReply,
    Ping,
    Pong,
    RelayAnswered,
    RelayLost,
    RelayNotRun,
    ToPeer,
    decode_to_peer,
    encode,
)
from oriolestage.entry.tests.broken_streams import (
    BROKEN_STREAMS,
    frames_of,
    start_host,
)
from oriolestage.entry.tests.peer_requests import (
    link_patiently,
    make_gather_request,
    make_relay_request,
    start_peer_server,
)
from oriolestage.entry.tests.test_peer_link import ScriptedTargets
from oriolestage.routing._answers import AttemptOutcome
from oriolestage.routing._run_types import BatchAnswered, BatchOutcome
from oriolestage.routing.tests.builders import make_placement, shard_records

EXAMPLES = 150
#: Time within which a request has to end once its stream has, in seconds.
END_TIMEOUT_S = 10.0
MAX_CHANGES = 4
MAX_DROPPED = 8
MAX_PLACE = 400

REQUESTS = tuple(
    encode(message)
    for message in (
        Ping(),
        make_gather_request(number=1, headers=(('X', 'caf\udce9'),)),
        GatherCancel(1),
        make_relay_request(number=2, headers=(('Host', 'h'),)),
        make_gather_request(number=3, merged=False),
    )
)
REPLIES = tuple(
    encode(message)
    for message in (
        Pong(7, 5, cut_off=False, era=1),
        GatherDeclined(1, {'shard-0': 10}, False, 7, 5, ('shard-0',)),
        GatherReply(
            1, {'shard-1': 's'}, b'r' * 16, {}, ('shard-2',), False, 0.1, 7, 5
        ),
        GatherReply(
            1,
            {'shard-3': 's'},
            b'',
            {'shard-3': b'r' * 16},
            (),
            True,
            0.1,
            7,
            5,
        ),
        RelayNotRun(2, shed=True),
        RelayLost(1, 'target.reset'),
        RelayAnswered(1, 200, (('X', 'caf\udce9'),), b'body', 's', 'i-1'),
    )
)
#: Bytes that a change inserts: MessagePack of all kinds, and frame lengths.
TOKENS = (
    b'',
    b'\x00',
    b'\x91',
    b'\x9f',
    b'\x81\xa1a',
    b'\xc0',
    b'\xc1',
    b'\xc2',
    b'\xa4ping',
    b'\xa1\xff',
    b'\xc4\xff',
    b'\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00',
    b'\xcb\xff\xf0\x00\x00\x00\x00\x00\x00',
    b'\xcf\xff\xff\xff\xff\xff\xff\xff\xff',
    b'\xd3\x80\x00\x00\x00\x00\x00\x00\x00',
    b'\xdb\xff\xff\xff\xff',
    b'\xdd\xff\xff\xff\xff',
    b'\xff\xff\xff\xff',
    b'\x91' * 2000,
)

#: One change: where it starts, the bytes dropped and the bytes inserted.
_Change = tuple[int, int, bytes]
_changes = st.lists(
    st.tuples(
        st.integers(0, MAX_PLACE),
        st.integers(0, MAX_DROPPED),
        st.sampled_from(TOKENS),
    ),
    max_size=MAX_CHANGES,
)


def _mutate(content: bytes, changes: list[_Change]) -> bytes:
    for place, dropped, token in changes:
        start = place % (len(content) + 1)
        content = content[:start] + token + content[start + dropped :]
    return content


@st.composite
def _streams(draw: st.DrawFn, messages: tuple[bytes, ...]) -> bytes:
    """Draw a stream of sound and changed messages, in any order."""
    drawn = draw(st.lists(st.sampled_from(messages), min_size=1, max_size=6))
    if draw(st.booleans()):
        place = draw(st.integers(0, len(drawn) - 1))
        drawn[place] = _mutate(drawn[place], draw(_changes))
    frames = frames_of(drawn)
    if draw(st.booleans()):
        frames = draw(st.permutations(frames))
    content = b''.join(frames)
    if draw(st.booleans()):
        content = _mutate(content, draw(_changes))
    if draw(st.booleans()):
        content += draw(
            st.sampled_from([broken for _, broken in BROKEN_STREAMS])
        )
    return content


class MutatedStreamTest(unittest.TestCase):
    """Whatever a stream holds, its requests end and the next one works."""

    def setUp(self) -> None:
        """Start an event loop that collects what it reports."""
        logging.disable()
        self.enterContext(link_patiently())
        self.addCleanup(logging.disable, logging.NOTSET)
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self._runner.close)
        self._errors: list[object] = []
        self._runner.get_loop().set_exception_handler(
            lambda _, context: self._errors.append(context)
        )

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(content=_streams(REQUESTS))
    def test_requests(self, content: bytes) -> None:
        """A server logs what it cannot read and serves the next stream."""
        outcome = self._runner.run(_send_to_server(content))
        self.assertIsInstance(outcome, BatchAnswered)
        self.assertEqual(self._errors, [])

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(content=_streams(REPLIES))
    def test_replies(self, content: bytes) -> None:
        """A client's requests end with their stream at the latest."""
        self._runner.run(_reply_to_client(content))
        self.assertEqual(self._errors, [])


async def _send_to_server(content: bytes) -> BatchOutcome:
    """Send a stream to a server; return the reply to a batch after it."""
    server, address = await start_peer_server(
        make_placement('dc-a', shard_records(4))[0], ScriptedTargets()
    )
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    writer.write_eof()
    async with asyncio.timeout(END_TIMEOUT_S):
        with contextlib.suppress(ConnectionError):
            await reader.read()
    writer.close()
    client = PeerClient(lambda _: None)
    gathering = client.gather(address, make_gather_request(late_s=1.0))
    async with contextlib.aclosing(gathering) as replies:
        outcome = await anext(replies)
    client.close()
    server.close()
    await asyncio.sleep(0)
    return outcome


async def _reply_to_client(
    content: bytes,
) -> tuple[list[BatchOutcome], AttemptOutcome]:
    """Return how a batch and a relayed request end with these replies."""
    serving: list[asyncio.Task[None]] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        serving.append(task)
        requests = FrameReader(reader)
        request: ToPeer = Ping()
        # The client may close a stream that took too long to open.
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while isinstance(request, Ping):
                request = decode_to_peer(await requests.read())
            writer.write(content)
        writer.close()

    server, address = await start_host(serve)
    client = PeerClient(lambda _: None)
    async with asyncio.timeout(END_TIMEOUT_S):
        gathering = client.gather(address, make_gather_request())
        replies = [reply async for reply in gathering]
        client.close()
        outcome = await client.relay(address, make_relay_request())
    client.close()
    await asyncio.gather(*serving)
    server.close()
    return replies, outcome
