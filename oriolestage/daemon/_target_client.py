"""HTTP client for targets."""

import asyncio
from collections.abc import Coroutine
from http import HTTPStatus

import aiohttp

from oriolestage._logging import log_event
from oriolestage.core import (
    CallTarget,
    KeyRange,
    Target,
    TargetAnswered,
    TargetConnectionLost,
    TargetFailed,
    TargetNotReached,
    TargetRefused,
    TargetResult,
    TargetStatus,
    TargetTimedOut,
)
from oriolestage.daemon._bodies import BodyReader
from oriolestage.daemon._events import Inbox, TargetCallEnded, TargetProbed
from oriolestage.daemon._target_answers import (
    check_rows,
    is_framed,
    parse_number,
)

#: Time after which an idle connection to a target is closed, in seconds.
IDLE_TIMEOUT_S = 300.0
#: Longest delay between the core's decision to call and the sending, in
#: seconds; a request that is delayed more is not sent.
MAX_SEND_DELAY_S = 0.25
#: Timeout for probes and cancellations, in seconds.
PROBE_TIMEOUT_S = 1.0
#: Longest text of an error in a log line, in characters.
MAX_ERROR_CHARACTERS = 300

REQUEST_ID_HEADER = 'X-Request-Id'
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
INDEX_VERSION_HEADER = 'X-Index-Version'
KEY_RANGE_HEADER = 'X-Key-Range'
PARTITION_REVISION_HEADER = 'X-Partition-Revision'
PROCESS_HEADER = 'X-Process'
STATE_HEADER = 'X-State'
INDEX_VERSIONS_HEADER = 'X-Index-Versions'
REFUSED_HEADER = 'X-Refused'
RETRY_AFTER_HEADER = 'X-Retry-After-Ms'
#: Headers that every answer must have.
REQUIRED_HEADERS = (
    KEY_RANGE_HEADER,
    INDEX_VERSION_HEADER,
    PARTITION_REVISION_HEADER,
)


class TargetClient:
    """Sends shard requests, cancellations and probes to targets."""

    def __init__(self, source_ip: str, inbox: Inbox) -> None:
        """Create a client that connects from ``source_ip``.

        Results go to ``inbox``.
        """
        self._source_ip = source_ip
        self._inbox = inbox
        self._session: aiohttp.ClientSession | None = None
        self._bodies = BodyReader()
        self._calls: dict[int, CallTarget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def held_bytes(self) -> int:
        """Bytes received so far of the bodies that are not complete."""
        return self._bodies.held_bytes

    def call(self, effect: CallTarget) -> None:
        """Send a shard request; its result goes to the inbox."""
        self._calls[effect.call] = effect
        decided_at = asyncio.get_running_loop().time()
        self._start_task(self._run(effect, decided_at))

    def cancel(self, call: int) -> None:
        """Ask a target to stop work on a call whose answer is not needed.

        The call itself still ends with a result.
        """
        effect = self._calls.get(call)
        if effect is not None:
            self._start_task(self._cancel(effect))

    def probe(self, target: Target) -> None:
        """Read the status page of a target.

        The status goes to the inbox; nothing does if the probe fails.
        """
        self._start_task(self._probe(target))

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    keepalive_timeout=IDLE_TIMEOUT_S,
                    local_addr=(self._source_ip, 0),
                ),
                auto_decompress=False,
            )
        return self._session

    async def _run(self, effect: CallTarget, decided_at: float) -> None:
        outcome = await self._get_result(effect, decided_at)
        self._calls.pop(effect.call, None)
        self._inbox.put_nowait(TargetCallEnded(effect.call, outcome))

    async def _get_result(
        self,
        effect: CallTarget,
        decided_at: float,
    ) -> TargetResult:
        delay_s = asyncio.get_running_loop().time() - decided_at
        if delay_s > MAX_SEND_DELAY_S:
            # The process was paused, so the decision to call may be outdated.
            return TargetNotReached()
        try:
            return await self._send_request(effect)
        except Exception as error:
            # Also errors of this program: the call has to end, or its slot at
            # the target would stay in use.
            _log_failure('target_call_failed', effect.target, error)
            return _classify_error(error)

    async def _send_request(self, effect: CallTarget) -> TargetResult:
        request = self._get_session().post(
            f'http://{effect.target.address}/v1/shards/{effect.target.service}',
            data=effect.body,
            headers={
                REQUEST_ID_HEADER: effect.request_id,
                TIMEOUT_HEADER: str(effect.timeout_ms),
                INDEX_VERSION_HEADER: str(effect.version),
                'Content-Type': 'application/json',
            },
            timeout=aiohttp.ClientTimeout(total=effect.call_timeout_ms / 1000),
        )
        async with request as response:
            body = await self._bodies.read(response)
            return _parse_response(effect, response, body)

    async def _cancel(self, effect: CallTarget) -> None:
        try:
            async with self._get_session().post(
                f'http://{effect.target.address}/v1/cancel',
                headers={REQUEST_ID_HEADER: effect.request_id},
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            ) as response:
                await self._bodies.read(response)
        except Exception as error:
            _log_failure('target_cancel_failed', effect.target, error)

    async def _probe(self, target: Target) -> None:
        try:
            async with self._get_session().get(
                f'http://{target.address}/v1/status',
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            ) as response:
                await self._bodies.read(response)
                target_status = _parse_status(response)
        except Exception as error:
            _log_failure('target_probe_failed', target, error)
            return
        self._inbox.put_nowait(TargetProbed(target.name, target_status))


def _log_failure(event: str, target: Target, error: Exception) -> None:
    log_event(
        event,
        {
            'step': 'target',
            'peer': target.address,
            'error': repr(error)[:MAX_ERROR_CHARACTERS],
        },
    )


def _classify_error(error: Exception) -> TargetResult:
    match error:
        case (
            aiohttp.ClientConnectorError()
            | aiohttp.ConnectionTimeoutError()
            | aiohttp.InvalidURL()
        ):
            return TargetNotReached()
        case TimeoutError():
            return TargetTimedOut()
        case aiohttp.ClientError() | OSError():
            return TargetConnectionLost()
    return TargetFailed(f'malformed response: {error!r}')


def _parse_response(
    effect: CallTarget,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> TargetResult:
    headers = response.headers
    if headers.get(REQUEST_ID_HEADER) != effect.request_id:
        return TargetFailed('the response belongs to another request')
    target_status = _parse_status(response)
    refused = headers.get(REFUSED_HEADER, '')
    if refused:
        retry_after_ms = parse_number(headers.get(RETRY_AFTER_HEADER, '0'))
        return TargetRefused(target_status, refused, retry_after_ms)
    if response.status == HTTPStatus.GATEWAY_TIMEOUT:
        return TargetTimedOut()
    if response.status != HTTPStatus.OK:
        return TargetFailed(f'status {response.status}')
    missing = [name for name in REQUIRED_HEADERS if name not in headers]
    if missing:
        return TargetFailed(f'no header {missing[0]}')
    if not is_framed(response, body):
        return TargetConnectionLost()
    check_rows(body)
    start, end = headers[KEY_RANGE_HEADER].split('-')
    return TargetAnswered(
        target_status=target_status,
        version=parse_number(headers[INDEX_VERSION_HEADER]),
        covered=KeyRange(parse_number(start), parse_number(end)),
        partition_revision=parse_number(headers[PARTITION_REVISION_HEADER]),
        rows=body,
    )


def _parse_status(response: aiohttp.ClientResponse) -> TargetStatus:
    headers = response.headers
    state = headers.get(STATE_HEADER, '')
    versions = headers.get(INDEX_VERSIONS_HEADER, '')
    return TargetStatus(
        process=headers.get(PROCESS_HEADER, ''),
        leaving=state == 'leaving',
        cold=state == 'cold',
        versions=tuple(
            parse_number(part) for part in versions.split(',') if part
        ),
    )
