"""A caller's connection that counts what it holds towards a budget."""

import asyncio
import time
from http import HTTPStatus

from aiohttp import web

from oriolestage._logging import log_event
from oriolestage.admission._connection_bounds import WaitingConnection
from oriolestage.admission._memory_budget import Cause, Claim
from oriolestage.entry._caller_connection import (
    CallerConnection,
    RequestPhase,
)
from oriolestage.entry._counted_parser import (
    QUEUED_REQUESTS,
    STOPPED_REQUESTS,
    build_parser,
    max_fields,
)
from oriolestage.entry._held_memory import HeldMemory
from oriolestage.entry._request_bytes import MAX_FIELDS, RequestBytes
from oriolestage.routing._rules import CallerLimits

#: Bytes that a connection takes by itself.
CONNECTION_BYTES = 8192
#: Times that an answer is held until it is sent: by itself, and with its head.
ANSWER_COPIES = 2
#: Bytes of an answer that a client has to take within the idle timeout, unless
#: fewer are left.
MIN_TAKEN_BYTES = 16_384


class CountedConnection(CallerConnection):
    """Takes the next request up once the answer to the last one is taken.

    Its bytes count from the first one until the answer is sent. It may be
    closed in favour of others when too much is held for all.
    """

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: CallerLimits,
        memory: HeldMemory,
    ) -> None:
        """Create the handler of a connection that applies ``limits``."""
        super().__init__(manager, loop, limits)
        self._memory = memory
        self._share = memory.open(self)
        self._bytes = RequestBytes()
        #: Whether the rest of a body is dropped as it arrives.
        self._discarding = False
        #: Monotonic time since which the client has to send or to read.
        self._waiting_since = self.opened_at
        self._write_timer: asyncio.TimerHandle | None = None
        #: Bytes of an answer that had not been sent at the last check.
        self._unsent_bytes = 0
        #: Bytes of the body of the latest answer. They are held until all of
        #: them are sent.
        self._answer_bytes = 0
        self._max_msg_queue_size = STOPPED_REQUESTS
        self._msg_queue_resume_size = QUEUED_REQUESTS // 2
        # The number of fields is limited by the size of the head alone.
        self.max_headers = max_fields(limits)
        self._parser = build_parser(self, loop, limits)

    @property
    def has_long_head(self) -> bool:
        """Whether the present request has more fields than usual.

        The connection would keep them until the next request is answered.
        """
        request = self._current_request
        return request is not None and len(request.raw_headers) > MAX_FIELDS

    @property
    def is_closing(self) -> bool:
        """Whether it is closed, or will be once everything is sent."""
        return self.transport is None or self.transport.is_closing()

    @property
    def waiting(self) -> WaitingConnection | None:
        """For how long it has waited for its client.

        None while a request runs.
        """
        if self._claim() in {Claim.SENT_AHEAD, Claim.RUNNING}:
            return None
        return WaitingConnection(
            id(self),
            self._request_count > int(self._request_in_progress),
            time.monotonic() - self._waiting_since,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to count."""
        super().connection_made(transport)
        self._share.set(Cause.CONNECTION, CONNECTION_BYTES)
        if self.transport is not None:
            # The next request is taken up once an answer is taken in full.
            self.transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release everything once the task of the connection has ended.

        It holds a body until then.
        """
        self._stop_write_timer()
        task = self._task_handler
        super().connection_lost(exc)
        self._bytes.forget_body()
        if task is None or task.done():
            self._share.close()
            return
        share = self._share
        task.add_done_callback(lambda _: share.close())

    def data_received(self, data: bytes) -> None:
        """Pass on bytes, and count what is held for them."""
        share = self._share
        if self._discarding or share.given_up is not None:
            return
        if self._is_idle():
            self._bytes.reset()
            self._waiting_since = time.monotonic()
            share.since = self._waiting_since
        expected = self._bytes.expect(data)
        if not self._memory.budget.has_room(expected - self._bytes.held):
            share.set(Cause.REQUEST, expected)
            if not self._is_admitted():
                return
        known = len(self._messages)
        in_body = self._bytes.in_body
        super().data_received(data)
        self._bytes.receive(data, self._messages, known, in_body=in_body)
        share.set(Cause.REQUEST, self._bytes.held)

    def pause_writing(self) -> None:
        """Watch the progress of a client that has not taken an answer."""
        super().pause_writing()
        self._watch_writing()

    def resume_writing(self) -> None:
        """Note that an answer has been taken."""
        super().resume_writing()
        self._stop_write_timer()
        self._share.set(Cause.ANSWER, 0)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer and release its request."""
        if isinstance(resp, web.Response) and isinstance(resp.body, bytes):
            self._answer_bytes = len(resp.body)
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._waiting_since = time.monotonic()
            self._release_request(request, resp)

    def discard_rest(self) -> None:
        """Drop what arrives from now on, since the connection is closed soon.

        Its end is delayed, so that the client can read the answer.
        """
        self._discarding = True
        self._parser = None

    def refresh_share(self) -> Claim:
        """Bring the share up to date; return what the connection waits for."""
        self._count_answer()
        return self._claim()

    def close_for_memory(self) -> None:
        """Close the connection, and refuse a request that has not run."""
        self.close_early('memory')

    def close_early(self, reason: str, *, has_input: bool = False) -> None:
        """Close the connection, and refuse a request that has not run.

        ``has_input`` tells that bytes of a request have arrived that were not
        passed on.
        """
        phase = self.unfinished_phase
        unsent_bytes = self._count_unsent()
        log_event(
            'connection_closed',
            {
                'step': 'caller',
                'reason': reason,
                'phase': 'idle' if phase is None else phase.value,
                'held_bytes': self._bytes.held,
                'unsent_bytes': unsent_bytes,
            },
        )
        if self.is_closing:
            return
        runs = self._claim() in {Claim.SENT_AHEAD, Claim.RUNNING}
        if unsent_bytes or runs or (phase is None and not has_input):
            self.abort()
            return
        self.refuse_now(HTTPStatus.SERVICE_UNAVAILABLE)

    def _process_keepalive(self) -> None:
        """Close an idle connection, but not one whose head is being read.

        The time for a head has a limit of its own.
        """
        if self._head_bytes:
            self._keepalive_handle = None
            return
        super()._process_keepalive()

    def _is_admitted(self) -> bool:
        """Return whether more bytes may be parsed, or close the connection."""
        if not self._memory.admit() and self._share.given_up is None:
            self._memory.record_refusal('memory_full')
            self._share.give_up()
            self.close_early('memory_full', has_input=True)
        return self._share.given_up is None

    def _is_idle(self) -> bool:
        """Return whether no byte of a request is held."""
        waiter = self._waiter
        if self._head_bytes or waiter is None:
            return False
        return not waiter.done()

    def _claim(self) -> Claim:
        if self._count_unsent():
            return Claim.CLIENT
        latest = self.latest_request
        runs = latest is not None and latest.phase != RequestPhase.BODY
        if self._request_in_progress and runs:
            return Claim.SENT_AHEAD if self._messages else Claim.RUNNING
        return Claim.IDLE if self._is_idle() else Claim.CLIENT

    def _count_unsent(self) -> int:
        """Return the number of bytes that the system has not taken yet."""
        writing = self._writing_transport
        return 0 if writing is None else writing.get_write_buffer_size()

    def _count_answer(self) -> None:
        """Count an answer in full until all of it is sent."""
        held_bytes = self._count_unsent()
        if held_bytes:
            held_bytes = ANSWER_COPIES * max(held_bytes, self._answer_bytes)
        self._share.set(Cause.ANSWER, held_bytes)

    def _release_request(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Release a request that was answered, but its head.

        The connection refers to its latest head and answer until the next
        request is answered.
        """
        kept_bytes = self._bytes.end_request(request, more=bool(self._messages))
        self._share.set(Cause.REQUEST, self._bytes.held)
        self._share.set(Cause.CONNECTION, CONNECTION_BYTES + kept_bytes)
        if isinstance(response, web.Response):
            response.body = None

    def _watch_writing(self) -> None:
        self._unsent_bytes = self._count_unsent()
        self._count_answer()
        self._stop_write_timer()
        self._write_timer = self._loop.call_later(
            self._limits.idle_timeout_s, self._check_writing
        )
        self._memory.relieve()

    def _check_writing(self) -> None:
        """Close the connection of a client that hardly reads its answer."""
        taken = self._unsent_bytes - self._count_unsent()
        if taken < min(MIN_TAKEN_BYTES, self._unsent_bytes):
            self._memory.record_refusal('answer_not_taken')
            self.close_early('answer_not_taken')
            return
        self._watch_writing()

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
