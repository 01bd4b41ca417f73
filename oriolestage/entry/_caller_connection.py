"""A caller's connection with limits on the head of each request."""

import asyncio
import dataclasses
import enum
import fcntl
import struct
import termios
import time
from http import HTTPStatus

from aiohttp import web

from oriolestage._logging import log_event
from oriolestage.entry._round_trips import DEFAULT_ROUND_TRIP_S, round_trip_s
from oriolestage.routing._rules import CallerLimits

#: Time for which the rest of a rejected body is read, in seconds.
LINGERING_TIME_S = 1.0
#: Time that a new connection gets for its first request while the host is
#: being stopped, in seconds. A caller sends it once it is connected.
FIRST_REQUEST_S = 0.25
#: Format of the number of unread bytes that the system returns.
UNREAD_FORMAT = 'i'


class RequestPhase(enum.Enum):
    """What a connection with an unfinished request waits for."""

    HEAD = 'head'
    BODY = 'body'
    TARGETS = 'targets'
    #: The answer has not been sent in full.
    ANSWER = 'answer'


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that a connection has begun to read."""

    request_id: str
    #: Monotonic time at which its head was read, in seconds.
    arrived_at: float
    phase: RequestPhase


class CallerConnection(web.RequestHandler):
    """Closes a connection whose request head is too slow or too long.

    A head is the request line and the headers. aiohttp itself limits only the
    length of each line and the idle time between requests.
    """

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: CallerLimits,
    ) -> None:
        """Create the handler of a connection that applies ``limits``."""
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGERING_TIME_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        #: The latest request whose head was read.
        self.latest_request: OpenRequest | None = None
        #: Whether its request was refused with the promise that it has not
        #: run.
        self.refused = False
        self._limits = limits
        #: The transport, also while it writes the rest before it closes.
        self._writing_transport: asyncio.Transport | None = None
        self._opened_at = time.monotonic()
        self._round_trip_s = DEFAULT_ROUND_TRIP_S
        #: Bytes received of a request head that is not complete yet.
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def opened_at(self) -> float:
        """Monotonic time at which the connection was opened, in seconds."""
        return self._opened_at

    @property
    def has_long_head(self) -> bool:
        """Whether the present request has more fields than usual."""
        return False

    @property
    def has_more_input(self) -> bool:
        """Whether bytes have arrived after the request in progress."""
        return bool(self._messages) or self._unread_bytes() > 0

    @property
    def unfinished_phase(self) -> RequestPhase | None:
        """What the request in progress waits for; None if there is none."""
        latest = self.latest_request
        if latest is not None and not self._is_answered():
            return latest.phase
        if self._messages or self._head_bytes or self._unread_bytes():
            return RequestPhase.HEAD
        return None

    @property
    def network_delay_s(self) -> float:
        """Time that a caller loses to the network for a request, in seconds.

        It is one round trip, and two for the first request of a connection,
        because the caller also waited for the connection to be set up.
        """
        round_trips = 2 if self._request_count <= 1 else 1
        return round_trips * self._round_trip_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer for the first request, which is the idle timeout."""
        super().connection_made(transport)
        self._writing_transport = self.transport
        self._round_trip_s = round_trip_s(transport)
        self._start_head_timer(self._limits.idle_timeout_s, 'no_request')

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer."""
        self._stop_head_timer()
        self._writing_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Apply the limits on size and time until a head is complete."""
        super().data_received(data)
        if not self._is_head_incomplete():
            self._head_bytes = 0
            self._stop_head_timer()
            return
        if not self._head_bytes:
            self._stop_head_timer()
            self._start_head_timer(
                self._limits.header_timeout_s,
                'head_too_slow',
            )
        self._head_bytes += len(data)
        if self._head_bytes > self._limits.header_bytes:
            self._reject_head(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head_too_long',
            )

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served.

        A new connection gets a little time for its first request.
        """
        if self._waiter is None or self._waiter.done() or self._head_bytes:
            return
        age_s = time.monotonic() - self._opened_at
        expects_first = not self._request_count and age_s < FIRST_REQUEST_S
        if not expects_first and not self.has_more_input:
            self.force_close()

    def refuse_head(self) -> None:
        """Refuse a request of which a part of the head has arrived."""
        if self._head_bytes:
            self._reject_head(HTTPStatus.SERVICE_UNAVAILABLE, 'stopping')

    def refuse_now(self, status: HTTPStatus) -> None:
        """Refuse the request that is being read and close the connection.

        It must not have run.
        """
        self.refused = True
        self._stop_head_timer()
        if self.transport is None:
            return
        line = f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        fields = 'Content-Length: 0\r\nConnection: close\r\n\r\n'
        self.transport.write(f'{line}{fields}'.encode())
        self.close()
        self.transport.close()

    def discard_rest(self) -> None:
        """Do not hold more of a body that is not read. Nothing by default."""

    def abort(self) -> None:
        """Close the connection at once and drop what was not sent yet."""
        if self._writing_transport is not None:
            self._writing_transport.abort()

    def _is_answered(self) -> bool:
        """Return whether the answer to the latest request was sent."""
        if self._request_in_progress:
            return False
        writing = self._writing_transport
        return writing is None or writing.get_write_buffer_size() == 0

    def _unread_bytes(self) -> int:
        """Return the number of bytes that wait to be read from the system."""
        if self.transport is None or self.transport.is_closing():
            return 0
        descriptor = self.transport.get_extra_info('socket').fileno()
        empty = struct.pack(UNREAD_FORMAT, 0)
        counted = fcntl.ioctl(descriptor, termios.FIONREAD, empty)
        return int(struct.unpack(UNREAD_FORMAT, counted)[0])

    def _is_head_incomplete(self) -> bool:
        """Return whether the latest bytes belong to an incomplete head."""
        if self._messages or self._request_in_progress:
            return False
        if self._waiter is None:
            # Before the first request, or while a rejected body is skipped.
            return not self._request_count
        return not self._waiter.done()

    def _start_head_timer(self, timeout_s: float, reason: str) -> None:
        self._head_timer = self._loop.call_later(
            timeout_s,
            self._reject_head,
            HTTPStatus.REQUEST_TIMEOUT,
            reason,
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_head(self, status: HTTPStatus, reason: str) -> None:
        self._stop_head_timer()
        if self.transport is None or self.transport.is_closing():
            return
        log_event(
            'request_rejected',
            {'reason': reason, 'head_bytes': self._head_bytes},
        )
        if self._head_bytes:
            self.refuse_now(status)
            return
        self.close()
        self.transport.close()
