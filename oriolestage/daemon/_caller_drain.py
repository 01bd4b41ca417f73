"""What a daemon that is being stopped still takes from callers."""

from collections.abc import Awaitable, Callable

from aiohttp import web

MS_PER_S = 1000
#: Time that a connection gets for its first request during a stop, in seconds.
#: A caller sends it once it is connected.
FIRST_REQUEST_S = 0.25


class CallerDrain:
    """Keeps track of requests and refuses those that outlast the daemon."""

    def __init__(self) -> None:
        """Start without requests, at a daemon that is not being stopped."""
        #: Event-loop time at which the daemon ends; infinite without a stop.
        self._ends_at = float('inf')
        #: Connections with a request that is being read, run or answered.
        #: During a stop those that were answered stay: they are being closed.
        self._busy: set[web.RequestHandler] = set()
        #: Event-loop times since which connections are known to be idle.
        self._idle_since: dict[web.RequestHandler, float] = {}

    def end_by(self, ends_at: float) -> None:
        """Close each connection after its next response from now on."""
        self._ends_at = ends_at

    def can_end_in_time(self, timeout_ms: int, now: float) -> bool:
        """Return whether a request ends before this daemon does."""
        return now + timeout_ms / MS_PER_S <= self._ends_at

    def count_busy(self, server: web.Server) -> int:
        """Return the number of open connections with a request."""
        return len(self._busy.intersection(server.connections))

    def close_idle(self, server: web.Server, now: float) -> None:
        """Close the connections that have had no request for a while."""
        for connection in set(server.connections) - self._busy:
            since = self._idle_since.setdefault(connection, now)
            if now - since >= FIRST_REQUEST_S:
                connection.force_close()

    @web.middleware
    async def track(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Keep track of a request; close its connection during a stop."""
        self._busy.add(request.protocol)
        try:
            response = await handler(request)
        except BaseException:
            self._busy.discard(request.protocol)
            raise
        if self._ends_at < float('inf'):
            response.force_close()
        else:
            self._busy.discard(request.protocol)
        return response
