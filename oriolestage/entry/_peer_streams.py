"""The streams of other hosts, with bounds on what they take together."""

import asyncio
import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.admission._connection_bounds import (
    WaitingConnection,
    choose_left,
)
from oriolestage.admission._memory_budget import Cause, Claim
from oriolestage.entry._caller_connections import ConnectionGuard
from oriolestage.entry._compressed_frames import FrameBounds
from oriolestage.entry._held_memory import HeldMemory, MemoryShare
from oriolestage.routing._rules import CallerLimits

#: Bytes that a stream takes by itself: two DEFLATE contexts and buffers.
STREAM_BYTES = 65_536
#: Smallest limit on the size of a message from another host, in bytes.
MIN_MESSAGE_BYTES = 1_048_576
#: Bytes of a message for each byte of a caller's request: texts of headers may
#: take two bytes for each of theirs.
MESSAGE_FACTOR = 2
#: Time without a message after which a stream may be closed in favour of a new
#: one, in seconds. A host pings a stream that it uses after 0.4 s and gives it
#: up after 0.9 s more; this host may have been paused for some seconds.
SILENT_S = 10.0


class PeerStream:
    """What is held for one stream."""

    def __init__(
        self, writer: asyncio.StreamWriter, memory: HeldMemory | None
    ) -> None:
        """Count what is held for a new stream towards a budget, if any."""
        self._writer = writer
        #: Monotonic time of the latest message, or of the start.
        self._received_at = time.monotonic()
        self._received = False
        self._held_bytes = 0
        self._share: MemoryShare | None = None
        if memory is not None:
            self._share = memory.open(self)
            self._share.set(Cause.CONNECTION, STREAM_BYTES)

    @property
    def waiting(self) -> WaitingConnection | None:
        """For how long no message has come.

        None if one has come within `SILENT_S`. A host that was lost, or that
        has given the stream up while its link was cut, does not close it.
        """
        waited_s = time.monotonic() - self._received_at
        if self._received and waited_s < SILENT_S:
            return None
        return WaitingConnection(id(self), self._received, waited_s)

    def frame_bounds(self, limits: CallerLimits) -> FrameBounds | None:
        """Return the bounds on messages; None without a budget."""
        if self._share is None:
            return None
        request_bytes = limits.header_bytes + limits.body_bytes
        return FrameBounds(
            max(MIN_MESSAGE_BYTES, MESSAGE_FACTOR * request_bytes),
            self._note_held,
        )

    def note_message(self) -> None:
        """Note that a message is complete."""
        self._received = True
        self._received_at = time.monotonic()

    def refresh_share(self) -> Claim:
        """Bring the share up to date; return what the stream waits for."""
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        if self._share is not None:
            self._share.set(Cause.ANSWER, unsent_bytes)
        if unsent_bytes or self._held_bytes or not self._received:
            return Claim.CLIENT
        return Claim.RUNNING

    def close_for_memory(self) -> None:
        """Cut the stream."""
        self.cut('memory')

    def cut(self, reason: str) -> None:
        """Close the stream at once."""
        log_event(
            'connection_closed',
            {'step': 'peer', 'reason': reason, 'held_bytes': self._held_bytes},
        )
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the stream once everything is sent."""
        if self._share is not None:
            self._share.close()
        self._writer.close()

    def _note_held(self, held_bytes: int) -> None:
        share = self._share
        if share is None:
            return
        if not self._held_bytes:
            share.since = time.monotonic()
        self._held_bytes = held_bytes
        share.set(Cause.HOST_MESSAGE, held_bytes)
        if share.memory.budget.exceeded:
            share.memory.relieve()


class PeerStreams:
    """The open streams."""

    def __init__(
        self, guard: ConnectionGuard, limits: Callable[[], CallerLimits]
    ) -> None:
        """Start without streams; ``limits`` returns the configured limits."""
        self._guard = guard
        self._limits = limits
        self._open: dict[int, PeerStream] = {}

    def add(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerStream | None:
        """Return a new stream; None if there is no room for it."""
        if not self._make_room():
            writer.transport.abort()
            return None
        stream = PeerStream(writer, self._guard.memory)
        self._open[id(stream)] = stream
        return stream

    def bounds_of(self, stream: PeerStream) -> FrameBounds | None:
        """Return the bounds on the messages of a stream."""
        return stream.frame_bounds(self._limits())

    def remove(self, stream: PeerStream) -> None:
        """Close a stream."""
        self._open.pop(id(stream), None)
        stream.close()

    def close(self) -> None:
        """Close all streams."""
        for stream in self._open.values():
            stream.close()

    def _make_room(self) -> bool:
        """Return whether there is room, also by closing silent streams."""
        bound = self._guard.connections
        if bound is None or len(self._open) < bound:
            return True
        states = (stream.waiting for stream in self._open.values())
        chosen = choose_left(filter(None, states), bound)
        for state in chosen:
            self._open.pop(state.number).cut('connections')
            if self._guard.memory is not None:
                self._guard.memory.record_refusal('host_connections')
        return bool(chosen)
