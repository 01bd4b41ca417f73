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

from oriolestage._frames import read_frame
from oriolestage._logging import log_event
from oriolestage.entry._peer_messages import (
    GatherCancel,
    GatherReply,
    GatherRequest,
    decode_reply,
    encode_frame,
)
from oriolestage.relay._run_types import (
    BatchAnswered,
    BatchLost,
    BatchOutcome,
)

#: Longest wait for a connection to another host, in seconds: a way there
#: and back takes some 40 ms; a lost opening packet is repeated after 1 s.
CONNECT_TIMEOUT_S = 0.3
#: A stream on which nothing came for this time after a request is replaced,
#: in seconds; a host answers even late batches sooner.
SILENCE_S = 0.4
#: Errors that end a stream.
LINK_ERRORS = (
    asyncio.IncompleteReadError,
    OSError,
    ValueError,
    msgspec.DecodeError,
)
#: Unacknowledged bytes break a stream after this time, milliseconds.
UNACKNOWLEDGED_LIMIT_MS = 2000


class _Link:
    """One stream to a host."""

    def __init__(self, address: str) -> None:
        """Prepare the stream; it is opened by the first request."""
        self._address = address
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._waiting: dict[int, asyncio.Queue[BatchOutcome]] = {}
        self._received_at = time.monotonic()

    async def open(self) -> None:
        """Open the stream if it is not; raises OSError or TimeoutError."""
        async with self._opening:
            if self._writer is not None:
                return
            host, _, port = self._address.rpartition(':')
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_LIMIT_MS,
            )
            self._writer = writer
            self._reading = asyncio.create_task(self._read(reader))
            log_event('peer_linked', {'step': 'link', 'peer': self._address})

    async def ask(
        self,
        request: GatherRequest,
    ) -> AsyncGenerator[BatchOutcome, None]:
        """Send a request; give its replies up to the final one."""
        writer = self._writer
        if writer is None:
            yield BatchLost('link.closed', not_sent=True)
            return
        sent_at = time.monotonic()
        replies: asyncio.Queue[BatchOutcome] = asyncio.Queue()
        self._waiting[request.number] = replies
        writer.write(encode_frame(request))
        final = False
        try:
            while not final:
                outcome = await replies.get()
                final = _is_final(outcome)
                yield outcome
        finally:
            self._waiting.pop(request.number, None)
            if not final:
                self._give_up(request.number, sent_at)

    def close(self, step: str) -> None:
        """Close the stream; what waits for replies is lost."""
        if self._writer is None:
            return
        self._writer.close()
        self._writer = None
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

    def _give_up(self, number: int, sent_at: float) -> None:
        if self._writer is None:
            return
        self._writer.write(encode_frame(GatherCancel(number)))
        silent_s = time.monotonic() - max(sent_at, self._received_at)
        if self._received_at < sent_at and silent_s > SILENCE_S:
            self.close('link.silent')

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                self._take(decode_reply(await read_frame(reader)))
        except LINK_ERRORS as error:
            self.close(f'link.{type(error).__name__}')

    def _take(self, reply: GatherReply) -> None:
        self._received_at = time.monotonic()
        waiting = self._waiting.get(reply.number)
        if waiting is None:
            return
        waiting.put_nowait(
            BatchAnswered(
                signatures=reply.signatures,
                body=reply.body,
                bodies=reply.bodies,
                not_sent=frozenset(reply.not_sent),
                failed=frozenset(reply.failed),
                final=reply.final,
                work_s=reply.work_s,
            ),
        )


def _is_final(outcome: BatchOutcome) -> bool:
    match outcome:
        case BatchAnswered(final=final):
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

    async def prepare(self, addresses: set[str]) -> None:
        """Open the streams to known hosts and close those to others."""
        for address in self._links.keys() - addresses:
            self._links.pop(address).close('link.unregistered')
        for address in addresses:
            link = self._links.setdefault(address, _Link(address))
            with contextlib.suppress(OSError, TimeoutError):
                await link.open()
