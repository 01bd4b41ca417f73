"""HTTP calls to the platform's store, with the era of each answer."""

import json
import socket
from http import HTTPStatus
from types import SimpleNamespace

import aiohttp
import msgspec

from oriolestage.entry._ports import (
    HistoryLostError,
    LeaseEndedError,
    StoreError,
)
from oriolestage.entry._store_eras import StoreEras
from oriolestage.platform import _names

MS_PER_S = 1000
#: Timeout of a call, in seconds, in addition to the time that a watch waits.
#: The store answers in milliseconds, and in up to about 0.3 s while it is slow.
RESPONSE_TIMEOUT_S = 2.0
#: Timeout for a connection to be established, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Keep-alive probes detect a dead connection after about 3 s. Times in seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Time after which unacknowledged data breaks a connection, in milliseconds.
TCP_USER_TIMEOUT_MS = 2500
#: Key of a call's trace context: whether it may only use an open connection.
REQUIRES_CONNECTION = 'requires_connection'


class NotConnectedError(Exception):
    """A call that needs an open connection found none."""


class StoreAnswer(msgspec.Struct, frozen=True):
    """A successful answer of the store."""

    body: bytes
    #: Era that it states; None if it states none.
    era: int | None


class StoreCalls:
    """Sends calls to the store over connections that stay open.

    All calls raise :class:`StoreError` if they fail.
    """

    def __init__(self, address: str) -> None:
        """Create a sender of calls to ``address``, as ``ip:port``.

        It connects with the first call.
        """
        self.eras = StoreEras()
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        content: dict[str, object] | None = None,
        wait_s: float = 0,
    ) -> StoreAnswer:
        """Send one request and return its 200 response.

        A call that waits raises :class:`NotConnectedError` if it needs a new
        connection.
        """
        step = f'store.{path.rpartition("/")[2] or path}'
        session = self._get_session()
        body = None if content is None else json.dumps(content).encode()
        try:
            async with session.request(
                method,
                f'http://{self.address}{path}',
                params=query,
                data=body,
                headers={'Content-Type': 'application/json'} if body else {},
                trace_request_ctx={REQUIRES_CONNECTION: wait_s > 0},
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + RESPONSE_TIMEOUT_S,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                received = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            cause = f'{type(error).__name__}: {error}'
            raise StoreError(step, self.address, cause) from error
        stated = response.headers.get(_names.STORE_ERA_HEADER)
        valid = self._record_era(step, stated)
        self._check_status(step, response.status)
        if not valid:
            cause = f'{_names.STORE_ERA_HEADER} is {stated!r}'
            raise StoreError(step, self.address, cause)
        return StoreAnswer(received, None if stated is None else int(stated))

    def _record_era(self, step: str, stated: str | None) -> bool:
        """Record the era that an answer states; return whether it is valid.

        It is not valid if it is malformed, missing in the answer of a store
        that states eras, or older than that of another answer.
        """
        if stated is None:
            return self.eras.record_unstated()
        if not (stated.isascii() and stated.isdigit()):
            return False
        return self.eras.record(int(stated), step, self.address)

    def _check_status(self, step: str, status: int) -> None:
        """Raise an error unless the status is 200."""
        match status:
            case HTTPStatus.OK:
                return
            case HTTPStatus.GONE:
                raise HistoryLostError(step, self.address, 'history lost')
            case HTTPStatus.NOT_FOUND:
                raise LeaseEndedError(step, self.address, 'not found')
        raise StoreError(step, self.address, f'status {status}')

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            trace_config = aiohttp.TraceConfig()
            trace_config.on_connection_create_start.append(_check_may_connect)
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    socket_factory=_make_keepalive_socket
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                trust_env=False,
                trace_configs=[trace_config],
            )
        return self._session


async def _check_may_connect(
    _: aiohttp.ClientSession,
    context: SimpleNamespace,
    parameters: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Raise an error if a call may only use an open connection."""
    if context.trace_request_ctx[REQUIRES_CONNECTION]:
        raise NotConnectedError


def _make_keepalive_socket(
    address: aiohttp.AddrInfoType,
) -> socket.socket:
    """Create a socket that detects a dead connection within seconds."""
    created = socket.socket(*address[:3])
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        created.setsockopt(socket.IPPROTO_TCP, option, setting)
    return created
