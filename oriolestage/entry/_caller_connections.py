"""The open connections of callers."""

import asyncio
import dataclasses
import time
import typing
from collections.abc import Awaitable, Callable

from aiohttp import web

from oriolestage._logging import log_event
from oriolestage.admission._connection_bounds import choose_left
from oriolestage.entry._caller_connection import (
    CallerConnection,
    OpenRequest,
    RequestPhase,
)
from oriolestage.entry._caller_framing import build_request
from oriolestage.entry._counted_connection import CountedConnection
from oriolestage.entry._held_memory import HeldMemory
from oriolestage.routing._rules import CallerLimits

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionGuard:
    """Bounds on what all connections of an address take together."""

    #: Budget that their bytes count towards; None for no budget.
    memory: HeldMemory | None = None
    #: Most open connections; None for no bound, as without a budget.
    connections: int | None = None


#: No bounds on all connections together.
UNGUARDED = ConnectionGuard()


class _HttpServer(web.Server):
    """Creates the handlers of connections with one set of limits."""

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        memory: HeldMemory | None,
    ) -> None:
        """Create a server whose connections apply ``limits``."""
        super().__init__(
            handler,
            request_factory=build_request,
            handler_cancellation=True,
        )
        self._limits = limits
        self._memory = memory

    def __call__(self) -> CallerConnection:
        """Return the handler of a new connection."""
        loop = asyncio.get_running_loop()
        if self._memory is None:
            return CallerConnection(self, loop, self._limits)
        return CountedConnection(self, loop, self._limits, self._memory)


class _ClosedConnection(asyncio.Protocol):
    """A connection that is closed at once, as there are too many."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.close()


class CallerConnections:
    """Creates connections, and closes them in a planned stop."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        guard: ConnectionGuard = UNGUARDED,
    ) -> None:
        """Start without connections, whose requests go to ``handler``.

        ``limits`` returns the configured limits.
        """
        self._guard = guard
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

    def accept(self) -> asyncio.Protocol:
        """Return the handler of a new connection.

        A connection keeps the limits with which it was opened. If there are
        too many, others are closed, or this one if requests run on all.
        """
        if not self._make_room():
            return _ClosedConnection()
        self._accepted_at = time.monotonic()
        limits = self._limits()
        server = self._servers.get(limits)
        if server is None:
            server = _HttpServer(self._handler, limits, self._guard.memory)
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

    def _make_room(self) -> bool:
        """Return whether a new connection has room, also by closing others."""
        bound = self._guard.connections
        if bound is None or len(self) < bound:
            return True
        waiting = {
            id(connection): connection
            for connection in self._open()
            if isinstance(connection, CountedConnection)
            and not connection.is_closing
        }
        if len(waiting) < bound:
            return True
        states = (connection.waiting for connection in waiting.values())
        chosen = choose_left(filter(None, states), bound)
        for state in chosen:
            self._record_refusal('connections')
            waiting[state.number].close_early('connections')
        if not chosen:
            self._record_refusal('no_connection_left')
        return bool(chosen)

    def _record_refusal(self, reason: str) -> None:
        if self._guard.memory is not None:
            self._guard.memory.record_refusal(reason)

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
