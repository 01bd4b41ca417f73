"""The listening socket and the connections of callers of a daemon."""

import asyncio
import socket

from aiohttp import web

from oriolestage._listeners import accept_waiting
from oriolestage.daemon._caller_drain import CallerDrain

#: Time that open requests get when the site is closed, in seconds. Before that
#: they had all the time of the stop.
CLOSE_TIMEOUT_S = 0.1


class CallerSite:
    """Accepts callers, and closes in a planned stop without losing requests."""

    def __init__(
        self, app: web.Application, listener: socket.socket, drain: CallerDrain
    ) -> None:
        """Create a site that serves ``app`` on a bound and listening socket."""
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        self._listener = listener
        self._drain = drain
        self._site: web.SockSite | None = None
        #: Tasks that set up the connections that waited to be accepted.
        self._accepting: set[asyncio.Task[object]] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)

    @property
    def open_requests(self) -> int:
        """Number of requests that are being read, run or answered."""
        server = self._runner.server
        return 0 if server is None else self._drain.count_busy(server)

    async def start(self) -> None:
        """Accept connections."""
        await self._runner.setup()
        self._site = web.SockSite(self._runner, self._listener.dup())
        await self._site.start()

    async def close_idle(self) -> None:
        """Accept no connections any more and close idle ones.

        Those that wait to be accepted are: their callers may have sent a
        request.
        """
        server = self._runner.server
        if server is None:
            return
        loop = asyncio.get_running_loop()
        if self._site is not None:
            await self._site.stop()
            self._site = None
            for waiting in accept_waiting(self._listener):
                task = asyncio.create_task(
                    loop.connect_accepted_socket(server, waiting)
                )
                self._accepting.add(task)
                task.add_done_callback(self._accepting.discard)
            self._listener.close()
        self._drain.close_idle(server, loop.time())

    async def close(self) -> None:
        """Close all connections."""
        self._listener.close()
        await self._runner.cleanup()
