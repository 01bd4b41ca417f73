"""HTTP server for callers and for the load balancer's health checks."""

import asyncio
import re
import socket
import uuid
from http import HTTPStatus

import msgspec
from aiohttp import web
from aiomisc import Service

from oriolestage._logging import log_event
from oriolestage.core import (
    MAXIMUM_TIMEOUT_MS,
    CallerOutcome,
    CallerRequest,
    MalformedError,
    MayHaveRun,
    NodeCore,
    NotRun,
    Reason,
    decode_json,
    key_created_ms,
    parse_count,
)
from oriolestage.daemon._caller_drain import CallerDrain
from oriolestage.daemon._caller_metrics import CallerMetrics
from oriolestage.daemon._caller_site import CallerSite
from oriolestage.daemon._events import (
    CallerDisconnected,
    CallerRequestArrived,
    Inbox,
)
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._http import failure_middleware, json_response
from oriolestage.views import caller_view

#: Identifies a request in logs and at targets; generated if absent.
REQUEST_ID_HEADER = 'X-Request-Id'
#: How long the caller waits for an answer, in milliseconds.
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
#: UUID version 7 of a command; requests with the same key run at most once.
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
#: Name by which requests are queued fairly; the peer's address if absent.
CALLER_HEADER = 'X-Caller'
#: Timeout of requests without a timeout header, in milliseconds.
DEFAULT_TIMEOUT_MS = 1000
#: Retry delay suggested while this host is being stopped, in milliseconds. A
#: caller that comes back is sent to another host.
STOPPING_RETRY_MS = 50

_IDENTIFIER = re.compile(r'^[A-Za-z0-9._:-]{1,128}$')
#: Answer to a request whose handler failed.
FAILED_REQUEST = MayHaveRun(Reason.INTERNAL_ERROR, 'entry.http', '')


class BadRequest(msgspec.Struct, frozen=True, tag='bad_request'):
    """Response to an invalid request, which was not run."""

    field: str
    why: str


class _BadRequestError(Exception):
    def __init__(self, field: str, why: str) -> None:
        super().__init__(why)
        self.answer = BadRequest(field, why)


class CallerServer(Service):
    """Serves caller requests and health checks on one listening socket."""

    def __init__(
        self,
        listener: socket.socket,
        body_limit: int,
        core: NodeCore,
        inbox: Inbox,
        metrics: CallerMetrics,
        failures: FailureLog,
    ) -> None:
        """Create a server; request bodies hold at most ``body_limit`` bytes.

        ``listener`` is bound and listening.
        """
        super().__init__()
        self._core = core
        self._inbox = inbox
        self._metrics = metrics
        self._drain = CallerDrain()
        app = web.Application(
            client_max_size=body_limit,
            middlewares=(
                self._drain.track,
                failure_middleware('caller.http', failures, FAILED_REQUEST),
            ),
        )
        app.router.add_post('/v1/requests/{route}', self._on_request)
        app.router.add_get('/health/live', self._on_live)
        app.router.add_get('/health/ready', self._on_ready)
        self._site = CallerSite(app, listener, self._drain)

    @property
    def site(self) -> CallerSite:
        """The connections of callers."""
        return self._site

    async def start(self) -> None:
        """Accept connections."""
        await self._site.start()

    def start_draining(self, ends_at: float) -> None:
        """Refuse requests that may last longer than this event-loop time.

        Close each connection after its next response.
        """
        self._drain.end_by(ends_at)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all connections."""
        await self._site.close()

    async def _on_live(self, request: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def _on_ready(self, request: web.Request) -> web.Response:
        if self._core.ready:
            return web.Response(text='ready\n')
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, text=f'{self._core.state}\n'
        )

    async def _on_request(self, request: web.Request) -> web.Response:
        try:
            caller_request = await _parse_request(request)
        except _BadRequestError as error:
            self._metrics.count('bad_request')
            return json_response(error.answer, status=HTTPStatus.BAD_REQUEST)
        except web.HTTPRequestEntityTooLarge:
            self._metrics.count('bad_request')
            answer = BadRequest('body', 'the body is larger than the limit')
            return json_response(
                answer, status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        now = asyncio.get_running_loop().time()
        if not self._drain.can_end_in_time(caller_request.timeout_ms, now):
            return self._refuse_stopping(caller_request)
        return await self._submit(caller_request)

    def _refuse_stopping(self, caller_request: CallerRequest) -> web.Response:
        refusal = NotRun(
            Reason.STOPPING,
            'entry.stop',
            '',
            retry_after_ms=STOPPING_RETRY_MS,
        )
        self._metrics.record(caller_request.route, refusal, 0)
        _log_refusal(caller_request, refusal)
        return _build_response(caller_request, refusal)

    async def _submit(self, caller_request: CallerRequest) -> web.Response:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[CallerOutcome] = loop.create_future()
        started_at = loop.time()
        self._inbox.put_nowait(CallerRequestArrived(caller_request, answer))
        try:
            outcome = await answer
        except asyncio.CancelledError:
            self._inbox.put_nowait(
                CallerDisconnected(caller_request.request_id)
            )
            raise
        self._metrics.record(
            caller_request.route, outcome, loop.time() - started_at
        )
        _log_refusal(caller_request, outcome)
        return _build_response(caller_request, outcome)


async def _parse_request(request: web.Request) -> CallerRequest:
    request_id = request.headers.get(REQUEST_ID_HEADER, '')
    if not request_id:
        request_id = str(uuid.uuid4())
    _check_identifier(REQUEST_ID_HEADER, request_id)
    caller = request.headers.get(CALLER_HEADER, request.remote or 'unknown')
    _check_identifier(CALLER_HEADER, caller)
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '').lower()
    if key and key_created_ms(key) is None:
        raise _BadRequestError(
            IDEMPOTENCY_KEY_HEADER,
            'must be a UUID of version 7, which holds its time',
        )
    return CallerRequest(
        # A caller may reuse an identifier; the suffix makes it unique.
        request_id=f'{request_id}-{uuid.uuid4().hex[:8]}',
        caller=caller,
        route=request.match_info['route'],
        body=await _read_json_body(request),
        timeout_ms=_parse_timeout(request),
        idempotency_key=key,
    )


def _check_identifier(field: str, text: str) -> None:
    if not _IDENTIFIER.match(text):
        raise _BadRequestError(
            field,
            'must be 1 to 128 letters, digits or any of . _ : -',
        )


def _parse_timeout(request: web.Request) -> int:
    text = request.headers.get(TIMEOUT_HEADER, str(DEFAULT_TIMEOUT_MS))
    try:
        timeout_ms = parse_count(text)
    except MalformedError:
        timeout_ms = 0
    if not 1 <= timeout_ms <= MAXIMUM_TIMEOUT_MS:
        raise _BadRequestError(
            TIMEOUT_HEADER,
            f'must be a whole number from 1 to {MAXIMUM_TIMEOUT_MS}',
        )
    return timeout_ms


async def _read_json_body(request: web.Request) -> bytes:
    body = await request.read()
    try:
        decode_json(body, object)
    except MalformedError as error:
        raise _BadRequestError('body', f'not JSON: {error}') from error
    return body


def _log_refusal(caller_request: CallerRequest, outcome: CallerOutcome) -> None:
    if isinstance(outcome, NotRun | MayHaveRun):
        log_event(
            'request_refused',
            {
                'step': outcome.step,
                'peer': outcome.peer,
                'request': caller_request.request_id,
                'route': caller_request.route,
                'outcome': type(outcome).__name__,
                'reason': outcome.reason.value,
            },
        )


def _build_response(
    caller_request: CallerRequest, outcome: CallerOutcome
) -> web.Response:
    view = caller_view(caller_request.request_id, outcome)
    if not isinstance(view, NotRun | MayHaveRun):
        return json_response(view)
    response = json_response(view, status=_refusal_status(view))
    if view.retry_after_ms:
        seconds = -(-view.retry_after_ms // 1000)
        response.headers['Retry-After'] = str(seconds)
    return response


def _refusal_status(outcome: NotRun | MayHaveRun) -> int:
    if outcome.reason is Reason.UNKNOWN_ROUTE:
        return HTTPStatus.NOT_FOUND
    if outcome.reason in {Reason.KEY_REUSED, Reason.KEY_EXPIRED}:
        return HTTPStatus.UNPROCESSABLE_ENTITY
    if isinstance(outcome, MayHaveRun):
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.SERVICE_UNAVAILABLE
