"""A small in-memory store with the platform's calls, copies and eras."""

import asyncio
import base64
import copy
import dataclasses
import socket
from collections.abc import Callable, Mapping
from http import HTTPStatus

import msgspec
from aiohttp import web

from oriolestage.platform import _names

#: Interval at which a waiting watch looks for changes, in seconds.
POLL_INTERVAL_S = 0.01
#: Time for which open calls may end when the store is closed, in seconds.
SHUTDOWN_TIMEOUT_S = 0.1
MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class StoreContent:
    """What a copy of the store holds."""

    revision: int = 100
    #: Numbers of leases that have not ended.
    leases: set[int] = dataclasses.field(default_factory=set)
    last_lease: int = 0
    #: Items by key, as the store returns them.
    listed: dict[str, dict[str, object]] = dataclasses.field(
        default_factory=dict,
    )
    #: Changes since `oldest_revision`, in order.
    history: list[dict[str, object]] = dataclasses.field(default_factory=list)
    oldest_revision: int = 100


class PlatformStore:
    """Serves the calls of the store on a loopback address.

    It can be restored from a copy, which cuts all connections and raises the
    era. Leases end only when they are ended or are not in the copy.
    """

    def __init__(self, page_items: int = 500) -> None:
        """Create an empty store that lists ``page_items`` items at once."""
        self.content = StoreContent()
        #: Era stated in all answers; None to state none.
        self.era: int | None = 1
        #: Paths of the calls received, in order.
        self.calls: list[str] = []
        #: True while calls get no answer.
        self.silent = False
        #: Number of calls to end a lease that are still turned away.
        self.refused_ends = 0
        #: True while calls are lost: they are never answered.
        self.loses_calls = False
        #: Called before each page of a listing.
        self.before_page: Callable[[], None] = _do_nothing
        self.address = ''
        self._page_items = page_items
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        await self._runner.setup()
        await web.SockSite(self._runner, listener).start()

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        await self._runner.cleanup()

    def take_copy(self) -> StoreContent:
        """Return a copy of the present content."""
        return copy.deepcopy(self.content)

    def restore(self, content: StoreContent, *, cut: bool = True) -> None:
        """Return to a copy and raise the era.

        If ``cut``, cut all connections; otherwise the calls in progress are
        never answered.
        """
        self.content = copy.deepcopy(content)
        if self.era is not None:
            self.era += 1
        if cut:
            self.cut_connections()

    def cut_connections(self) -> None:
        """Cut all connections, and with them the waiting calls."""
        server = self._runner.server
        assert server is not None
        for connection in server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def write(self, key: str, document: object, lease: int = 0) -> None:
        """Write an item as the operators or the targets do."""
        self._write(key, msgspec.json.encode(document), lease)

    def write_bytes(self, key: str, encoded: bytes) -> None:
        """Write an item as another writer may: its bytes can be anything."""
        self._write(key, encoded, 0)

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self.content.listed.pop(key, None) is None:
            return
        self.content.revision += 1
        self.content.history.append(
            {
                'key': key,
                'revision': self.content.revision,
                'removed': True,
            },
        )

    def holds(self, key: str) -> bool:
        """Return whether an item with this key exists."""
        return key in self.content.listed

    def open_lease(self) -> int:
        """Open a lease as another host does and return its number."""
        self.content.last_lease += 1
        self.content.leases.add(self.content.last_lease)
        return self.content.last_lease

    def _write(self, key: str, encoded: bytes, lease: int) -> None:
        content = self.content
        content.revision += 1
        item: dict[str, object] = {
            'key': key,
            'value': base64.b64encode(encoded).decode(),
            'revision': content.revision,
            'lease': lease,
        }
        content.listed[key] = item
        content.history.append(item)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        self.calls.append(request.path)
        if self.loses_calls:
            await asyncio.Event().wait()
        while self.silent:
            await asyncio.sleep(POLL_INTERVAL_S)
        match request.path:
            case _names.STORE_RANGE_PATH:
                return self._list(request.query)
            case _names.STORE_WATCH_PATH:
                return await self._watch(request.query)
            case _names.STORE_WRITE_PATH:
                return self._transact(msgspec.json.decode(await request.read()))
            case _names.LEASE_PATH:
                return self._answer({'lease': self.open_lease(), 'ttlMs': 8000})
        path, _, number = request.path.rpartition('/')
        if path == _names.LEASE_END_PATH and self.refused_ends:
            self.refused_ends -= 1
            return self._answer({}, HTTPStatus.SERVICE_UNAVAILABLE)
        return self._handle_lease(path, int(number))

    def _list(self, query: Mapping[str, str]) -> web.Response:
        self.before_page()
        after = query.get('after', '')
        prefix = query['pathPrefix']
        keys = [
            key
            for key in sorted(self.content.listed)
            if key > after and key.startswith(prefix)
        ]
        page = keys[: self._page_items]
        return self._answer(
            {
                'items': [self.content.listed[key] for key in page],
                'storeRevision': self.content.revision,
                'hasMore': len(page) < len(keys),
            },
        )

    async def _watch(self, query: Mapping[str, str]) -> web.Response:
        after = int(query['after'])
        if not self.content.oldest_revision <= after <= self.content.revision:
            return self._answer({}, HTTPStatus.GONE)
        loop = asyncio.get_running_loop()
        end_at = loop.time() + int(query['waitMs']) / MS_PER_S
        era = self.era
        while self.content.revision <= after and loop.time() < end_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        while self.era != era:
            await asyncio.sleep(POLL_INTERVAL_S)
        events = [
            item
            for item in self.content.history
            if isinstance(item['revision'], int) and item['revision'] > after
        ]
        return self._answer(
            {'events': events, 'storeRevision': self.content.revision},
        )

    def _transact(self, body: Mapping[str, list[dict]]) -> web.Response:
        for row in body['expectedRev']:
            known = self.content.listed.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                return self._answer(
                    {'items': [known]}, HTTPStatus.PRECONDITION_FAILED
                )
        leases = {write['lease'] for write in body['writes']}
        if not leases <= self.content.leases | {0}:
            return self._answer({}, HTTPStatus.NOT_FOUND)
        for write in body['writes']:
            value = base64.b64decode(write['value'])
            self._write(write['key'], value, write['lease'])
        return self._answer({'revision': self.content.revision})

    def _handle_lease(self, path: str, number: int) -> web.Response:
        if number not in self.content.leases:
            return self._answer({}, HTTPStatus.NOT_FOUND)
        if path == _names.LEASE_END_PATH:
            self.content.leases.discard(number)
            for key, item in tuple(self.content.listed.items()):
                if item['lease'] == number:
                    self.remove(key)
        return self._answer({'lease': number, 'ttlMs': 8000})

    def _answer(
        self, body: object, status: HTTPStatus = HTTPStatus.OK
    ) -> web.Response:
        headers = {}
        if self.era is not None:
            headers[_names.STORE_ERA_HEADER] = str(self.era)
        return web.Response(
            status=status, body=msgspec.json.encode(body), headers=headers
        )


def _do_nothing() -> None:
    """Do nothing."""
