"""HTTP servers for the balancer's readiness checks, and for operators."""

import socket
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from oriolestage.entry._metrics import EntryMetrics
from oriolestage.routing._explanations import RequestView

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
    ) -> None:
        """Create a server; ``is_ready`` is called for each check."""
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
        if request.path == EXPLAIN_PATH:
            query = request.query
            view = self._explain(
                query.get('host', ''),
                query.get('path', ''),
                query.get('account', ''),
            )
            return web.Response(
                body=msgspec.json.encode(view), content_type='application/json'
            )
        return web.Response(body=generate_latest(self._registry))
