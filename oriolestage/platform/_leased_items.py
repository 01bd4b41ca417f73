"""Writes of this host to the store, under leases.

A call that is not answered may have been done, or may be done seconds later.
So a registration is written only on the condition that it is still as it was
read just before: a late write cannot replace a newer one. Repeating a call
under the same lease changes nothing that the first one has done.
"""

import base64
from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

import msgspec

from oriolestage._logging import log_event
from oriolestage.entry._ports import Lease, LeaseEndedError, StoreError
from oriolestage.entry._store_eras import StoreEras
from oriolestage.platform import _names
from oriolestage.platform._store_calls import MS_PER_S, StoreAnswer

#: Revision of a key that does not exist.
NO_REVISION = 0


class Calls(Protocol):
    """Sends calls to the store, see :class:`StoreCalls`."""

    @property
    def eras(self) -> StoreEras:
        """The era of the store, as its answers state it."""

    @property
    def address(self) -> str:
        """Address of the store."""

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        *,
        content: dict[str, object] | None = None,
        wait_s: float = 0,
    ) -> StoreAnswer:
        """Send one request and return its 200 response."""


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class _OwnItem(msgspec.Struct, frozen=True):
    key: str
    value: object = ''
    revision: int = NO_REVISION
    lease: object = 0


class _OwnRange(msgspec.Struct, frozen=True):
    # Decoded one by one: items of other writers may be among them.
    listed: tuple[msgspec.Raw, ...] = msgspec.field(name='items')


_Shape = TypeVar('_Shape', bound=msgspec.Struct)


class LeasedItems:
    """Opens leases and writes items under them.

    All calls raise :class:`StoreError` if they fail, and
    :class:`LeaseEndedError` if the lease has ended or is of an era that has.
    """

    def __init__(self, calls: Calls) -> None:
        """Create a writer without leases."""
        self._calls = calls

    async def open(self, time_to_live_s: float) -> Lease:
        """Open a lease and return it.

        A lease whose opening was not answered ends after its time to live.
        """
        answer = await self._calls.call(
            'POST',
            _names.LEASE_PATH,
            content={'ttlMs': int(time_to_live_s * MS_PER_S)},
        )
        return Lease(answer.era, self._decode(answer.body, _Lease).lease)

    async def renew(self, lease: Lease) -> None:
        """Renew a lease."""
        self._check_lease(lease, self._calls.eras.era)
        answer = await self._calls.call(
            'POST', f'{_names.LEASE_RENEW_PATH}/{lease.number}'
        )
        self._check_lease(lease, answer.era)

    async def end(self, lease: Lease) -> None:
        """End a lease; the store removes all items under it.

        Writes under it that were not answered have no effect afterwards.
        """
        self._check_lease(lease, self._calls.eras.era)
        await self._calls.call(
            'DELETE', f'{_names.LEASE_END_PATH}/{lease.number}'
        )

    async def put(self, key: str, content: bytes, lease: Lease) -> bool:
        """Store an item under a lease unless it is stored so already.

        Return whether it was written. Raises :class:`StoreError` if the item
        changes between the reading and the writing.
        """
        self._check_lease(lease, self._calls.eras.era)
        value = _encode(content)
        known = await self._read(key, lease)
        if (known.value, known.lease) == (value, lease.number):
            return False
        await self._write({key: content}, lease, ((key, known.revision),))
        return True

    async def write(self, documents: Mapping[str, bytes], lease: Lease) -> None:
        """Write at most 32 items under a lease, atomically."""
        self._check_lease(lease, self._calls.eras.era)
        await self._write(documents, lease, ())

    async def create(self, key: str, lease: Lease) -> None:
        """Write an empty item under a lease if the key has none.

        Raises :class:`StoreError` if it has one.
        """
        self._check_lease(lease, self._calls.eras.era)
        await self._write({key: b''}, lease, ((key, 0),))

    async def replace(self, key: str, content: bytes, revision: int) -> None:
        """Write an item without a lease if it still has a revision.

        Raises :class:`StoreError` if it has another one.
        """
        await self._calls.call(
            'POST',
            _names.STORE_WRITE_PATH,
            content={
                'expectedRev': [{'key': key, 'revision': revision}],
                'writes': [{'key': key, 'value': _encode(content), 'lease': 0}],
                'remove': [],
            },
        )

    async def _read(self, key: str, lease: Lease) -> _OwnItem:
        """Return an item; without value, revision and lease if none exists."""
        answer = await self._calls.call(
            'GET', _names.STORE_RANGE_PATH, {'pathPrefix': key}
        )
        self._check_lease(lease, answer.era)
        for encoded in self._decode(answer.body, _OwnRange).listed:
            item = _decode_item(encoded)
            if item is None:
                continue
            if item.key == key:
                return item
            if not item.key.startswith(key):
                # A second copy of an earlier answer.
                raise StoreError(
                    'store.kv-range',
                    self._calls.address,
                    'answer to another call',
                )
        return _OwnItem(key)

    async def _write(
        self,
        documents: Mapping[str, bytes],
        lease: Lease,
        conditions: Iterable[tuple[str, int]],
    ) -> None:
        """Write items under a lease if keys have given revisions."""
        answer = await self._calls.call(
            'POST',
            _names.STORE_WRITE_PATH,
            content={
                'expectedRev': [
                    {'key': key, 'revision': revision}
                    for key, revision in conditions
                ],
                'writes': [
                    {
                        'key': key,
                        'value': _encode(content),
                        'lease': lease.number,
                    }
                    for key, content in documents.items()
                ],
                'remove': [],
            },
        )
        self._check_lease(lease, answer.era)

    def _check_lease(self, lease: Lease, era: int | None) -> None:
        """Raise an error if a lease is not of an era."""
        if lease.era != era:
            raise LeaseEndedError(
                'store.era', self._calls.address, f'era {era} after {lease.era}'
            )

    def _decode(self, body: bytes, kind: type[_Shape]) -> _Shape:
        """Decode a body.

        Raises :class:`StoreError` if that fails, whatever the error is: deep
        nesting is none of the decoder's own errors.
        """
        try:
            return msgspec.json.decode(body, type=kind)
        except Exception as error:
            raise StoreError(
                'store.decode', self._calls.address, repr(error)
            ) from error


def _decode_item(encoded: bytes) -> _OwnItem | None:
    """Return an item; None if it does not have the form of one."""
    try:
        return msgspec.json.decode(encoded, type=_OwnItem)
    except Exception as error:  # noqa: BLE001 - such as a nesting too deep
        log_event(
            'item_unreadable', {'step': 'store.kv-range', 'error': repr(error)}
        )
        return None


def _encode(content: bytes) -> str:
    return base64.b64encode(content).decode()
