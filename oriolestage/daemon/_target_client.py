"""Calls to targets over HTTP."""

import asyncio
from collections.abc import Coroutine
from http import HTTPStatus

import aiohttp

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
from oriolestage.daemon._events import Inbox, TargetEnded, TargetProbed

#: Time for which an idle connection to a target is kept, in seconds.
KEEPALIVE_S = 300.0
#: A request delayed by this much before it was sent is given up, seconds.
LATEST_SEND_S = 0.25
#: Longest wait for a target's status page, in seconds.
PROBE_TIMEOUT_S = 1.0

REQUEST_ID = 'X-Request-Id'
TIMEOUT = 'X-Request-Timeout-Ms'
INDEX_VERSION = 'X-Index-Version'
KEY_RANGE = 'X-Key-Range'
PARTITION = 'X-Partition-Revision'
PROCESS = 'X-Process'
STATE = 'X-State'
VERSIONS = 'X-Index-Versions'
REFUSED = 'X-Refused'
RETRY_AFTER = 'X-Retry-After-Ms'
#: Headers without which an answer cannot be used.
ANSWER_HEADERS = (KEY_RANGE, INDEX_VERSION, PARTITION)


class TargetClient:
    """Owns the connections to targets."""

    def __init__(self, source_ip: str, inbox: Inbox) -> None:
        """Connect from ``source_ip``; outcomes go to ``inbox``."""
        self._source_ip = source_ip
        self._inbox = inbox
        self._session: aiohttp.ClientSession | None = None
        self._calls: dict[int, CallTarget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, effect: CallTarget) -> None:
        """Send a shard request."""
        self._calls[effect.call] = effect
        decided_at = asyncio.get_running_loop().time()
        self._start(self._run(effect, decided_at))

    def cancel(self, call: int) -> None:
        """Tell a target that an answer is no longer wanted."""
        effect = self._calls.get(call)
        if effect is not None:
            self._start(self._cancel(effect))

    def probe(self, target: Target) -> None:
        """Read a target's status page."""
        self._start(self._probe(target))

    async def close(self) -> None:
        """Close all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    keepalive_timeout=KEEPALIVE_S,
                    local_addr=(self._source_ip, 0),
                ),
                auto_decompress=False,
            )
        return self._session

    async def _run(self, effect: CallTarget, decided_at: float) -> None:
        outcome = await self._outcome(effect, decided_at)
        self._calls.pop(effect.call, None)
        self._inbox.put_nowait(TargetEnded(effect.call, outcome))

    async def _outcome(
        self,
        effect: CallTarget,
        decided_at: float,
    ) -> TargetResult:
        delay_s = asyncio.get_running_loop().time() - decided_at
        if delay_s > LATEST_SEND_S:
            # The process was paused; what it decided then may be wrong now.
            return TargetNotReached()
        try:
            return await self._exchange(effect)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _failure(error)

    async def _exchange(self, effect: CallTarget) -> TargetResult:
        request = self._open().post(
            f'http://{effect.target.address}/v1/shards/{effect.target.service}',
            data=effect.body,
            headers={
                REQUEST_ID: effect.request_id,
                TIMEOUT: str(effect.timeout_ms),
                INDEX_VERSION: str(effect.version),
                'Content-Type': 'application/json',
            },
            timeout=aiohttp.ClientTimeout(total=effect.call_timeout_ms / 1000),
        )
        async with request as response:
            body = await response.read()
            return _parse(effect, response, body)

    async def _cancel(self, effect: CallTarget) -> None:
        try:
            async with self._open().post(
                f'http://{effect.target.address}/v1/cancel',
                headers={REQUEST_ID: effect.request_id},
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            return

    async def _probe(self, target: Target) -> None:
        try:
            async with self._open().get(
                f'http://{target.address}/v1/status',
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            ) as response:
                await response.read()
                target_status = _target_status(response)
        except (aiohttp.ClientError, OSError, ValueError):
            return
        self._inbox.put_nowait(TargetProbed(target.name, target_status))


def _failure(error: Exception) -> TargetResult:
    match error:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return TargetNotReached()
        case TimeoutError():
            return TargetTimedOut()
        case aiohttp.ClientError() | OSError():
            return TargetConnectionLost()
    return TargetFailed(f'malformed response: {error!r}')


def _parse(
    effect: CallTarget,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> TargetResult:
    headers = response.headers
    if headers.get(REQUEST_ID) != effect.request_id:
        return TargetFailed('the response belongs to another request')
    target_status = _target_status(response)
    refused = headers.get(REFUSED, '')
    if refused:
        wait_ms = int(headers.get(RETRY_AFTER, '0'))
        return TargetRefused(target_status, refused, wait_ms)
    if response.status == HTTPStatus.GATEWAY_TIMEOUT:
        return TargetTimedOut()
    if response.status != HTTPStatus.OK:
        return TargetFailed(f'status {response.status}')
    missing = [name for name in ANSWER_HEADERS if name not in headers]
    if missing:
        return TargetFailed(f'no header {missing[0]}')
    start, end = headers[KEY_RANGE].split('-')
    return TargetAnswered(
        target_status=target_status,
        version=int(headers[INDEX_VERSION]),
        covered=KeyRange(int(start), int(end)),
        partition_revision=int(headers[PARTITION]),
        rows=body,
    )


def _target_status(response: aiohttp.ClientResponse) -> TargetStatus:
    headers = response.headers
    state = headers.get(STATE, '')
    versions = headers.get(VERSIONS, '')
    return TargetStatus(
        process=headers.get(PROCESS, ''),
        leaving=state == 'leaving',
        cold=state == 'cold',
        versions=tuple(int(part) for part in versions.split(',') if part),
    )
