"""The open connections of callers."""

import asyncio
import time
import typing
from collections.abc import Awaitable, Callable

from aiohttp import web

from oriolestage._logging import log_event
from oriolestage.entry._caller_connection import (
    CallerConnection,
    OpenRequest,
    RequestPhase,
)
from oriolestage.entry._caller_framing import build_request
from oriolestage.routing._rules import CallerLimits

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _HttpServer(web.Server):
    """Creates the handlers of connections with one set of limits."""

    def __init__(self, handler: Handler, limits: CallerLimits) -> None:
        """Create a server whose connections apply ``limits``."""
        super().__init__(
            handler,
            request_factory=build_request,
            handler_cancellation=True,
        )
        self._limits = limits

    def __call__(self) -> CallerConnection:
        """Return the handler of a new connection."""
        return CallerConnection(self, asyncio.get_running_loop(), self._limits)


class CallerConnections:
    """Creates connections, and closes them in a planned stop."""

    def __init__(
        self, handler: Handler, limits: Callable[[], CallerLimits]
    ) -> None:
        """Start without connections, whose requests go to ``handler``.

        ``limits`` returns the configured limits.
        """
        self._handler = handler
        self._limits = limits
        self._servers: dict[CallerLimits, _HttpServer] = {}
        self._accepted_at = float('-inf')

    @property
    def accepted_at(self) -> float:
        """Monotonic time of the latest new connection."""
        return self._accepted_at

    def __len__(self) -> int:
        """Return the number of open connections."""
        return sum(len(server.connections) for server in self._servers.values())

    def accept(self) -> CallerConnection:
        """Return the handler of a new connection.

        A connection keeps the limits with which it was opened.
        """
        self._accepted_at = time.monotonic()
        limits = self._limits()
        server = self._servers.get(limits)
        if server is None:
            server = _HttpServer(self._handler, limits)
            self._servers[limits] = server
        return server()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in self._open():
            connection.close_if_idle()

    def refuse_heads(self) -> None:
        """Refuse the requests whose heads have not arrived in full."""
        for connection in self._open():
            connection.refuse_head()

    def cut(self) -> int:
        """Cut all connections; return and log those with a request."""
        cut_count = 0
        for connection in self._open():
            phase = connection.unfinished_phase
            if phase is not None:
                cut_count += 1
                _log_cut(phase, connection.latest_request)
            connection.abort()
        return cut_count

    def _open(self) -> list[CallerConnection]:
        return [
            typing.cast(CallerConnection, connection)
            for server in self._servers.values()
            for connection in server.connections
        ]


def _log_cut(phase: RequestPhase, latest: OpenRequest | None) -> None:
    fields: dict[str, object] = {'step': 'stop', 'phase': phase.value}
    if latest is not None and phase != RequestPhase.HEAD:
        fields['id'] = latest.request_id
        fields['age_s'] = time.monotonic() - latest.arrived_at
    log_event('request_cut', fields)
