"""A caller's connection with bounds on the head of each request."""

import asyncio
import time
from http import HTTPStatus

from aiohttp import web

from oriolestage._logging import log_event
from oriolestage.entry._round_trips import DEFAULT_ROUND_TRIP_S, round_trip_s
from oriolestage.relay._rules import CallerLimits

#: Time for which bytes of a refused body are read, in seconds.
LINGER_S = 1.0


class CallerConnection(web.RequestHandler):
    """Ends a connection whose request head is too slow or too long.

    The library bounds single lines and the idle time between requests.
    """

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: CallerLimits,
    ) -> None:
        """Keep the limits that are in force now for this connection."""
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGER_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        self._limits = limits
        self._opened_at = time.monotonic()
        self._round_trip_s = DEFAULT_ROUND_TRIP_S
        #: Bytes of a request head that is not complete yet.
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def opened_at(self) -> float:
        """Steady time at which the connection was opened."""
        return self._opened_at

    @property
    def network_delay_s(self) -> float:
        """Time that a request and its answer spend on the way, in seconds.

        The first request of a connection was preceded by its set-up.
        """
        trips = 2 if self._request_count <= 1 else 1
        return trips * self._round_trip_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request for as long as between two."""
        super().connection_made(transport)
        self._round_trip_s = round_trip_s(transport)
        self._start_head_timer(self._limits.idle_timeout_s, 'no_request')

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count and time the bytes of a head until it is complete."""
        super().data_received(data)
        if not self._awaits_head():
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
            self._refuse_head(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head_too_long',
            )

    def _awaits_head(self) -> bool:
        """Tell whether what came last belongs to an incomplete head."""
        if self._messages or self._request_in_progress:
            return False
        if self._waiter is None:
            # The first request of the connection, or a body that is skipped.
            return not self._request_count
        return not self._waiter.done()

    def _start_head_timer(self, limit_s: float, reason: str) -> None:
        self._head_timer = self._loop.call_later(
            limit_s,
            self._refuse_head,
            HTTPStatus.REQUEST_TIMEOUT,
            reason,
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_head(self, status: HTTPStatus, reason: str) -> None:
        self._stop_head_timer()
        if self.transport is None or self.transport.is_closing():
            return
        log_event(
            'request_rejected',
            {'reason': reason, 'head_bytes': self._head_bytes},
        )
        if self._head_bytes:
            line = f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            fields = 'Content-Length: 0\r\nConnection: close\r\n\r\n'
            self.transport.write(f'{line}{fields}'.encode())
        self.close()
        self.transport.close()
