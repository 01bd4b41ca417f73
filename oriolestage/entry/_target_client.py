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
from oriolestage.relay._answers import (
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)

#: Longest wait for a connection, in seconds: two regions are 40 ms apart
#: there and back, and a lost opening packet is sent again after a second.
CONNECT_TIMEOUT_S = 0.3
#: Idle time after which a connection is not used again, in seconds. Targets
#: close theirs after some seconds.
IDLE_LIMIT_S = 4.0
#: Largest answer that is passed on, in bytes.
ANSWER_LIMIT = 8 * 1024 * 1024
#: Unacknowledged bytes break a connection after this time, milliseconds.
TCP_USER_TIMEOUT_MS = 3000
#: Headers that the client library must not add.
SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One attempt as it is sent."""

    request_id: str
    method: str
    #: Path and query as the caller sent them.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: False if a connection that may be closing must not be used.
    repeatable: bool
    target: str
    address: str
    time_left_s: float
    #: The same for a request that comes again.
    fingerprint: int


class NotConnectedError(aiohttp.ClientError):
    """No connection was made, so nothing was sent."""


class TargetConnection(ResponseHandler):
    """A connection that does not hide damage from the client library."""

    def is_connected(self) -> bool:
        """Tell whether the connection may be used again."""
        return super().is_connected() and not self.should_close

    def eof_received(self) -> None:
        """Fail an answer without a length that a reset cut off.

        The event loop reports a reset that arrives together with the last
        bytes as an end of the stream, so the socket itself is asked.
        """
        payload = self._payload
        if payload is not None and not payload.is_eof() and self._was_reset():
            payload.set_exception(_reset_error())
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length that a reset cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(_reset_error())
        super().connection_lost(exc)

    def _was_reset(self) -> bool:
        transport = self.transport
        if transport is None:
            return True
        descriptor = transport.get_extra_info('socket').fileno()
        asked = socket.socket(fileno=descriptor)
        try:
            return asked.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b''
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            # The transport keeps the descriptor.
            asked.detach()


class DirectConnector(aiohttp.BaseConnector):
    """Connects to numeric addresses through the event loop alone.

    The library's own connector takes a socket through steps that the loop
    does not own; when a connection attempt is cancelled there, the loop may
    touch a descriptor that belongs to another connection by then.
    """

    allowed_protocol_schema_set = frozenset(('http',))

    def __init__(self, *, keep: bool) -> None:
        """Keep idle connections or close each after its answer."""
        if keep:
            super().__init__(limit=0, keepalive_timeout=IDLE_LIMIT_S)
        else:
            super().__init__(limit=0, force_close=True)

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Open a connection for the pool of the base class."""
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
    """Keeps connections to targets and sends attempts over them."""

    def __init__(self, wire_protocol: WireProtocol) -> None:
        """Prepare the client; connections are made on demand."""
        self._exchange = wire_protocol
        self._kept = _session(keep=True)
        self._single = _session(keep=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._single.close()

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt; give what became of it.

        Cancelling the call breaks the connection, so that the target stops.
        """
        session = self._kept if call.repeatable else self._single
        try:
            async with asyncio.timeout(call.time_left_s):
                return await self._exchange_once(session, call)
        except NotConnectedError:
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        except TimeoutError:
            return AttemptLost('target.deadline')
        except (aiohttp.ClientError, OSError, ValueError) as error:
            broken = isinstance(error, aiohttp.ClientError | OSError)
            return AttemptLost(f'target.{type(error).__name__}', broken)

    async def _exchange_once(
        self,
        session: aiohttp.ClientSession,
        call: TargetCall,
    ) -> AttemptOutcome:
        headers = CIMultiDict(
            self._exchange.target_headers(
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
            outcome = self._exchange.outcome(call.request_id, answer)
            if isinstance(outcome, AttemptLost):
                # What else is on this connection belongs to no request.
                response.close()
            return outcome

    async def _read(self, response: aiohttp.ClientResponse) -> TargetAnswer:
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > ANSWER_LIMIT:
                raise ValueError(f'answer over {ANSWER_LIMIT} bytes')
            chunks.append(chunk)
        return TargetAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=b''.join(chunks),
            signature=self._exchange.signature(response.headers),
        )


def _reset_error() -> aiohttp.ClientPayloadError:
    return aiohttp.ClientPayloadError('reset before the answer ended')


def _exact_url(call: TargetCall) -> URL:
    """Give a URL whose path and query are sent as the caller sent them."""
    url = URL(f'http://{call.address}{call.path}', encoded=True)
    if url.raw_path_qs != call.path:
        # The library drops an empty query; this is where it looks the
        # request's path up.
        url._cache['raw_path_qs'] = call.path  # noqa: SLF001
    return url


def _session(*, keep: bool) -> aiohttp.ClientSession:
    connector = DirectConnector(keep=keep)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(total=None),
    )
    # Otherwise the library sends some requests again by itself.
    session._retry_connection = False  # noqa: SLF001
    return session
