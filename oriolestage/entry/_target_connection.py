"""A connection to a target, for one HTTP/1.1 exchange at a time.

Calls to the store use such connections as well.

aiohttp parses the responses. Its client session is not used: for a query over
many shards, about half of the host's processor time would go into it.
"""

import asyncio
import dataclasses
import socket
from typing import Any

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import (
    HttpParser,
    HttpResponseParser,
    HttpVersion11,
    RawResponseMessage,
)
from aiohttp.streams import StreamReader
from multidict import CIMultiDictProxy

from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._response_framing import (
    CutOffResponseError,
    MalformedResponseError,
    OversizedResponseError,
    check_framing,
    is_interim,
)
from oriolestage.entry._socket_peeking import Unread, is_quiet, peek

#: Largest response body accepted from a target, in bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
#: Bytes of a response that may be something else than its body: its head,
#: interim responses, trailers and the framing of chunks. Chunks may add as
#: many bytes again as the body has.
MAX_OVERHEAD_BYTES = 65_536
#: Bytes that are parsed before these limits are checked again.
PARSED_AT_ONCE_BYTES = 16_384
#: Statuses of responses without a body (RFC 9110, 6.4.1).
EMPTY_STATUSES = frozenset((204, 304))
#: Time after which a connection with unacknowledged bytes fails, in ms.
TCP_USER_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class RawResponse:
    """A complete response."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class TargetConnection(BaseProtocol):
    """Sends a request and reads its response.

    Every byte received outside of an exchange closes the connection, since
    it belongs to no request.
    """

    __slots__ = (
        '_chunks',
        '_held',
        '_max_body_bytes',
        '_message',
        '_payload',
        '_received',
        '_response_future',
        '_reusable',
        '_size',
        '_without_body',
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, held: HeldBytes
    ) -> None:
        """Create a connection that is not in use.

        ``held`` counts the bytes that all connections hold.
        """
        super().__init__(loop)
        self._held = held
        self._reusable = True
        self._without_body = False
        self._max_body_bytes = MAX_RESPONSE_BYTES
        self._response_future: asyncio.Future[RawResponse] | None = None
        self._message: RawResponseMessage | None = None
        self._payload: StreamReader | None = None
        self._chunks: list[bytes] = []
        #: Bytes of the body, and of everything received, in this exchange.
        self._size = 0
        self._received = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and can take another request.

        The loop may not have read yet what arrived since the last response.
        """
        return self._reusable and is_quiet(self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time-out for bytes that the target does not acknowledge."""
        super().connection_made(transport)
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )

    async def exchange(
        self,
        request: bytes,
        *,
        without_body: bool,
        max_body_bytes: int = MAX_RESPONSE_BYTES,
    ) -> RawResponse:
        """Send a request and return the response.

        ``without_body`` is True if the response has no body whatever its
        headers say, as for HEAD. Raises ``aiohttp.ClientError`` or
        ``OSError`` if the connection breaks or the response is malformed, and
        :class:`OversizedResponseError`.
        """
        if self.transport is None:
            raise aiohttp.ServerDisconnectedError
        self._without_body = without_body
        self._max_body_bytes = max_body_bytes
        self._parser = HttpResponseParser(
            self,
            self._loop,
            MAX_RESPONSE_BYTES,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=not without_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._response_future = self._loop.create_future()
        self.transport.write(request)
        try:
            return await self._response_future
        finally:
            self._response_future = None

    def abort(self) -> None:
        """Close the connection at once, so that the target stops working."""
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def pause_reading(self) -> None:
        """Do nothing: the body is read as it arrives and has a bound."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, as reading is never paused."""

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; close the connection on any others.

        Lines of the head are parsed one by one, so that an error in the bytes
        after a complete response does not hide the response.
        """
        start = 0
        while start < len(data):
            parser = self._parser
            if parser is None:
                self.abort()
                return
            end = start + PARSED_AT_ONCE_BYTES
            if self._message is None:
                end = data.find(b'\n', start, end) + 1 or end
            self._parse(parser, data[start:end])
            start = end

    def eof_received(self) -> bool:
        """End a response that has no length, unless a reset cut it off.

        The event loop reports a reset that arrives together with the last
        bytes as an end of the stream, so the socket's state is checked.
        """
        self._reusable = False
        if peek(self.transport) in {Unread.CONTENT, Unread.ERROR}:
            self._fail(aiohttp.ClientPayloadError('reset within a response'))
            return False
        self._end_of_stream()
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the exchange if its response is not complete."""
        super().connection_lost(exc)
        self._reusable = False
        if isinstance(exc, OSError):
            self._fail(exc)
        else:
            self._fail(aiohttp.ServerDisconnectedError())

    def _parse(self, parser: HttpParser[Any], data: bytes) -> None:
        self._received += len(data)
        try:
            messages, upgraded, _ = parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - any error of the parser
            # The response may be complete, and the error be in what follows.
            self._read_payload()
            self._fail(MalformedResponseError(repr(error)))
            return
        if upgraded:
            self._fail(MalformedResponseError('protocol upgrade'))
            return
        for message, payload in messages:
            self._start_response(message, payload)
            if self._parser is not parser:
                return
        self._read_payload()
        overhead = self._received - self._size
        if overhead > MAX_OVERHEAD_BYTES + self._size:
            self._fail(OversizedResponseError(f'{overhead} bytes of overhead'))

    def _start_response(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        """Take the head of a response; interim ones are skipped."""
        if is_interim(message):
            return
        if self._message is not None:
            # Bytes of another response follow the first one.
            self._reusable = False
            return
        without_body = self._without_body or message.code in EMPTY_STATUSES
        try:
            check_framing(message, payload, without_body=without_body)
        except MalformedResponseError as error:
            self._fail(error)
            return
        self._message = message
        self._payload = payload
        if message.should_close or message.version < HttpVersion11:
            self._reusable = False
        if without_body:
            self._complete()

    def _read_payload(self) -> None:
        payload = self._payload
        if payload is None or self._response_future is None:
            return
        error = payload.exception()
        if error is not None:
            self._fail(MalformedResponseError(repr(error)))
            return
        chunk = payload.read_nowait()
        if chunk:
            self._chunks.append(chunk)
            self._size += len(chunk)
            self._held.add(len(chunk))
        too_long = self._size > self._max_body_bytes
        if too_long or not self._held.accepts(self._size):
            self._fail(OversizedResponseError(f'body of {self._size} bytes'))
        elif payload.is_eof():
            self._complete()

    def _end_of_stream(self) -> None:
        """Complete a response whose end is the end of the stream."""
        if self._parser is None or self._payload is None:
            self._fail(aiohttp.ServerDisconnectedError())
            return
        try:
            self._parser.feed_eof()
        except Exception as error:  # noqa: BLE001 - any error of the parser
            self._fail(CutOffResponseError(repr(error)))
            return
        self._read_payload()
        self._fail(aiohttp.ClientPayloadError('end within a response'))

    def _complete(self) -> None:
        """Hand over the response and prepare for the next exchange."""
        future = self._response_future
        message = self._message
        body = b''.join(self._chunks)
        self._reset_exchange()
        if future is None or future.done() or message is None:
            return
        future.set_result(RawResponse(message.code, message.headers, body))

    def _fail(self, error: Exception) -> None:
        """Fail the exchange, if there is one, and close the connection."""
        future = self._response_future
        self._reset_exchange()
        if future is not None and not future.done():
            future.set_exception(error)
        self.abort()

    def _reset_exchange(self) -> None:
        self._parser = None
        self._message = None
        self._payload = None
        self._chunks = []
        self._held.release(self._size)
        self._size = 0
        self._received = 0
