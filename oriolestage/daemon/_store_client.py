"""HTTP client for the platform's store and host list."""

import asyncio
from http import HTTPStatus

import aiohttp

from oriolestage.core import (
    MalformedError,
    ReadHostList,
    StoreFound,
    StoreMismatch,
    StoreMissing,
    StoreOutcome,
    StoreRead,
    StoreUnreachable,
    StoreWatch,
    StoreWrite,
    StoreWritten,
    parse_count,
)
from oriolestage.daemon._bodies import BodyReader
from oriolestage.daemon._events import Inbox, StoreCallEnded
from oriolestage.daemon._failure_log import FailureLog

#: How long the store lets a watch wait for a change, in milliseconds.
WATCH_WAIT_MS = 1000
#: Response header with the version of a key.
VERSION_HEADER = 'X-Version'

#: Errors of a call that may have been carried out. ``ValueError`` is raised
#: for an answer whose version is malformed or missing, or that is too long.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError)

StoreEffect = StoreRead | StoreWrite | StoreWatch | ReadHostList


class StoreClient:
    """Executes calls to the platform and reports their outcomes as events."""

    def __init__(
        self,
        store: str,
        host_list: str,
        source_ip: str,
        timeout_s: float,
        inbox: Inbox,
        failures: FailureLog,
    ) -> None:
        """Create a client.

        ``store`` and ``host_list`` are addresses as ``ip:port``; the client
        connects from ``source_ip``.
        """
        self._store_url = f'http://{store}/v1/kv'
        self._hosts_url = f'http://{host_list}/v1/hosts'
        self._source_ip = source_ip
        self._timeout_s = timeout_s
        self._inbox = inbox
        self._failures = failures
        self._session: aiohttp.ClientSession | None = None
        self._bodies = BodyReader()
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, effect: StoreEffect) -> None:
        """Start a call; its outcome goes to the inbox as ``StoreCallEnded``."""
        task = asyncio.create_task(self._run(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _run(self, effect: StoreEffect) -> None:
        try:
            outcome = await self._call(effect)
        except aiohttp.ClientConnectorError:
            outcome = StoreUnreachable(sent=False)
        except CALL_ERRORS as error:
            if isinstance(error, ValueError):
                self._failures.record_malformed(
                    'store_answer_malformed', 'store.answer', error
                )
            outcome = StoreUnreachable(sent=True)
        except Exception as error:
            # The core waits for an outcome before it calls the store again.
            self._failures.record_unexpected('store.call', error)
            outcome = StoreUnreachable(sent=True)
        self._inbox.put_nowait(StoreCallEnded(effect.operation, outcome))

    async def _call(self, effect: StoreEffect) -> StoreOutcome:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    # aiohttp takes bytes that arrive on an idle connection,
                    # such as a second copy of an answer, for the answer to
                    # the next call.
                    force_close=True,
                    local_addr=(self._source_ip, 0),
                ),
            )
        match effect:
            case StoreRead(key=key):
                return await self._get(f'{self._store_url}/{key}', {}, 0)
            case StoreWatch(key=key, after=after):
                query = {'after': str(after), 'wait_ms': str(WATCH_WAIT_MS)}
                wait_s = WATCH_WAIT_MS / 1000
                return await self._get(
                    f'{self._store_url}/{key}',
                    query,
                    wait_s,
                )
            case ReadHostList():
                return await self._get_host_list()
            case StoreWrite():
                return await self._put(effect)

    async def _get(
        self,
        url: str,
        query: dict[str, str],
        wait_s: float,
    ) -> StoreOutcome:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        request = self._session.get(url, params=query, timeout=timeout)
        async with request as response:
            content = await self._bodies.read(response)
            match response.status:
                case HTTPStatus.OK:
                    return StoreFound(content, _parse_version(response))
                case HTTPStatus.NOT_FOUND:
                    return StoreMissing()
            return StoreUnreachable(sent=True)

    async def _get_host_list(self) -> StoreOutcome:
        """Read the host list, which has no version."""
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        request = self._session.get(self._hosts_url, timeout=timeout)
        async with request as response:
            content = await self._bodies.read(response)
            if response.status == HTTPStatus.OK:
                return StoreFound(content, 0)
            return StoreUnreachable(sent=True)

    async def _put(self, effect: StoreWrite) -> StoreOutcome:
        assert self._session is not None
        query = {'expected': str(effect.expected), 'ttl_s': str(effect.ttl_s)}
        request = self._session.put(
            f'{self._store_url}/{effect.key}',
            params=query,
            data=effect.content,
            timeout=aiohttp.ClientTimeout(total=self._timeout_s),
        )
        async with request as response:
            await self._bodies.read(response)
            match response.status:
                case HTTPStatus.OK:
                    return StoreWritten(_parse_version(response))
                case HTTPStatus.CONFLICT:
                    return StoreMismatch()
            return StoreUnreachable(sent=True)


def _parse_version(response: aiohttp.ClientResponse) -> int:
    """Return the version in an answer; raise ``ValueError`` if malformed."""
    version = parse_count(response.headers.get(VERSION_HEADER, ''))
    if not version:
        raise MalformedError('version 0 is that of an absent key')
    return version
