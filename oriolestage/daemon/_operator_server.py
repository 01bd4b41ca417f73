"""HTTP server for the operator tool and for Prometheus."""

import asyncio
import socket
import time
from http import HTTPStatus

from aiohttp import web
from aiomisc import Service
from prometheus_client import CollectorRegistry, generate_latest

from oriolestage._logging import log_event
from oriolestage.core import (
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRefused,
    InForceReport,
    MalformedError,
    NodeCore,
    OperatorCommand,
    decode_json,
    parse_count,
)
from oriolestage.daemon._caller_metrics import CallerMetrics
from oriolestage.daemon._events import (
    Inbox,
    OperatorCommandArrived,
    RevisionPollRequested,
    ViewRequested,
)
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._http import failure_middleware, json_response
from oriolestage.views import ChangeRequest, ErrorView, build_node_view

#: Upper bound of the parameter ``wait_ms``, in milliseconds.
MAX_IN_FORCE_WAIT_MS = 60_000
#: Largest request body; a configuration document may have a megabyte.
MAX_BODY_BYTES = 4 * 1024 * 1024
#: Time that open requests get when the server is closed, in seconds. Some wait
#: for a revision for a minute.
CLOSE_TIMEOUT_S = 0.1


class OperatorServer(Service):
    """Serves operator requests and metrics on one listening socket."""

    def __init__(
        self,
        listener: socket.socket,
        inbox: Inbox,
        metrics: CallerMetrics,
        failures: FailureLog,
    ) -> None:
        """Create a server on a socket that is bound and listening."""
        super().__init__()
        self._listener = listener
        self._inbox = inbox
        self._registry = CollectorRegistry()
        self._registry.register(metrics)
        self._app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=(
                failure_middleware(
                    'operator.http', failures, ErrorView('internal error')
                ),
            ),
        )
        self._app.router.add_post('/v1/changes', self._on_change)
        self._app.router.add_get('/v1/view', self._on_view)
        self._app.router.add_get('/v1/in-force/{revision}', self._on_in_force)
        self._app.router.add_get('/metrics', self._on_metrics)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Accept connections."""
        self._runner = web.AppRunner(
            self._app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_change(self, request: web.Request) -> web.Response:
        try:
            change_request = decode_json(await request.read(), ChangeRequest)
        except MalformedError as error:
            return json_response(
                ErrorView(str(error)), status=HTTPStatus.BAD_REQUEST
            )
        command = OperatorCommand(
            change=change_request.change,
            operator=change_request.operator,
            command_id=change_request.command_id,
            at_ms=int(time.time() * 1000),
        )
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[ChangeOutcome] = loop.create_future()
        self._inbox.put_nowait(OperatorCommandArrived(command, answer))
        outcome = await answer
        log_event(
            'operator_command',
            {
                'step': 'operator',
                'operator': change_request.operator,
                'command_id': change_request.command_id,
                'outcome': type(outcome).__name__,
            },
        )
        return json_response(outcome, status=_change_status(outcome))

    async def _on_view(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[NodeCore] = loop.create_future()
        self._inbox.put_nowait(ViewRequested(answer))
        return json_response(build_node_view(await answer))

    async def _on_in_force(self, request: web.Request) -> web.Response:
        try:
            revision = parse_count(request.match_info['revision'])
            wait_ms = parse_count(request.query.get('wait_ms', '0'))
        except MalformedError as error:
            return json_response(
                ErrorView(str(error)), status=HTTPStatus.BAD_REQUEST
            )
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[InForceReport] = loop.create_future()
        wait_s = min(wait_ms, MAX_IN_FORCE_WAIT_MS) / 1000
        self._inbox.put_nowait(RevisionPollRequested(revision, wait_s, answer))
        return json_response(await answer)

    async def _on_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            content_type='text/plain',
        )


def _change_status(outcome: ChangeOutcome) -> int:
    match outcome:
        case ChangeAccepted():
            return HTTPStatus.OK
        case ChangeConflict():
            return HTTPStatus.CONFLICT
        case ChangeRefused():
            return HTTPStatus.UNPROCESSABLE_ENTITY
    return HTTPStatus.GATEWAY_TIMEOUT
