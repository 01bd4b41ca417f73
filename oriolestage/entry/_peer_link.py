"""The stream to another entry host, with the requests that wait on it."""

import asyncio
import socket
import time
from collections.abc import AsyncGenerator, Callable

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
    RelayAnswered,
    RelayLost,
    RelayNotRun,
    RelayRequest,
    decode_from_peer,
    encode,
)
from oriolestage.entry._quota_wire import QuotaMessage, QuotaVerdicts
from oriolestage.entry._relay_serving import outcome_of_reply
from oriolestage.routing._answers import (
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._peers import LinkState
from oriolestage.routing._run_types import (
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
)
from oriolestage.routing._state_changes import Freshness

#: Timeout for connecting to another host, in seconds. A round trip between
#: regions takes about 40 ms; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 0.3
#: Time without a message after which a stream is pinged, in seconds.
IDLE_BEFORE_PING_S = 0.4
#: Time without an answer to a ping after which a stream is closed, in seconds.
#: A round trip takes about 40 ms; the rest allows for a busy host.
PING_TIMEOUT_S = 0.9
#: Time after which a stream with unacknowledged bytes fails, in ms.
TCP_USER_TIMEOUT_MS = 2000
MS_PER_S = 1000


def _ignore(_: QuotaVerdicts) -> None:
    """Do nothing."""


class PeerLink:
    """The stream to one host."""

    def __init__(
        self,
        address: str,
        on_leaving: Callable[[str], None],
        on_quota: Callable[[QuotaVerdicts], None] = _ignore,
    ) -> None:
        """Create a closed link; :meth:`open` connects it.

        ``on_quota`` is called with the host's answers to reports of quotas.
        """
        self._on_quota = on_quota
        self._address = address
        self._on_leaving = on_leaving
        self._frames: FrameWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._open_lock = asyncio.Lock()
        self._pending: dict[int, asyncio.Queue[BatchOutcome]] = {}
        self._relayed: dict[int, asyncio.Future[AttemptOutcome]] = {}
        self._received_at = time.monotonic()
        self._pinged_at = float('-inf')
        self._freshness: Freshness | None = None
        #: Whether the host reaches no target, by its last pong.
        self._cut_off: bool | None = None

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a reply."""
        return len(self._pending) + len(self._relayed)

    def check_liveness(self) -> LinkState:
        """Ping an idle stream, close an unresponsive one, return its state."""
        now = time.monotonic()
        if self._frames is None:
            return LinkState(float('-inf'), self._freshness, self._cut_off)
        if self._received_at < self._pinged_at:
            if now - self._pinged_at >= PING_TIMEOUT_S:
                self.close('link.silent')
        elif now - self._received_at >= IDLE_BEFORE_PING_S:
            self._pinged_at = now
            self._frames.write(encode(Ping()))
        return LinkState(self._received_at, self._freshness, self._cut_off)

    async def open(self) -> None:
        """Connect unless the stream is open.

        Raises ``OSError`` or ``TimeoutError`` if the host is not reached.
        """
        async with self._open_lock:
            if self._frames is not None:
                return
            reader, writer = await self._connect()
            writer.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
            self._frames = FrameWriter(writer)
            self._received_at = time.monotonic()
            self._pinged_at = float('-inf')
            self._freshness = None
            self._cut_off = None
            self._read_task = asyncio.create_task(
                self._read(FrameReader(reader)),
            )
            # The pong reports the host's freshness before the first batch.
            self._frames.write(encode(Ping()))
            log_event('peer_linked', {'step': 'link', 'peer': self._address})

    @property
    def is_open(self) -> bool:
        """Whether the stream is open, as far as this host knows."""
        return self._frames is not None

    def report(self, message: QuotaMessage) -> None:
        """Send a message about quotas, unless the stream is closed."""
        if self._frames is not None:
            self._frames.write(encode(message))

    async def gather(
        self,
        request: GatherRequest,
    ) -> AsyncGenerator[BatchOutcome, None]:
        """Send a request and yield its replies up to the final one.

        Closing the iterator before that cancels the request at the host.
        """
        frames = self._frames
        if frames is None:
            yield BatchLost('link.closed', not_sent=True)
            return
        if not self._write(frames, request):
            yield BatchLost('link.encode', not_sent=True)
            return
        replies: asyncio.Queue[BatchOutcome] = asyncio.Queue()
        self._pending[request.number] = replies
        final = False
        try:
            while not final:
                outcome = await replies.get()
                final = _is_final(outcome)
                yield outcome
        finally:
            self._pending.pop(request.number, None)
            if not final:
                self._send_cancel(request.number)

    async def relay(self, request: RelayRequest) -> AttemptOutcome:
        """Send a request to a single service and return its outcome.

        Cancelling the call cancels the request at the host.
        """
        frames = self._frames
        if frames is None or not self._write(frames, request):
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        reply = asyncio.get_running_loop().create_future()
        self._relayed[request.number] = reply
        try:
            return await reply
        finally:
            self._relayed.pop(request.number, None)
            if reply.cancelled():
                self._send_cancel(request.number)

    def close(self, step: str) -> None:
        """Close the stream and report its pending requests as lost."""
        if self._frames is None:
            return
        self._frames.close()
        self._frames = None
        if self._read_task is not None:
            self._read_task.cancel()
        log_event(
            'peer_link_lost',
            {
                'step': step,
                'peer': self._address,
                'waiting': self.waiting_count,
            },
        )
        for replies in self._pending.values():
            replies.put_nowait(BatchLost(step, not_sent=False))
        for reply in self._relayed.values():
            if not reply.done():
                reply.set_result(AttemptLost(step))

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(host, int(port))
        except (ValueError, OverflowError) as error:
            # Another writer may have registered any text as an address.
            raise OSError(f'invalid address: {error!r}') from error

    def _write(
        self, frames: FrameWriter, request: GatherRequest | RelayRequest
    ) -> bool:
        """Send a request; log it and return False if no message can have it."""
        try:
            frames.write(encode(request))
        except (ValueError, OverflowError, TypeError) as error:
            log_event(
                'message_not_encoded',
                {
                    'id': request.request_id,
                    'step': 'link',
                    'peer': self._address,
                    'error': repr(error),
                },
            )
            return False
        return True

    def _send_cancel(self, number: int) -> None:
        if self._frames is not None:
            self._frames.write(encode(GatherCancel(number)))

    async def _read(self, frames: FrameReader) -> None:
        try:
            while True:
                self._dispatch(decode_from_peer(await frames.read()))
        except Exception as error:
            # Also errors of this program: nobody else would end the requests.
            self.close(f'link.{type(error).__name__}')

    def _dispatch(self, reply: FromPeer) -> None:
        self._received_at = time.monotonic()
        if isinstance(reply, RelayAnswered | RelayNotRun | RelayLost):
            self._report_leaving(reply)
            relayed = self._relayed.get(reply.number)
            if relayed is not None and not relayed.done():
                relayed.set_result(outcome_of_reply(reply))
            return
        if isinstance(reply, QuotaVerdicts):
            self._on_quota(reply)
            return
        self._freshness = Freshness(
            reply.revision, reply.age_ms / MS_PER_S, reply.era
        )
        if isinstance(reply, Pong):
            self._cut_off = reply.cut_off
            return
        self._report_leaving(reply)
        replies = self._pending.get(reply.number)
        if replies is not None:
            replies.put_nowait(_to_outcome(reply))

    def _report_leaving(self, reply: FromPeer) -> None:
        match reply:
            case GatherReply(leaving=leaving):
                for identity in leaving:
                    self._on_leaving(identity)
            case RelayAnswered(leaving=identity) if identity:
                self._on_leaving(identity)


def _to_outcome(reply: GatherReply | GatherDeclined) -> BatchOutcome:
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
                unreachable=frozenset(reply.unreachable),
            )


def _is_final(outcome: BatchOutcome) -> bool:
    match outcome:
        case BatchAnswered(final=final) | BatchDeclined(final=final):
            return final
        case BatchLost():
            return True
