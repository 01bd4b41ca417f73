"""HTTP servers for the balancer's readiness checks, and for operators."""

import asyncio
import socket
import typing
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from oriolestage.entry._caller_connection import CallerConnection
from oriolestage.entry._caller_connections import (
    UNGUARDED,
    CallerConnections,
    ConnectionGuard,
    Handler,
)
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.routing._explanations import RequestView
from oriolestage.routing._rules import CallerLimits

#: Time that open requests get when the servers are closed, in seconds.
CLOSE_TIMEOUT_S = 0.05
#: Path at the metrics address that explains where a request would go.
EXPLAIN_PATH = '/explain'

#: Returns where a request would go, by its host name, path and account.
Explain = Callable[[str, str, str], RequestView]


class ControlServer:
    """Serves readiness checks and metrics, each on sockets of its own."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: EntryMetrics,
        explain: Explain,
        guard: ConnectionGuard = UNGUARDED,
    ) -> None:
        """Create a server; ``is_ready`` is called for each check.

        ``guard`` bounds the connections to each address. With a budget of
        memory, requests have the default limits of callers.
        """
        self._guard = guard
        self._servers: list[asyncio.Server] = []
        self._connections: list[CallerConnections] = []
        self._is_ready = is_ready
        self._explain = explain
        self._registry = CollectorRegistry()
        self._registry.register(metrics)
        self._runners: list[web.ServerRunner] = []

    @property
    def ready(self) -> bool:
        """Whether checks are answered with success now."""
        return self._is_ready()

    async def start(self, listener: socket.socket, *, ready: bool) -> None:
        """Serve readiness checks on a listening socket if ``ready``.

        Otherwise serve metrics and explanations on it.
        """
        handler = self._check if ready else self._metrics
        if self._guard.memory is not None:
            await self._start_guarded(listener, handler)
            return
        runner = web.ServerRunner(
            web.Server(handler, access_log=None),
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        await web.SockSite(runner, listener).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Stop serving and close the sockets."""
        for server in self._servers:
            server.close()
        for connections in self._connections:
            connections.cut()
        for runner in self._runners:
            await runner.cleanup()

    async def _start_guarded(
        self, listener: socket.socket, handler: Handler
    ) -> None:
        connections = CallerConnections(handler, CallerLimits, self._guard)
        self._connections.append(connections)
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(connections.accept, sock=listener)
        )

    async def _check(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._is_ready():
            return self._close_unread(request, web.Response())
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return self._close_unread(request, web.Response(status=status))

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == EXPLAIN_PATH:
            query = request.query
            view = self._explain(
                query.get('host', ''),
                query.get('path', ''),
                query.get('account', ''),
            )
            page = web.Response(
                body=msgspec.json.encode(view), content_type='application/json'
            )
            return self._close_unread(request, page)
        page = web.Response(body=generate_latest(self._registry))
        return self._close_unread(request, page)

    def _close_unread(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        """Close the connection after the answer to a request with a body."""
        if self._guard.memory is not None and request.can_read_body:
            response.force_close()
            connection = typing.cast(CallerConnection, request.protocol)
            connection.discard_rest()
        return response
