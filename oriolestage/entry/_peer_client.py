"""Asks other entry hosts to gather shards in their region.

There is one stream to each host, kept open: a request across regions then
costs one way there and back, and giving it up does not close the stream.
"""

import asyncio
import contextlib
import itertools
import socket
import time
from collections.abc import AsyncGenerator

import msgspec

from oriolestage._logging import log_event
from oriolestage.entry._compressed_frames import FrameReader, FrameWriter
from oriolestage.entry._peer_messages import (
    FromPeer,
    GatherCancel,
    GatherDeclined,
    GatherReply,
    GatherRequest,
    Ping,
    Pong,
    decode_from_peer,
    encode,
)
from oriolestage.relay._beliefs import Freshness
from oriolestage.relay._peers import LinkState
from oriolestage.relay._run_types import (
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
)

#: Longest wait for a connection to another host, in seconds: a way there
#: and back takes some 40 ms; a lost opening packet is repeated after 1 s.
CONNECT_TIMEOUT_S = 0.3
#: A stream on which nothing came for this time is pinged, in seconds.
QUIET_S = 0.4
#: A stream whose ping is not answered for this time is replaced, in seconds;
#: a way there and back takes some 40 ms, and a host may be busy.
SILENCE_S = 0.9
#: Errors that end a stream.
LINK_ERRORS = (
    asyncio.IncompleteReadError,
    OSError,
    ValueError,
    msgspec.DecodeError,
)
#: Unacknowledged bytes break a stream after this time, milliseconds.
TCP_USER_TIMEOUT_MS = 2000
MS_PER_S = 1000


class _Link:
    """One stream to a host."""

    def __init__(self, address: str) -> None:
        """Prepare the stream; it is opened by the first request."""
        self._address = address
        self._frames: FrameWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._waiting: dict[int, asyncio.Queue[BatchOutcome]] = {}
        self._received_at = time.monotonic()
        self._pinged_at = float('-inf')
        self._freshness: Freshness | None = None

    def check_links(self) -> LinkState:
        """Ping a quiet stream; give what was last heard on it."""
        now = time.monotonic()
        if self._frames is None:
            return LinkState(float('-inf'), self._freshness)
        if self._received_at < self._pinged_at:
            if now - self._pinged_at >= SILENCE_S:
                self.close('link.silent')
        elif now - self._received_at >= QUIET_S:
            self._pinged_at = now
            self._frames.write(encode(Ping()))
        return LinkState(self._received_at, self._freshness)

    async def open(self) -> None:
        """Open the stream if it is not; raises OSError or TimeoutError."""
        async with self._opening:
            if self._frames is not None:
                return
            host, _, port = self._address.rpartition(':')
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
            self._frames = FrameWriter(writer)
            self._received_at = time.monotonic()
            self._pinged_at = float('-inf')
            self._freshness = None
            self._reading = asyncio.create_task(
                self._read(FrameReader(reader)),
            )
            # The answer tells early how new the host's knowledge is.
            self._frames.write(encode(Ping()))
            log_event('peer_linked', {'step': 'link', 'peer': self._address})

    async def ask(
        self,
        request: GatherRequest,
    ) -> AsyncGenerator[BatchOutcome, None]:
        """Send a request; give its replies up to the final one."""
        frames = self._frames
        if frames is None:
            yield BatchLost('link.closed', not_sent=True)
            return
        replies: asyncio.Queue[BatchOutcome] = asyncio.Queue()
        self._waiting[request.number] = replies
        frames.write(encode(request))
        final = False
        try:
            while not final:
                outcome = await replies.get()
                final = _is_final(outcome)
                yield outcome
        finally:
            self._waiting.pop(request.number, None)
            if not final:
                self._give_up(request.number)

    def close(self, step: str) -> None:
        """Close the stream; what waits for replies is lost."""
        if self._frames is None:
            return
        self._frames.close()
        self._frames = None
        if self._reading is not None:
            self._reading.cancel()
        log_event(
            'peer_link_lost',
            {
                'step': step,
                'peer': self._address,
                'waiting': len(self._waiting),
            },
        )
        for replies in self._waiting.values():
            replies.put_nowait(BatchLost(step, not_sent=False))

    def _give_up(self, number: int) -> None:
        if self._frames is not None:
            self._frames.write(encode(GatherCancel(number)))

    async def _read(self, frames: FrameReader) -> None:
        try:
            while True:
                self._take(decode_from_peer(await frames.read()))
        except LINK_ERRORS as error:
            self.close(f'link.{type(error).__name__}')

    def _take(self, reply: FromPeer) -> None:
        self._received_at = time.monotonic()
        self._freshness = Freshness(reply.revision, reply.age_ms / MS_PER_S)
        if isinstance(reply, Pong):
            return
        waiting = self._waiting.get(reply.number)
        if waiting is not None:
            waiting.put_nowait(_outcome_of(reply))


def _outcome_of(reply: GatherReply | GatherDeclined) -> BatchOutcome:
    match reply:
        case GatherReply():
            return BatchAnswered(
                signatures=reply.signatures,
                body=reply.body,
                bodies=reply.bodies,
                failed=frozenset(reply.failed),
                final=reply.final,
                work_s=reply.work_s,
            )
        case GatherDeclined():
            waits = reply.retry_after_ms.items()
            return BatchDeclined(
                {service: wait_ms / MS_PER_S for service, wait_ms in waits},
                final=reply.final,
            )


def _is_final(outcome: BatchOutcome) -> bool:
    match outcome:
        case BatchAnswered(final=final) | BatchDeclined(final=final):
            return final
        case BatchLost():
            return True


class PeerClient:
    """Keeps a stream to each other entry host."""

    def __init__(self) -> None:
        """Prepare the client; streams are opened on demand."""
        self._links: dict[str, _Link] = {}
        self._numbers = itertools.count(1)

    def close(self) -> None:
        """Close all streams."""
        for link in self._links.values():
            link.close('link.stop')

    async def gather(
        self,
        address: str,
        request: GatherRequest,
    ) -> AsyncGenerator[BatchOutcome, None]:
        """Ask one host; give its replies.

        Closing the iterator early makes the host stop.
        """
        link = self._links.setdefault(address, _Link(address))
        try:
            await link.open()
        except (OSError, TimeoutError) as error:
            yield BatchLost(f'link.{type(error).__name__}', not_sent=True)
            return
        numbered = msgspec.structs.replace(
            request,
            number=next(self._numbers),
        )
        async with contextlib.aclosing(link.ask(numbered)) as replies:
            async for outcome in replies:
                yield outcome

    async def check_links(self, addresses: set[str]) -> dict[str, LinkState]:
        """Give what was heard of each host; open and close streams."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).close('link.unregistered')
        links = {
            address: self._links.setdefault(address, _Link(address))
            for address in addresses
        }
        await asyncio.gather(
            *(link.open() for link in links.values()),
            return_exceptions=True,
        )
        return {address: link.check_links() for address, link in links.items()}
