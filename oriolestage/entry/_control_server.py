"""HTTP servers for the balancer's readiness checks and for metrics."""

import socket
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from oriolestage.entry._metrics import EntryMetrics

#: Time that open requests get when the servers are closed, in seconds.
CLOSE_TIMEOUT_S = 0.05


class ControlServer:
    """Serves readiness checks and metrics, each on sockets of its own."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: EntryMetrics,
    ) -> None:
        """Create a server; ``is_ready`` is called for each check."""
        self._is_ready = is_ready
        self._registry = CollectorRegistry()
        self._registry.register(metrics)
        self._runners: list[web.ServerRunner] = []

    @property
    def ready(self) -> bool:
        """Whether checks are answered with success now."""
        return self._is_ready()

    async def start(self, listener: socket.socket, *, ready: bool) -> None:
        """Serve readiness checks on a listening socket if ``ready``.

        Otherwise serve metrics on it.
        """
        handler = self._check if ready else self._metrics
        runner = web.ServerRunner(
            web.Server(handler, access_log=None),
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        await web.SockSite(runner, listener).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Stop serving and close the sockets."""
        for runner in self._runners:
            await runner.cleanup()

    async def _check(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._is_ready():
            return web.Response(status=HTTPStatus.OK)
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=generate_latest(self._registry))
