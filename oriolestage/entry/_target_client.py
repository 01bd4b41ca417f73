"""Sends attempts to targets over HTTP."""

import asyncio
import dataclasses
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.tracing import Trace
from multidict import CIMultiDict
from yarl import URL

from oriolestage.entry._ports import WireProtocol
from oriolestage.routing._answers import (
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)

#: Timeout for connecting to a target, in seconds. A round trip between
#: regions takes about 40 ms; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 0.3
#: Idle time after which a connection is not reused, in seconds. Targets close
#: idle connections themselves after a few seconds.
IDLE_TIMEOUT_S = 4.0
#: Largest response body accepted from a target, in bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
#: Time after which a connection with unacknowledged bytes fails, in ms.
TCP_USER_TIMEOUT_MS = 3000
#: Headers that aiohttp would add by default.
SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One attempt at a target, with everything needed to send it."""

    request_id: str
    method: str
    #: Path and query, unchanged from the caller's request.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: True if the request is idempotent. Others get a new connection, since
    #: a reused one may be closed by the target just as they are sent.
    repeatable: bool
    target: str
    address: str
    time_left_s: float
    #: Hash of the request's content, equal for repeated requests.
    fingerprint: int


class NotConnectedError(aiohttp.ClientError):
    """The connection was not established, so nothing was sent."""


class TargetConnection(ResponseHandler):
    """A connection that reports a reset within a response as an error.

    A response without a Content-Length ends with the connection, and aiohttp
    alone would take one that is cut off by a reset for a complete one.
    """

    def is_connected(self) -> bool:
        """Return whether the connection is open and may be reused."""
        return super().is_connected() and not self.should_close

    def eof_received(self) -> None:
        """Fail a response without a length that was cut off by a reset.

        The event loop reports a reset that arrives together with the last
        bytes as an end of the stream, so the socket's state is checked.
        """
        payload = self._payload
        if payload is not None and not payload.is_eof() and self._was_reset():
            payload.set_exception(_reset_error())
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response without a length that was cut off by a reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(_reset_error())
        super().connection_lost(exc)

    def _was_reset(self) -> bool:
        transport = self.transport
        if transport is None:
            return True
        descriptor = transport.get_extra_info('socket').fileno()
        probe = socket.socket(fileno=descriptor)
        try:
            return probe.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b''
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            # The descriptor belongs to the transport and must stay open.
            probe.detach()


class DirectConnector(aiohttp.BaseConnector):
    """Connects to numeric addresses with the event loop's own call.

    aiohttp's connector creates the socket outside the event loop. If a
    connection attempt is cancelled there, the loop may still use the file
    descriptor after the system has given it to another connection.
    """

    allowed_protocol_schema_set = frozenset(('http',))

    def __init__(self, *, reuse: bool) -> None:
        """Create a connector that reuses connections if ``reuse``.

        Otherwise each connection is closed after its response.
        """
        if reuse:
            super().__init__(limit=0, keepalive_timeout=IDLE_TIMEOUT_S)
        else:
            super().__init__(limit=0, force_close=True)

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Open a connection for the pool of the base class.

        Raises :class:`NotConnectedError`.
        """
        loop = asyncio.get_running_loop()
        host, port = req.url.raw_host or '', req.url.port or 0
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, protocol = await loop.create_connection(
                    lambda: TargetConnection(loop=loop),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as error:
            raise NotConnectedError(f'{host}:{port}: {error!r}') from error
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )
        return protocol


class TargetClient:
    """Sends attempts to targets over HTTP/1.1."""

    def __init__(self, wire_protocol: WireProtocol) -> None:
        """Create a client; connections are opened on demand."""
        self._wire_protocol = wire_protocol
        self._pooled = _session(reuse=True)
        self._unpooled = _session(reuse=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt and return its outcome.

        Cancelling the call closes the connection, so that the target stops.
        """
        session = self._pooled if call.repeatable else self._unpooled
        try:
            async with asyncio.timeout(call.time_left_s):
                return await self._send_request(session, call)
        except NotConnectedError:
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        except TimeoutError:
            return AttemptLost('target.deadline')
        except (aiohttp.ClientError, OSError, ValueError) as error:
            broken = isinstance(error, aiohttp.ClientError | OSError)
            return AttemptLost(f'target.{type(error).__name__}', broken)

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        call: TargetCall,
    ) -> AttemptOutcome:
        headers = CIMultiDict(
            self._wire_protocol.target_headers(
                call.headers,
                call.target,
                call.time_left_s,
            ),
        )
        async with session.request(
            call.method,
            _exact_url(call),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
        ) as response:
            answer = await self._read(response)
            outcome = self._wire_protocol.outcome(call.request_id, answer)
            if isinstance(outcome, AttemptLost):
                # Bytes that follow on this connection cannot be matched to
                # a request, so it must not be reused.
                response.close()
            return outcome

    async def _read(self, response: aiohttp.ClientResponse) -> TargetAnswer:
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise ValueError(f'response over {MAX_RESPONSE_BYTES} bytes')
            chunks.append(chunk)
        return TargetAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=b''.join(chunks),
            signature=self._wire_protocol.signature(response.headers),
        )


def _reset_error() -> aiohttp.ClientPayloadError:
    return aiohttp.ClientPayloadError('reset before the response ended')


def _exact_url(call: TargetCall) -> URL:
    """Return a URL whose path and query are sent unchanged."""
    url = URL(f'http://{call.address}{call.path}', encoded=True)
    if url.raw_path_qs != call.path:
        # yarl drops the "?" of an empty query; aiohttp reads the request
        # path from this cache entry.
        url._cache['raw_path_qs'] = call.path  # noqa: SLF001
    return url


def _session(*, reuse: bool) -> aiohttp.ClientSession:
    connector = DirectConnector(reuse=reuse)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(total=None),
    )
    # Otherwise aiohttp retries idempotent requests by itself.
    session._retry_connection = False  # noqa: SLF001
    return session
