"""HTTP calls to the platform's store, with the era of each answer."""

import asyncio
import json
import socket
import types
from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import urlencode

import aiohttp
import msgspec

from oriolestage.entry._connection_pool import (
    ConnectionPool,
    NotConnectedError,
    connect,
)
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._ports import (
    AnswerRejectedError,
    HistoryLostError,
    LeaseEndedError,
    StoreError,
)
from oriolestage.entry._response_framing import StatusResponseError
from oriolestage.entry._store_eras import StoreEras
from oriolestage.entry._target_connection import (
    MalformedResponseError,
    OversizedResponseError,
    RawResponse,
    TargetConnection,
)
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
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)
#: Methods whose calls may be sent again if their connection breaks.
REPEATABLE_METHODS = frozenset(('GET',))
#: Largest body of an answer to a watch, in bytes. Changes that are longer
#: together are read in pages instead.
MAX_CHANGES_BYTES = 8 * 1024 * 1024
#: Largest body of a page, in bytes: about 1 MB, and one value of 1 MiB as
#: base64 beyond that.
MAX_PAGE_BYTES = 4 * 1024 * 1024
#: Largest body of any other answer, in bytes.
MAX_ANSWER_BYTES = 262_144
#: Largest body of an answer by path.
MAX_BYTES_BY_PATH: Mapping[str, int] = types.MappingProxyType(
    {
        _names.STORE_WATCH_PATH: MAX_CHANGES_BYTES,
        _names.STORE_RANGE_PATH: MAX_PAGE_BYTES,
    },
)
#: Statuses of answers to calls that may succeed later: too many calls, too
#: slow a call.
PASSING_STATUSES = frozenset(
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
)
#: Most digits of an era.
MAX_ERA_DIGITS = 18
#: Errors of an answer that would be the same again.
UNUSABLE_ANSWER_ERRORS = (MalformedResponseError, OversizedResponseError)
#: Errors with which a call fails: the store is not reached, breaks the
#: connection, does not answer in time, or sends no valid response.
CALL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    ValueError,
    NotConnectedError,
)


class NoOpenConnectionError(Exception):
    """A call that needs an open connection found none."""


class StoreAnswer(msgspec.Struct, frozen=True):
    """A successful answer of the store."""

    body: bytes
    #: Era that it states; None if it states none.
    era: int | None


class _Call(msgspec.Struct, frozen=True, kw_only=True):
    """The bytes of a request and how to send them."""

    request: bytes
    #: Whether it may be sent again if its connection breaks.
    repeatable: bool
    #: Whether the store may wait before it answers.
    waits: bool
    #: Largest body of the answer, in bytes.
    max_bytes: int


class StoreCalls:
    """Sends calls to the store over connections that stay open.

    All calls raise :class:`StoreError` if they fail. Bytes that arrive
    outside of a call close the connection: a second copy of an answer must
    not be taken for the answer to the next call.
    """

    def __init__(self, address: str) -> None:
        """Create a sender of calls to ``address``, as ``ip:port``.

        It connects with the first call.
        """
        self.eras = StoreEras()
        self.address = address
        self._pool = ConnectionPool()
        self._held = HeldBytes()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

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

        Raises :class:`AnswerRejectedError` for an answer that would be the
        same again: it is too long, no HTTP, or refuses the call as such.

        A call that waits raises :class:`NoOpenConnectionError` if it needs a
        new connection.
        """
        step = f'store.{path.rpartition("/")[2] or path}'
        request = self._encode(method, path, query, content)
        try:
            async with asyncio.timeout(wait_s + RESPONSE_TIMEOUT_S):
                response = await self._send(
                    _Call(
                        request=request,
                        repeatable=method in REPEATABLE_METHODS,
                        waits=wait_s > 0,
                        max_bytes=MAX_BYTES_BY_PATH.get(path, MAX_ANSWER_BYTES),
                    ),
                )
        except CALL_ERRORS as error:
            cause = f'{type(error).__name__}: {error}'
            kind = StoreError
            if _is_unusable(error):
                kind = AnswerRejectedError
            raise kind(step, self.address, cause) from error
        stated = response.headers.get(_names.STORE_ERA_HEADER)
        valid = self._record_era(step, stated)
        self._check_status(path, step, response.status)
        if not valid:
            cause = f'{_names.STORE_ERA_HEADER} is {stated!r}'
            raise StoreError(step, self.address, cause)
        return StoreAnswer(
            response.body, None if stated is None else int(stated)
        )

    def _record_era(self, step: str, stated: str | None) -> bool:
        """Record the era that an answer states; return whether it is valid.

        It is not valid if it is malformed, missing in the answer of a store
        that states eras, or older than that of another answer.
        """
        if stated is None:
            return self.eras.record_unstated()
        if len(stated) > MAX_ERA_DIGITS or not (
            stated.isascii() and stated.isdigit()
        ):
            return False
        return self.eras.record(int(stated), step, self.address)

    def _check_status(self, path: str, step: str, status: int) -> None:
        """Raise an error unless the status is 200."""
        match status:
            case HTTPStatus.OK:
                return
            case HTTPStatus.GONE:
                raise HistoryLostError(step, self.address, 'history lost')
            case HTTPStatus.NOT_FOUND if path not in MAX_BYTES_BY_PATH:
                raise LeaseEndedError(step, self.address, 'not found')
        kind = StoreError
        if _is_client_error(status) and status not in PASSING_STATUSES:
            kind = AnswerRejectedError
        raise kind(step, self.address, f'status {status}')

    async def _send(self, call: _Call) -> RawResponse:
        """Send a call on an open connection, or on a new one.

        The store may close an open connection just as the call is sent. A
        repeatable one is then sent again on a new connection, unless it waits.
        """
        connection = self._pool.take(self.address)
        if connection is not None:
            try:
                return await self._exchange(connection, call)
            except (aiohttp.ServerDisconnectedError, ConnectionError):
                if not call.repeatable:
                    raise
        if call.waits:
            raise NoOpenConnectionError
        connection = await self._connect()
        return await self._exchange(connection, call)

    async def _exchange(
        self, connection: TargetConnection, call: _Call
    ) -> RawResponse:
        completed = False
        try:
            response = await connection.exchange(
                call.request, without_body=False, max_body_bytes=call.max_bytes
            )
            completed = True
        finally:
            if not completed:
                connection.abort()
        self._pool.put(self.address, connection)
        return response

    async def _connect(self) -> TargetConnection:
        """Open a connection on which a silent store is noticed in seconds."""
        connection = await connect(self.address, self._held, CONNECT_TIMEOUT_S)
        if connection.transport is None:
            raise aiohttp.ServerDisconnectedError
        opened = connection.transport.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in KEEPALIVE_OPTIONS:
            opened.setsockopt(socket.IPPROTO_TCP, option, setting)
        return connection

    def _encode(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        content: dict[str, object] | None,
    ) -> bytes:
        """Return the bytes of a request."""
        body = b'' if content is None else json.dumps(content).encode()
        if query:
            path = f'{path}?{urlencode(query, safe="/")}'
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        if body:
            lines.append('Content-Type: application/json')
        if body or method not in REPEATABLE_METHODS:
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body


def _is_unusable(error: Exception) -> bool:
    """Return whether the answer to the same call would be the same again.

    A store that sends no valid status is failing, like one with a 5xx status.
    """
    if isinstance(error, StatusResponseError):
        return False
    return isinstance(error, UNUSABLE_ANSWER_ERRORS)


def _is_client_error(status: int) -> bool:
    """Return whether the call as such was refused."""
    first = HTTPStatus.BAD_REQUEST
    return first <= status < HTTPStatus.INTERNAL_SERVER_ERROR
