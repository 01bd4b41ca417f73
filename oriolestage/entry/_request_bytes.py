"""Counts the bytes that a connection holds for requests of its caller."""

from collections.abc import Collection
from itertools import islice

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from oriolestage.entry._caller_framing import head_bytes

#: Fields of a head that the parser accepts by default.
MAX_FIELDS = 128
#: Shortest line of a field: a name of one character, a colon and the line end.
MIN_FIELD_BYTES = 4
#: Bytes that a field takes beside its text once it is parsed.
FIELD_BYTES = 512
#: Most fields that are expected in received bytes, of which the parser takes a
#: few heads at once.
MAX_EXPECTED_FIELDS = 4096
#: Bytes that the parser keeps for the ends of chunks.
CHUNKS_BYTES = 262_144
#: Most bytes that are counted for a head after its request. One with more than
#: `MAX_FIELDS` fields is not kept.
MAX_KEPT_BYTES = 131_072
LINE_END = b'\n'


class RequestBytes:
    """An estimate of what is held, from the first byte to the answer."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._held = 0
        #: Body of the latest request whose head is complete.
        self._body: StreamReader | None = None
        self._chunked = False

    @property
    def held(self) -> int:
        """Bytes that are held, of heads, bodies and parsed fields."""
        if self._chunked:
            return self._held + CHUNKS_BYTES
        return self._held

    @property
    def in_body(self) -> bool:
        """Whether the next bytes continue a body."""
        return self._body is not None and not self._body.is_eof()

    def reset(self) -> None:
        """Forget everything: no request has begun."""
        self._held = 0
        self._chunked = False

    def forget_body(self) -> None:
        """Drop the latest body, which refers to its connection."""
        self._body = None

    def expect(self, received: bytes) -> int:
        """Return how much would be held at most after parsing some bytes.

        Unless they are part of a body, each line may be a field.
        """
        fields = 0
        if not self.in_body:
            fields = min(received.count(LINE_END), MAX_EXPECTED_FIELDS)
        return self.held + len(received) + fields * FIELD_BYTES

    def receive(
        self,
        received: bytes,
        queued: Collection[tuple[object, StreamReader]],
        known: int,
        *,
        in_body: bool,
    ) -> None:
        """Add received bytes.

        ``queued`` has the messages that wait, of which ``known`` were there
        before. ``in_body`` tells whether the bytes begin within a body.
        """
        fields = 0
        if len(queued) > known:
            for message, body in islice(queued, known, None):
                self._body = body
                if isinstance(message, RawRequestMessage):
                    fields += len(message.raw_headers)
                    self._chunked = message.chunked
                else:
                    _drop_traceback(message)
        if not fields and not in_body:
            fields = min(received.count(LINE_END), MAX_EXPECTED_FIELDS)
        self._held += len(received) + fields * FIELD_BYTES

    def end_request(self, request: web.BaseRequest, *, more: bool) -> int:
        """Subtract a request that was answered; return the size of its head.

        ``more`` tells whether other requests wait.
        """
        body_bytes = request.content.total_bytes
        if not more:
            kept = self._held - body_bytes
            self._held = 0
            self._chunked = False
            return max(0, min(kept, MAX_KEPT_BYTES))
        head = head_bytes(request) + len(request.raw_headers) * FIELD_BYTES
        self._held = max(0, self._held - head - body_bytes)
        return head


def _drop_traceback(message: object) -> None:
    """Release what the error of a malformed head refers to.

    The traceback of such an error holds the received bytes, and the error is
    part of a reference cycle.
    """
    error = getattr(message, 'exc', None)
    if isinstance(error, Exception):
        error.with_traceback(None)
