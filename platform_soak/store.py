"""Stand-in for the platform's store, with its calls for keys and leases."""

import asyncio
import base64
import contextlib
import functools
import itertools
import json
import time
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from platform_soak.messages import Message, encode, read_message
from platform_soak.record import Record
from platform_soak.stored_content import StoredContent

#: Delay of an answer, in seconds.
ANSWER_S = 0.004
#: Interval of checking for leases that ended, in seconds.
LEASE_CHECK_S = 0.1


class Store:
    """Keys with revisions, leases and a history of changes.

    Each host calls it at an address of its own, so that the store can turn
    single hosts away.
    """

    def __init__(self, record: Record) -> None:
        """Start empty."""
        self._record = record
        #: Hosts whose calls are answered with 503.
        self.refused: set[str] = set()
        #: Hosts whose calls get no answer, and whose connections are reset.
        self.silent: set[str] = set()
        self.reset: set[str] = set()
        #: Whether it resets the connections of all hosts.
        self.away = False
        #: Time after which a write is done whose answer is lost, in seconds;
        #: None while no answers are lost.
        self.late_writes_s: float | None = None
        #: Time after which the first registration of a host is done, by
        #: host, in seconds. It is not answered, nor is anything that follows
        #: on its connection.
        self.late_registrations: dict[str, float] = {}
        #: Number that rises with each return from a copy; stated in answers.
        self._era = 1
        self._content = StoredContent()
        self._writers: set[asyncio.StreamWriter] = set()
        self._lease_numbers = itertools.count(1000)
        #: Notified of each change.
        self.changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._task: asyncio.Task | None = None
        self._late: list[asyncio.Task] = []

    async def start(self, ip: str, hosts: list[str]) -> dict[str, str]:
        """Listen for each host; return the addresses by host."""
        addresses = {}
        for host in hosts:
            server = await asyncio.start_server(
                functools.partial(self._serve, host), ip, 0
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            addresses[host] = f'{ip}:{port}'
        self._task = asyncio.create_task(self._end_leases())
        return addresses

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
        if self._task is not None:
            self._task.cancel()

    async def put(self, key: str, document: object, lease: int = 0) -> int:
        """Write a key as the operator or a server; return the revision."""
        return await self.put_bytes(key, json.dumps(document).encode(), lease)

    async def put_bytes(self, key: str, content: bytes, lease: int = 0) -> int:
        """Write the bytes of a key; return the revision."""
        text = base64.b64encode(content).decode()
        self._content.write(key, text, lease)
        await self._notify()
        return self.revision

    def discard_history(self) -> None:
        """Forget all changes so far."""
        self._content.discard_history()

    def take_copy(self) -> StoredContent:
        """Return a copy to come back from."""
        return self._content.take_copy()

    async def restore(self, content: StoredContent) -> StoredContent:
        """Come back from a copy and return what was there before.

        The era rises, and all connections are cut.
        """
        lost = self._content
        content.start_leases_anew()
        self._content = content
        self._era += 1
        for writer in self._writers:
            writer.transport.abort()
        await self._notify()
        return lost

    async def write_again(self, prefix: str, earlier: StoredContent) -> None:
        """Write some keys again as they were, as their writers do."""
        present = self._content.listed
        written = present.keys() | earlier.listed.keys()
        for key in sorted(written):
            if not key.startswith(prefix):
                continue
            known = earlier.listed.get(key)
            if known is None:
                await self.remove(key)
            elif known['value'] != present.get(key, {}).get('value'):
                self._content.write(key, known['value'], 0)
        await self._notify()

    @property
    def revision(self) -> int:
        """Revision of the newest change."""
        return self._content.revision

    def keys(self, prefix: str) -> set[str]:
        """Return the keys with a prefix."""
        return {key for key in self._content.listed if key.startswith(prefix)}

    def revision_of(self, key: str) -> int:
        """Return the revision of an item; 0 if there is none."""
        return self._content.listed.get(key, {'revision': 0})['revision']

    def value_of(self, key: str) -> bytes:
        """Return the bytes of an item; empty if there is none."""
        return base64.b64decode(
            self._content.listed.get(key, {}).get('value', '')
        )

    async def remove(self, key: str) -> None:
        """Remove a key."""
        if self._content.remove(key):
            await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, (_, ends_at) in tuple(self._content.leases.items()):
                if ends_at <= now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._content.leases.pop(lease)
        for key, item in tuple(self._content.listed.items()):
            if item['lease'] == lease:
                self._content.remove(key)
        await self._notify()

    async def _serve(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                if self.away or host in self.reset:
                    writer.transport.abort()
                    return
                if host in self.silent or self._is_lost(host, request):
                    await reader.read()
                    return
                status, document = await self._answer_unless_refused(
                    host, request
                )
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} {HTTPStatus(status).phrase}',
                        {
                            'Content-Type': 'application/json',
                            'Store-Era': str(self._era),
                        },
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_unless_refused(
        self, host: str, request: Message
    ) -> tuple[int, dict]:
        answered: tuple[int, dict] = (HTTPStatus.SERVICE_UNAVAILABLE, {})
        if host not in self.refused:
            answered = await self._answer(request)
        if host in self.refused:
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        return answered

    def _is_lost(self, host: str, request: Message) -> bool:
        """Return whether an answer gets lost; do the call later then."""
        method, target, _ = request.start
        if method == 'GET' or 'kv-keep' in target:
            return False
        self._record.add('write', host=host, call=target)
        delay_s = self.late_writes_s
        if 'kv-txn' in target and host in self.late_registrations:
            delay_s = self.late_registrations.pop(host)
        if delay_s is None:
            return False
        self._record.add('write_lost', host=host)
        self._late.append(asyncio.create_task(self._do_late(request, delay_s)))
        return True

    async def _do_late(self, request: Message, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status, _ = await self._answer(request)
        self._record.add('write_done_late', status=status)

    async def _answer(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start
        split = urlsplit(target)
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                split.query, keep_blank_values=True
            ).items()
        }
        call = split.path.removeprefix('/oriolestage/').split('/')
        match method, call[0]:
            case 'GET', 'kv-range':
                return self._range(query)
            case 'GET', 'kv-watch':
                return await self.watch(query)
            case 'POST', 'kv-txn':
                return await self._transact(json.loads(request.body))
            case 'POST', 'kv-lease':
                return self._open_lease(json.loads(request.body))
            case 'POST', 'kv-keep':
                return self._renew_lease(int(call[1]))
            case 'DELETE', 'kv-lease-end':
                if int(call[1]) not in self._content.leases:
                    return 404, {}
                await self._end_lease(int(call[1]))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        listed, has_more = self._content.page(
            query.get('pathPrefix', ''), query.get('after', '')
        )
        return 200, {
            'items': listed,
            'hasMore': has_more,
            'storeRevision': self.revision,
        }

    async def watch(self, query: dict[str, str]) -> tuple[int, dict]:
        """Answer a watch with its status and document."""
        after = int(query['after'])
        prefix = query.get('pathPrefix', '')
        if not self._content.has_history(after):
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['waitMs']) / 1000):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: self._content.events_after(prefix, after)
                    )
        # Also after the time was up: a change may have been made since.
        events = self._content.events_after(prefix, after)
        return 200, {'events': events, 'storeRevision': self.revision}

    async def _transact(self, document: dict) -> tuple[int, dict]:
        for row in document['expectedRev']:
            if self.revision_of(row['key']) != row['revision']:
                return 412, {'items': []}
        for write in document['writes']:
            lease = write.get('lease', 0)
            if lease and lease not in self._content.leases:
                return 404, {}
        for write in document['writes']:
            self._content.write(
                write['key'], write['value'], write.get('lease', 0)
            )
        for key in document['remove']:
            self._content.remove(key)
        await self._notify()
        return 200, {'revision': self.revision}

    def _open_lease(self, document: dict) -> tuple[int, dict]:
        lease = next(self._lease_numbers)
        ttl_s = document['ttlMs'] / 1000
        self._content.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'lease': lease, 'ttlMs': document['ttlMs']}

    def _renew_lease(self, lease: int) -> tuple[int, dict]:
        if lease not in self._content.leases:
            return 404, {}
        ttl_s, _ = self._content.leases[lease]
        self._content.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'ttlMs': int(ttl_s * 1000)}
