"""HTTP server for callers."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict

from oriolestage._logging import log_event
from oriolestage.entry._caller_connection import CallerConnection
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._ports import RequestMetadata, WireProtocol
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._round_trips import DEFAULT_ROUND_TRIP_S
from oriolestage.routing._connection_ages import ConnectionAgePolicy
from oriolestage.routing._crash_detector import fingerprint_of
from oriolestage.routing._rules import CallerLimits

#: Interim response to a request with ``Expect: 100-continue``.
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyTooLargeError(Exception):
    """The body of a request exceeds the configured limit."""


class _HttpServer(web.Server):
    """Creates the handlers of connections with one set of limits."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: CallerLimits,
    ) -> None:
        """Create a server whose connections apply ``limits``."""
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits

    def __call__(self) -> CallerConnection:
        """Return the handler of a new connection."""
        return CallerConnection(self, asyncio.get_running_loop(), self._limits)


class CallerServer:
    """Reads callers' requests, has the router serve them and responds."""

    def __init__(
        self,
        router: RequestRouter,
        wire_protocol: WireProtocol,
        limits: Callable[[], CallerLimits],
    ) -> None:
        """Create a server; ``limits`` returns the configured limits."""
        self._router = router
        self._wire_protocol = wire_protocol
        self._limits = limits
        self._draining = False
        self._connection_ages = ConnectionAgePolicy(time.monotonic())
        self._servers: dict[CallerLimits, _HttpServer] = {}
        self._listener: asyncio.Server | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept callers on a listening socket."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: self._current_server()(),
            sock=listener,
        )

    def start_draining(self) -> None:
        """Close each connection after its next response from now on."""
        self._draining = True

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        if self._listener is not None:
            self._listener.close()
        for server in self._servers.values():
            server.pre_shutdown()
        for server in self._servers.values():
            await server.shutdown(timeout=0.1)

    def _current_server(self) -> _HttpServer:
        """Return the server for the limits that are configured now.

        A connection keeps the limits with which it was opened.
        """
        limits = self._limits()
        server = self._servers.get(limits)
        if server is None:
            server = _HttpServer(self._handle, limits)
            self._servers[limits] = server
        return server

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = time.monotonic()
        response = await self._respond(request, arrived_at)
        if self._draining or self._is_expired(request.protocol):
            response.force_close()
        return response

    def _is_expired(self, connection: web.RequestHandler) -> bool:
        if not isinstance(connection, CallerConnection):
            return False
        return self._connection_ages.expired(
            connection.opened_at, time.monotonic()
        )

    async def _respond(
        self,
        request: web.BaseRequest,
        arrived_at: float,
    ) -> web.StreamResponse:
        path = request.raw_path
        host = request.headers.get('Host', '').partition(':')[0]
        if not host or not path.startswith('/') or '#' in path:
            return _bad_request(request, 'needs a host and a path')
        try:
            metadata = self._wire_protocol.request_metadata(request.headers)
        except ValueError as error:
            return _bad_request(request, str(error))
        try:
            async with asyncio.timeout(self._body_timeout_s(metadata)):
                body = await self._read_body(request)
        except BodyTooLargeError:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return _reject(metadata.request_id, 'body_too_large', status)
        except TimeoutError:
            status = HTTPStatus.REQUEST_TIMEOUT
            return _reject(metadata.request_id, 'body_too_slow', status)
        result = await self._router.serve(
            CallerRequest(
                metadata=metadata,
                method=request.method,
                host=host,
                path=path,
                headers=tuple(
                    (str(name), text) for name, text in request.headers.items()
                ),
                body=body,
                arrived_at=arrived_at,
                network_delay_s=_network_delay_s(request.protocol),
                fingerprint=fingerprint_of(request.method, host, path, body),
            ),
        )
        answer = self._wire_protocol.response(result, metadata.request_id)
        headers = CIMultiDict(answer.headers)
        headers.popall('Content-Length', None)
        return web.Response(
            status=answer.status,
            headers=headers,
            body=answer.body,
        )

    def _body_timeout_s(self, metadata: RequestMetadata) -> float:
        """Return the time within which a body must be complete, in seconds."""
        idle_s = self._limits().idle_timeout_s
        if metadata.time_left_s is None:
            return idle_s
        return min(idle_s, metadata.time_left_s)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if not request.can_read_body:
            return b''
        limit = self._limits().body_bytes
        if (request.content_length or 0) > limit:
            raise BodyTooLargeError
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(CONTINUE)
        chunks: list[bytes] = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > limit:
                raise BodyTooLargeError
            chunks.append(chunk)
        return b''.join(chunks)


def _network_delay_s(connection: web.RequestHandler) -> float:
    if isinstance(connection, CallerConnection):
        return connection.network_delay_s
    return DEFAULT_ROUND_TRIP_S


def _reject(
    request_id: str,
    reason: str,
    status: HTTPStatus,
) -> web.Response:
    """Log and build the response to a body that is too large or too slow."""
    log_event('request_rejected', {'id': request_id, 'reason': reason})
    response = web.Response(status=status)
    response.force_close()
    return response


def _bad_request(request: web.BaseRequest, problem: str) -> web.Response:
    log_event(
        'request_rejected',
        {'path': request.raw_path, 'reason': problem},
    )
    return web.Response(status=HTTPStatus.BAD_REQUEST, text=problem)
