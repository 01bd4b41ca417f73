"""Client of the platform's store, over HTTP and JSON."""

import base64
import json
import socket
from collections.abc import Iterable, Mapping, Sequence
from http import HTTPStatus
from types import SimpleNamespace
from typing import TypeVar

import aiohttp
import msgspec

from oriolestage.entry._ports import (
    HistoryLostError,
    HistoryReplacedError,
    Lease,
    LeaseEndedError,
    StoreChanges,
    StoreContents,
    StoreError,
    StorePosition,
)
from oriolestage.entry._store_eras import StoreEras
from oriolestage.platform import _names
from oriolestage.platform._documents import (
    crash_key,
    decode_item,
    decode_removal,
    encode_host,
)
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import HostRecord, StoredFact

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
#: Prefixes of the keys that concern an entry host.
RELEVANT_PREFIXES = (
    _names.CONFIGURATION_KEY,
    _names.CLOSED_DATA_CENTRE_PREFIX,
    _names.TARGET_PREFIX,
    _names.HOST_PREFIX,
    _names.CRASH_PREFIX,
)
#: Key of a call's trace context: whether it may only use an open connection.
REQUIRES_CONNECTION = 'requires_connection'
#: Prefix of all keys, so that one watch reports every change.
ALL_KEYS = ''


class _Item(msgspec.Struct, frozen=True):
    key: str
    value: str = ''
    revision: int = 0
    removed: bool = False


class _Range(msgspec.Struct, frozen=True, rename='camel'):
    listed: tuple[_Item, ...] = msgspec.field(name='items')
    # Revision of the whole store, not of an item.
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True, rename='camel'):
    events: tuple[_Item, ...]
    store_revision: int


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class _NotConnectedError(Exception):
    """A call that needs an open connection found none."""


class _Answer(msgspec.Struct, frozen=True):
    """A successful answer of the store."""

    body: bytes
    #: Era that it states; None if it states none.
    era: int | None


_Shape = TypeVar('_Shape', bound=msgspec.Struct)


class StoreClient:
    """Implements the store with the platform's HTTP calls.

    All calls to the store raise :class:`StoreError` if they fail.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the store at ``address``, as ``ip:port``.

        It connects with the first call.
        """
        self.eras = StoreEras()
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read_all(self) -> StoreContents:
        """Read all items that concern an entry host, page by page.

        Raises :class:`HistoryReplacedError` if the pages are of two eras.
        """
        facts: list[StoredFact] = []
        position: StorePosition | None = None
        after = ''
        while True:
            query = {'pathPrefix': ALL_KEYS}
            if after:
                query['after'] = after
            answer = await self._call('GET', _names.STORE_RANGE_PATH, query)
            page = self._decode(answer.body, _Range)
            # The pages are not one snapshot. Following the changes from the
            # revision of the first page covers those made between pages.
            if position is None:
                position = StorePosition(answer.era, page.store_revision)
            self._check_same_era(position, answer)
            facts.extend(_items_to_facts(page.listed))
            if not page.has_more or not page.listed:
                return StoreContents(tuple(facts), position)
            after = page.listed[-1].key

    async def changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Return the changes after a point in the history.

        If there are none yet, wait for them up to ``wait_s`` seconds. Raises
        :class:`HistoryLostError` if the store has dropped some of them, and
        :class:`HistoryReplacedError` if the answer is of another era.

        The call does not wait if it needs a new connection: the store may
        have been restored since the last answer, and only the next answer
        states its era.
        """
        try:
            answer = await self._watch(position, wait_s)
        except _NotConnectedError:
            answer = await self._watch(position, 0)
        # The store answers from a revision that it has given out again as if
        # nothing had happened.
        self._check_same_era(position, answer)
        listed = self._decode(answer.body, _Events)
        return StoreChanges(
            tuple(_items_to_facts(listed.events)),
            StorePosition(
                answer.era, max(position.revision, listed.store_revision)
            ),
        )

    async def _watch(self, position: StorePosition, wait_s: float) -> _Answer:
        return await self._call(
            'GET',
            _names.STORE_WATCH_PATH,
            {
                'pathPrefix': ALL_KEYS,
                # Here a revision, whereas in a range request it is a key.
                'after': str(position.revision),
                'waitMs': str(int(wait_s * MS_PER_S)),
            },
            wait_s=wait_s,
        )

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Open a lease and return it."""
        answer = await self._call(
            'POST',
            _names.LEASE_PATH,
            content={'ttlMs': int(time_to_live_s * MS_PER_S)},
        )
        return Lease(answer.era, self._decode(answer.body, _Lease).lease)

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease.

        Raises :class:`LeaseEndedError` if it has ended or is of an era that
        has.
        """
        self._check_lease(lease, self.eras.era)
        answer = await self._call(
            'POST', f'{_names.LEASE_RENEW_PATH}/{lease.number}'
        )
        self._check_lease(lease, answer.era)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; the store removes all items under it.

        Raises :class:`LeaseEndedError` if it has ended or is of an era that
        has.
        """
        self._check_lease(lease, self.eras.era)
        await self._call('DELETE', f'{_names.LEASE_END_PATH}/{lease.number}')

    async def register_host(self, record: HostRecord, lease: Lease) -> None:
        """Register this host until its lease ends."""
        key = f'{_names.HOST_PREFIX}{record.name}'
        await self._write({key: encode_host(record)}, lease)

    async def report_crashes(
        self,
        reports: Sequence[CrashReport],
        lease: Lease,
    ) -> None:
        """Store at most 32 crash reports, which the other hosts read."""
        await self._write(
            {crash_key(report): b'' for report in reports},
            lease,
        )

    async def _write(
        self, documents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write at most 32 items under a lease, atomically.

        Raises :class:`LeaseEndedError` if it has ended or is of an era that
        has.
        """
        self._check_lease(lease, self.eras.era)
        writes = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'lease': lease.number,
            }
            for key, content in documents.items()
        ]
        answer = await self._call(
            'POST',
            _names.STORE_WRITE_PATH,
            content={'expectedRev': [], 'writes': writes, 'remove': []},
        )
        self._check_lease(lease, answer.era)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        content: dict[str, object] | None = None,
        wait_s: float = 0,
    ) -> _Answer:
        """Send one request and return its 200 response.

        A call that waits raises :class:`_NotConnectedError` if it needs a new
        connection.
        """
        step = f'store.{path.rpartition("/")[2] or path}'
        session = self._get_session()
        body = None if content is None else json.dumps(content).encode()
        try:
            async with session.request(
                method,
                f'http://{self._address}{path}',
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
            raise StoreError(step, self._address, cause) from error
        stated = response.headers.get(_names.STORE_ERA_HEADER)
        valid = self._record_era(step, stated)
        self._check_status(step, response.status)
        if not valid:
            cause = f'{_names.STORE_ERA_HEADER} is {stated!r}'
            raise StoreError(step, self._address, cause)
        return _Answer(received, None if stated is None else int(stated))

    def _record_era(self, step: str, stated: str | None) -> bool:
        """Record the era that an answer states; return whether it is valid.

        It is not valid if it is malformed, missing in the answer of a store
        that states eras, or older than that of another answer.
        """
        if stated is None:
            return self.eras.record_unstated()
        if not (stated.isascii() and stated.isdigit()):
            return False
        return self.eras.record(int(stated), step, self._address)

    def _check_lease(self, lease: Lease, era: int | None) -> None:
        """Raise an error if a lease is not of an era."""
        if lease.era != era:
            raise LeaseEndedError(
                'store.era', self._address, f'era {era} after {lease.era}'
            )

    def _check_same_era(self, position: StorePosition, answer: _Answer) -> None:
        """Raise an error if an answer is of another era than a position."""
        if answer.era != position.era:
            raise HistoryReplacedError(
                'store.era',
                self._address,
                f'era {answer.era} after {position.era}',
            )

    def _decode(self, body: bytes, kind: type[_Shape]) -> _Shape:
        """Decode a body.

        Raises :class:`StoreError` if it does not match ``kind``.
        """
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise StoreError(
                'store.decode',
                self._address,
                str(error),
            ) from error

    def _check_status(self, step: str, status: int) -> None:
        """Raise an error unless the status is 200."""
        match status:
            case HTTPStatus.OK:
                return
            case HTTPStatus.GONE:
                raise HistoryLostError(step, self._address, 'history lost')
            case HTTPStatus.NOT_FOUND:
                raise LeaseEndedError(step, self._address, 'not found')
        raise StoreError(step, self._address, f'status {status}')

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


def _items_to_facts(stored: Iterable[_Item]) -> list[StoredFact]:
    facts: list[StoredFact] = []
    for item in stored:
        fact = _item_to_fact(item)
        if fact is not None:
            facts.append(fact)
    return facts


def _item_to_fact(item: _Item) -> StoredFact | None:
    if not item.key.startswith(RELEVANT_PREFIXES):
        return None
    if item.removed:
        return decode_removal(item.key)
    return decode_item(item.key, base64.b64decode(item.value))


async def _check_may_connect(
    _: aiohttp.ClientSession,
    context: SimpleNamespace,
    parameters: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Raise an error if a call may only use an open connection."""
    if context.trace_request_ctx[REQUIRES_CONNECTION]:
        raise _NotConnectedError


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
