"""The servers for the balancer's readiness checks and for metrics."""

import socket
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from oriolestage.entry._metrics import EntryMetrics


class ControlServer:
    """Answers readiness checks and gives metrics."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: EntryMetrics,
    ) -> None:
        """Prepare the server; ``is_ready`` decides each check."""
        self._is_ready = is_ready
        self._registry = CollectorRegistry()
        self._registry.register(metrics)
        self._runners: list[web.ServerRunner] = []

    async def start(self, listening: socket.socket, *, ready: bool) -> None:
        """Serve checks, or metrics if not ``ready``, on a bound socket."""
        handler = self._check if ready else self._metrics
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        await web.SockSite(runner, listening).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Stop answering."""
        for runner in self._runners:
            await runner.cleanup()

    async def _check(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._is_ready():
            return web.Response(status=HTTPStatus.OK)
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=generate_latest(self._registry))
