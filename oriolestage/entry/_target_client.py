"""Sends attempts to targets over HTTP."""

import asyncio
import dataclasses
import socket
from http import HTTPStatus

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from oriolestage.entry._ports import Exchange
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
UNACKNOWLEDGED_LIMIT_MS = 3000
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


class TargetConnection(ResponseHandler):
    """A connection that does not hide damage from the client library."""

    def is_connected(self) -> bool:
        """Tell whether the connection may be used again."""
        return super().is_connected() and not self.should_close

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length that a reset cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('reset before the answer ended'),
            )
        super().connection_lost(exc)


class TargetClient:
    """Keeps connections to targets and sends attempts over them."""

    def __init__(self, exchange: Exchange) -> None:
        """Prepare the client; connections are made on demand."""
        self._exchange = exchange
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
        except aiohttp.ClientConnectorError:
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        except aiohttp.ConnectionTimeoutError:
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptLost(f'target.{type(error).__name__}')

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
            URL(f'http://{call.address}{call.path}', encoded=True),
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


def _session(*, keep: bool) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not keep,
        socket_factory=_target_socket,
        **({'keepalive_timeout': IDLE_LIMIT_S} if keep else {}),
    )
    # The library has no public way to choose the connection's class.
    connector._factory = lambda: TargetConnection(loop=loop)  # noqa: SLF001
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
    )
    # Otherwise the library sends some requests again by itself.
    session._retry_connection = False  # noqa: SLF001
    return session


def _target_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_LIMIT_MS,
    )
    return made
