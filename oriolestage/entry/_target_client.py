"""Sends attempts to targets over HTTP."""

import asyncio
import dataclasses
import functools
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol, TypeVar

import aiohttp

from oriolestage._logging import log_event
from oriolestage.entry._connection_pool import (
    ConnectionPool,
    NotConnectedError,
    connect,
)
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._ports import WireProtocol
from oriolestage.entry._response_framing import (
    CutOffResponseError,
    MalformedResponseError,
)
from oriolestage.entry._target_connection import RawResponse, TargetConnection
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)

#: Methods whose requests have no meaning for a body (RFC 9110, 9.3). Others
#: state a length of 0 if they have none.
METHODS_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE', 'DELETE'))
#: Characters that would end a header line or a request line early.
LINE_BREAKS = frozenset('\r\n\0')
#: Time within which a probed target has to respond, in seconds. A health
#: check waits for a slot like any other request.
PROBE_TIMEOUT_S = 1.0
#: Largest body of a response to a probe, in bytes.
PROBE_BODY_BYTES = 65_536
#: Errors that mean that a probed target did not respond; a time-out is an
#: ``OSError``.
PROBE_ERRORS = (NotConnectedError, aiohttp.ClientError, OSError, ValueError)

_Notice = TypeVar('_Notice')


class TargetObserver(Protocol):
    """Is told what targets state about themselves in responses."""

    def record_rate_limit(
        self, identity: str, limit: float | None, now: float
    ) -> None:
        """Record the rate limit in a response of a target.

        ``limit`` is in requests per second of all hosts; None for no limit.
        """

    def record_leaving(self, identity: str) -> None:
        """Record that a target is about to leave."""

    def record_rest(self, identity: str, rest_s: float, now: float) -> None:
        """Record that a target wants no request of this host for a time.

        ``rest_s`` is in seconds from ``now``.
        """


@dataclasses.dataclass(slots=True)
class ExchangeTimer:
    """When a request was sent on an open connection."""

    #: Monotonic time; None before it is sent.
    sent_at: float | None = None


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
    #: Hash of the request's content and account, equal for repeated requests.
    fingerprint: int
    route: str = ''
    #: Name of the target's process, as far as it is known.
    process: str = ''
    timer: ExchangeTimer = dataclasses.field(
        default_factory=ExchangeTimer, compare=False
    )


class TargetClient:
    """Sends attempts to targets over HTTP/1.1."""

    def __init__(
        self,
        wire_protocol: WireProtocol,
        observer: TargetObserver,
        held: HeldBytes | None = None,
    ) -> None:
        """Create a client; connections are opened on demand.

        ``observer`` is told what each response states about its target;
        ``held`` bounds what incomplete responses take.
        """
        self._wire_protocol = wire_protocol
        self._observer = observer
        self._pool = ConnectionPool()
        self._held = held or HeldBytes()

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies received so far of responses in progress."""
        return self._held.total

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def probe(self, address: str, path: str) -> bool:
        """Return whether a target responds to ``GET`` of a path.

        Any complete response shows that it is reached, whatever its status.
        A connection is opened for it and kept for the next attempt there.
        """
        connection: TargetConnection | None = None
        completed = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await connect(address, self._held)
                await connection.exchange(
                    _encode_head('GET', path, (('Host', address),)),
                    without_body=False,
                    max_body_bytes=PROBE_BODY_BYTES,
                )
            completed = True
        except PROBE_ERRORS as error:
            log_event(
                'probe_failed',
                {'step': 'probe', 'peer': address, 'error': repr(error)},
            )
        finally:
            if connection is not None and not completed:
                connection.abort()
        if connection is not None and completed:
            self._pool.put(address, connection)
        return completed

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt and return its outcome.

        Cancelling the call closes the connection, so that the target stops.
        """
        try:
            async with asyncio.timeout(call.time_left_s):
                return await self._send_request(call)
        except NotConnectedError:
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        except TimeoutError:
            return AttemptLost('target.deadline')
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptLost(
                f'target.{type(error).__name__}', _is_broken(error)
            )

    async def _send_request(self, call: TargetCall) -> AttemptOutcome:
        deadline = time.monotonic() + call.time_left_s
        connection = await self._connection_for(call)
        completed = False
        try:
            # The time left is stated as late as possible: connecting takes
            # time, and the process may have been paused meanwhile.
            call.timer.sent_at = time.monotonic()
            time_left_s = deadline - call.timer.sent_at
            if time_left_s <= 0:
                raise TimeoutError
            response = await connection.exchange(
                self._encode(call, time_left_s),
                without_body=call.method == 'HEAD',
            )
            completed = True
        finally:
            if not completed:
                connection.abort()
        outcome = self._outcome(call, response)
        self._report_notices(call, response, outcome)
        if isinstance(outcome, AttemptLost) or not call.repeatable:
            # Bytes that follow the answer to another request cannot be
            # matched to a request, so the connection must not be reused.
            connection.abort()
        else:
            self._pool.put(call.address, connection)
        return outcome

    def _outcome(
        self, call: TargetCall, response: RawResponse
    ) -> AttemptOutcome:
        """Return what a response says about the attempt.

        A success with a content coding is lost, as nobody has asked for one:
        its body is not the content that callers get and that is merged.
        """
        outcome = self._wire_protocol.outcome(
            call.request_id, self._build_answer(response)
        )
        match outcome:
            case AttemptLost():
                return dataclasses.replace(outcome, responded=True)
            case AttemptAnswered(answer=answer) if (
                answer.success and 'Content-Encoding' in response.headers
            ):
                return AttemptLost('answer.encoded', responded=True)
        return outcome

    def _report_notices(
        self,
        call: TargetCall,
        response: RawResponse,
        outcome: AttemptOutcome,
    ) -> None:
        """Report what a target states, unless another one may have sent it.

        A response that cannot be matched to the call says nothing about the
        target, nor does a malformed statement, which is logged.
        """
        match outcome:
            case AttemptLost():
                return
            case AttemptNotRun(reason=NotRunReason.OTHER_TARGET):
                return
        now = time.monotonic()
        protocol = self._wire_protocol
        for limit in _read(protocol.rate_limit, call, response):
            self._observer.record_rate_limit(call.target, limit, now)
        if any(_read(protocol.leaving, call, response)):
            self._observer.record_leaving(call.target)
        read_rest = functools.partial(protocol.rest_s, response.status)
        for rest_s in _read(read_rest, call, response):
            if rest_s:
                self._observer.record_rest(call.target, rest_s, now)

    async def _connection_for(self, call: TargetCall) -> TargetConnection:
        if call.repeatable:
            idle = self._pool.take(call.address)
            if idle is not None:
                return idle
        return await connect(call.address, self._held)

    def _build_answer(self, response: RawResponse) -> TargetAnswer:
        return TargetAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=response.body,
            signature=self._wire_protocol.signature(response.headers),
        )

    def _encode(self, call: TargetCall, time_left_s: float) -> bytes:
        """Return the bytes of the request, with the time left in seconds.

        Raises ``ValueError`` if a line would end early.
        """
        headers = self._wire_protocol.target_headers(
            call.headers, call.target, time_left_s
        )
        if not any(name.lower() == 'host' for name, _ in headers):
            headers.insert(0, ('Host', call.address))
        if call.body or call.method not in METHODS_WITHOUT_BODY:
            headers.append(('Content-Length', str(len(call.body))))
        return _encode_head(call.method, call.path, headers) + call.body


def _encode_head(
    method: str, path: str, headers: Iterable[tuple[str, str]]
) -> bytes:
    """Return the head of a request.

    Raises ``ValueError`` if a line would end early.
    """
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers)
    for line in lines:
        if not LINE_BREAKS.isdisjoint(line):
            raise ValueError('line break in a request line or header')
    return '\r\n'.join((*lines, '', '')).encode('utf-8', 'surrogateescape')


def _is_broken(error: Exception) -> bool:
    """Return whether the connection broke, as when a target crashes.

    A target that sends what is no answer is alive.
    """
    match error:
        case CutOffResponseError():
            return True
        case MalformedResponseError():
            return False
    return isinstance(error, aiohttp.ClientError | OSError)


def _read(
    read: Callable[[Mapping[str, str]], _Notice],
    call: TargetCall,
    response: RawResponse,
) -> tuple[_Notice, ...]:
    """Return what a response states, or nothing if that is malformed."""
    try:
        return (read(response.headers),)
    except ValueError as error:
        log_event(
            'notice_unreadable',
            {'step': 'target', 'peer': call.address, 'error': error},
        )
    return ()
