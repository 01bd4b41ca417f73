"""HTTP server for callers."""

import asyncio
import functools
import socket
import time
import typing
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict

from oriolestage._listeners import accept_waiting
from oriolestage.entry._caller_bodies import (
    BodyTooLargeError,
    expects_body,
    read_body,
)
from oriolestage.entry._caller_connection import (
    CallerConnection,
    OpenRequest,
    RequestPhase,
)
from oriolestage.entry._caller_connections import (
    UNGUARDED,
    CallerConnections,
    ConnectionGuard,
)
from oriolestage.entry._caller_failures import (
    build_bad_request,
    build_error_response,
    build_rejection,
)
from oriolestage.entry._caller_framing import (
    check_framing,
    head_bytes,
    is_length,
)
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._ports import RequestMetadata, WireProtocol
from oriolestage.entry._request_router import RequestRouter
from oriolestage.routing._answers import RequestResult
from oriolestage.routing._connection_ages import ConnectionAgePolicy
from oriolestage.routing._crash_detector import fingerprint_of
from oriolestage.routing._rules import CallerLimits

NO_DESTINATION = ValueError('needs a host and a path')


class CallerServer:
    """Reads callers' requests, has the router serve them and responds."""

    def __init__(
        self,
        router: RequestRouter,
        wire_protocol: WireProtocol,
        limits: Callable[[], CallerLimits],
        guard: ConnectionGuard = UNGUARDED,
    ) -> None:
        """Create a server; ``limits`` returns the configured limits."""
        self._refuses_early = guard.memory is not None
        self._router = router
        self._wire_protocol = wire_protocol
        self._limits = limits
        #: Monotonic time at which all requests end; infinite without a stop.
        self._ends_at = float('inf')
        self._draining = False
        #: Timeouts of the bodies that are being read.
        self._body_timeouts: set[asyncio.Timeout] = set()
        self._connection_ages = ConnectionAgePolicy(time.monotonic())
        self._connections = CallerConnections(self._handle, limits, guard)
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        #: Tasks that set up the connections that waited to be accepted.
        self._accepting: set[asyncio.Task[object]] = set()

    @property
    def connections(self) -> CallerConnections:
        """The open connections."""
        return self._connections

    async def start(self, listener: socket.socket) -> None:
        """Accept callers on a listening socket."""
        loop = asyncio.get_running_loop()
        self._listener = listener
        self._server = await loop.create_server(
            self._connections.accept,
            sock=listener.dup(),
        )

    def start_draining(self) -> None:
        """Close each connection after its next response from now on."""
        self._draining = True

    def end_by(self, ends_at: float) -> None:
        """Refuse requests whose bodies have not arrived by then."""
        self._ends_at = ends_at
        loop = asyncio.get_running_loop()
        loop_ends_at = loop.time() + ends_at - time.monotonic()
        for timeout in self._body_timeouts:
            due_at = timeout.when()
            if due_at is not None and due_at > loop_ends_at:
                timeout.reschedule(loop_ends_at)

    def stop_accepting(self) -> None:
        """Accept the connections that wait to be accepted, and no others.

        Their callers may have sent a request.
        """
        if self._server is None or self._listener is None:
            return
        self._server.close()
        loop = asyncio.get_running_loop()
        for waiting in accept_waiting(self._listener):
            task = asyncio.create_task(
                loop.connect_accepted_socket(self._connections.accept, waiting)
            )
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        self._listener.close()
        self._listener = None

    async def close(self) -> int:
        """Stop accepting connections and cut the open ones.

        Return the number of requests that were cut.
        """
        self.stop_accepting()
        cut_count = self._connections.cut()
        # The transports report their end in the next iteration of the loop.
        await asyncio.sleep(0)
        return cut_count

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = typing.cast(CallerConnection, request.protocol)
        opened = OpenRequest('', time.monotonic(), RequestPhase.BODY)
        connection.latest_request = opened
        try:
            response = await self._respond(request, connection, opened)
            self._close_after(response, connection)
            # Fails here if the response cannot be written.
            await response.prepare(request)
        except (Exception, asyncio.CancelledError) as error:
            if _is_cancelled():
                raise
            response = build_error_response(request, opened, error)
            self._close_after(response, connection)
        opened.phase = RequestPhase.ANSWER
        return response

    def _close_after(
        self, response: web.StreamResponse, connection: CallerConnection
    ) -> None:
        """Close the connection after a response if it is time for that.

        A request that has arrived behind this one is answered too.
        """
        if self._is_to_close(connection) and not connection.has_more_input:
            response.force_close()
        if connection.has_long_head:
            response.force_close()

    def _is_to_close(self, connection: CallerConnection) -> bool:
        if self._draining:
            return True
        return self._connection_ages.expired(
            connection.opened_at, time.monotonic()
        )

    async def _respond(
        self,
        request: web.BaseRequest,
        connection: CallerConnection,
        opened: OpenRequest,
    ) -> web.StreamResponse:
        if head_bytes(request) > self._limits().header_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return build_rejection('', 'head_too_long', status)
        path = request.raw_path
        host = request.headers.get('Host', '').partition(':')[0]
        if not host or not path.startswith('/') or '#' in path:
            return build_bad_request(request, NO_DESTINATION)
        try:
            check_framing(request)
            metadata = self._wire_protocol.request_metadata(request.headers)
        except ValueError as error:
            return build_bad_request(request, error)
        opened.request_id = metadata.request_id
        body_due_at = opened.arrived_at + self._body_timeout_s(metadata)
        build_request = functools.partial(
            CallerRequest,
            metadata=metadata,
            method=request.method,
            host=host,
            path=path,
            headers=tuple(
                (str(name), text) for name, text in request.headers.items()
            ),
            arrived_at=opened.arrived_at,
            network_delay_s=connection.network_delay_s,
        )
        if self._refuses_early and expects_body(request):
            refused = build_request(body=b'', fingerprint=0)
            refusal = self._router.refuse_unrouted(refused)
            if refusal is not None:
                connection.discard_rest()
                return self._refuse_unread(refusal, metadata, request)
        try:
            body = await self._read_in_time(request, body_due_at)
        except BodyTooLargeError:
            connection.discard_rest()
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return build_rejection(
                metadata.request_id, 'body_too_large', status
            )
        except TimeoutError:
            if self._ends_at < body_due_at:
                refused = build_request(body=b'', fingerprint=0)
                refusal = self._router.refuse_stopping(refused)
                return self._build_response(refusal, metadata, request)
            status = HTTPStatus.REQUEST_TIMEOUT
            return build_rejection(metadata.request_id, 'body_too_slow', status)
        if connection.refused:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return build_rejection(metadata.request_id, 'memory', status)
        opened.phase = RequestPhase.TARGETS
        result = await self._router.serve(
            build_request(
                body=body,
                fingerprint=fingerprint_of(request.method, host, path, body),
            ),
        )
        return self._build_response(result, metadata, request)

    def _refuse_unread(
        self,
        refusal: RequestResult,
        metadata: RequestMetadata,
        request: web.BaseRequest,
    ) -> web.Response:
        """Answer a request whose body is not read, and close its connection."""
        response = self._build_response(refusal, metadata, request)
        response.force_close()
        return response

    def _build_response(
        self,
        result: RequestResult,
        metadata: RequestMetadata,
        request: web.BaseRequest,
    ) -> web.Response:
        answer = self._wire_protocol.response(result, metadata.request_id)
        headers = CIMultiDict(answer.headers)
        lengths = headers.popall('Content-Length', [])
        if request.method == 'HEAD' and is_length(lengths):
            headers['Content-Length'] = lengths[0]
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

    async def _read_in_time(
        self, request: web.BaseRequest, due_at: float
    ) -> bytes:
        """Read a body until a monotonic time or the end of all requests.

        Raises ``TimeoutError`` if it is incomplete then.
        """
        left_s = min(due_at, self._ends_at) - time.monotonic()
        async with asyncio.timeout(left_s) as timeout:
            self._body_timeouts.add(timeout)
            try:
                return await read_body(request, self._limits().body_bytes)
            finally:
                self._body_timeouts.discard(timeout)


def _is_cancelled() -> bool:
    """Return whether the task that asks is to end."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
