"""A store behind the platform's calls whose answers can be lost.

A call whose answer is lost may be done at once, seconds later or never. The
time is that of the event loop.
"""

import asyncio
import base64
import copy
import dataclasses
from collections.abc import Iterator, Mapping

import msgspec

from oriolestage.entry._ports import Lease, LeaseEndedError, StoreError
from oriolestage.entry._store_eras import StoreEras
from oriolestage.platform import _names
from oriolestage.platform._documents import encode_host
from oriolestage.platform._leased_items import LeasedItems
from oriolestage.platform._store_calls import MS_PER_S, StoreAnswer
from oriolestage.routing._facts import HostRecord

#: Time that a call takes, and after which one without an answer fails, in
#: seconds.
CALL_S = 0.004
TIMEOUT_S = 2.0
#: Kinds of calls.
READ = 'read'
OPEN = 'open'
WRITE = 'write'
RENEW = 'renew'
END = 'end'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call is answered with 503 and not done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call is not answered."""

    #: Time after which it is done all the same, in seconds; None for never.
    done_after_s: float | None = None


Fault = Refused | Lost


class _Missing(Exception):
    """There is no such lease."""


class _Changed(Exception):
    """A condition does not hold."""


@dataclasses.dataclass(slots=True)
class _Item:
    value: str
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Content:
    revision: int = 100
    last_lease: int = 0
    #: Time to live and end of each lease.
    leases: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    listed: dict[str, _Item] = dataclasses.field(default_factory=dict)


class ModelCalls:
    """Answers the calls of one host."""

    def __init__(self) -> None:
        """Start an empty store whose calls all succeed."""
        self.eras = StoreEras()
        self.address = 'store'
        #: Faults of the next calls of each kind, in order.
        self.faults: dict[str, list[Fault]] = {}
        #: Number of calls of each kind.
        self.counts: dict[str, int] = {}
        #: Time until which something disturbs the host: a call that has not
        #: failed yet or is done late, or a lease of others with its key.
        self.disturbed_until = float('-inf')
        self._era = 1
        self._content = _Content()
        self._copy = _Content()

    def holds(self, record: HostRecord) -> bool:
        """Return whether a host is registered with this record."""
        self._end_leases()
        item = self._content.listed.get(f'{_names.HOST_PREFIX}{record.name}')
        value = base64.b64encode(encode_host(record)).decode()
        return item is not None and item.value == value

    def take_copy(self) -> None:
        """Copy the content."""
        self._end_leases()
        self._copy = copy.deepcopy(self._content)

    def restore(self) -> None:
        """Return to the latest copy; leases run on from now."""
        now = _now()
        self._content = copy.deepcopy(self._copy)
        self._content.leases = {
            number: (ttl_s, now + ttl_s)
            for number, (ttl_s, _) in self._copy.leases.items()
        }
        self._era += 1

    def replace_by_others(self, record: HostRecord) -> None:
        """Register a host under a lease that nobody renews.

        This is what the late write of an earlier process does that had no
        condition.
        """
        number = self.open_by_others()
        self._put(
            f'{_names.HOST_PREFIX}{record.name}',
            base64.b64encode(encode_host(record)).decode(),
            number,
        )

    def open_by_others(self) -> int:
        """Open a lease that nobody renews, and return its number."""
        number, ttl_s = self._open(8), 8
        self._disturb_until(_now() + ttl_s)
        return number

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        content: dict[str, object] | None = None,
        wait_s: float = 0,
    ) -> StoreAnswer:
        """Do a call, unless it has a fault."""
        body = msgspec.json.encode(content or query or {})
        kind = _kind_of(path)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        await asyncio.sleep(CALL_S)
        faults = self.faults.get(kind)
        if faults:
            await self._fail(faults.pop(0), path, body)
        try:
            document = self._execute(path, body)
        except _Missing as error:
            raise LeaseEndedError(kind, self.address, 'not found') from error
        except _Changed as error:
            raise StoreError(kind, self.address, 'status 412') from error
        self.eras.record(self._era, kind, self.address)
        return StoreAnswer(msgspec.json.encode(document), self._era)

    async def _fail(self, fault: Fault, path: str, body: bytes) -> None:
        if isinstance(fault, Refused):
            self._disturb_until(_now())
            raise StoreError(path, self.address, 'status 503')
        loop = asyncio.get_running_loop()
        if fault.done_after_s is not None:
            self._disturb_until(_now() + fault.done_after_s)
            loop.call_later(fault.done_after_s, self._execute_late, path, body)
        self._disturb_until(_now() + TIMEOUT_S)
        await asyncio.sleep(TIMEOUT_S)
        raise StoreError(path, self.address, 'TimeoutError')

    def _execute_late(self, path: str, body: bytes) -> None:
        try:
            self._execute(path, body)
        except (_Missing, _Changed):
            return

    def _execute(self, path: str, body: bytes) -> object:
        self._end_leases()
        document = msgspec.json.decode(body)
        if path == _names.STORE_RANGE_PATH:
            return {'items': list(self._list(document['pathPrefix']))}
        if path == _names.STORE_WRITE_PATH:
            return self._transact(document)
        if path == _names.LEASE_PATH:
            return {'lease': self._open(document['ttlMs'] / MS_PER_S)}
        number = int(path.rpartition('/')[2])
        if number not in self._content.leases:
            raise _Missing
        ttl_s, _ = self._content.leases[number]
        ended = path.startswith(_names.LEASE_END_PATH)
        ends_at = float('-inf') if ended else _now() + ttl_s
        self._content.leases[number] = (ttl_s, ends_at)
        self._end_leases()
        return {}

    def _list(self, prefix: str) -> Iterator[dict[str, object]]:
        for key, item in sorted(self._content.listed.items()):
            if key.startswith(prefix):
                yield {'key': key, **dataclasses.asdict(item)}

    def _transact(self, document: Mapping[str, list[dict]]) -> object:
        for row in document['expectedRev']:
            item = self._content.listed.get(row['key'])
            revision = 0 if item is None else item.revision
            if row['revision'] != revision:
                raise _Changed
        for write in document['writes']:
            if write['lease'] not in self._content.leases:
                raise _Missing
        for write in document['writes']:
            self._put(write['key'], write['value'], write['lease'])
        return {'revision': self._content.revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        self._content.revision += 1
        self._content.listed[key] = _Item(value, self._content.revision, lease)

    def _open(self, ttl_s: float) -> int:
        self._content.last_lease += 1
        number = self._content.last_lease
        self._content.leases[number] = (ttl_s, _now() + ttl_s)
        return number

    def _end_leases(self) -> None:
        content = self._content
        now = _now()
        for number, (_, ends_at) in tuple(content.leases.items()):
            if ends_at > now:
                continue
            content.leases.pop(number)
            for key, item in tuple(content.listed.items()):
                if item.lease == number:
                    content.listed.pop(key)
                    content.revision += 1

    def _disturb_until(self, at: float) -> None:
        self.disturbed_until = max(self.disturbed_until, at)


class ModelLeases:
    """The store's calls for leases and registrations, of one process."""

    def __init__(self, calls: ModelCalls) -> None:
        """Create a client that has made no call."""
        self.eras = calls.eras
        self._leased = LeasedItems(calls)
        self.open_lease = self._leased.open
        self.renew_lease = self._leased.renew
        self.end_lease = self._leased.end

    async def register_host(self, record: HostRecord, lease: Lease) -> bool:
        """Register a host under a lease."""
        key = f'{_names.HOST_PREFIX}{record.name}'
        return await self._leased.put(key, encode_host(record), lease)


def _kind_of(path: str) -> str:
    for prefix, kind in (
        (_names.STORE_RANGE_PATH, READ),
        (_names.STORE_WRITE_PATH, WRITE),
        (_names.LEASE_RENEW_PATH, RENEW),
        (_names.LEASE_END_PATH, END),
    ):
        if path.startswith(prefix):
            return kind
    return OPEN


def _now() -> float:
    return asyncio.get_running_loop().time()
