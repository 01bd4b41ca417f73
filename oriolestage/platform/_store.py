"""Client of the platform's store, over HTTP and JSON."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from oriolestage._logging import log_event
from oriolestage.entry._ports import (
    AnswerRejectedError,
    HistoryReplacedError,
    Lease,
    StoreChanges,
    StoreContents,
    StoreError,
    StorePosition,
)
from oriolestage.entry._store_eras import StoreEras
from oriolestage.platform import _names
from oriolestage.platform._documents import crash_key, encode_host
from oriolestage.platform._leased_items import LeasedItems
from oriolestage.platform._rollout_documents import (
    encode_evidence,
    encode_status,
    evidence_key,
    status_key,
)
from oriolestage.platform._store_calls import (
    MS_PER_S,
    NoOpenConnectionError,
    StoreAnswer,
    StoreCalls,
)
from oriolestage.platform._store_items import (
    decode_items,
    readable_keys,
    read_facts,
)
from oriolestage.rollouts._orders import HostEvidence, RolloutStatus
from oriolestage.routing._crash_detector import QuarantineReport
from oriolestage.routing._facts import HostRecord, StoredFact
from oriolestage.routing._trials import TrialReport

#: Longest key of an item that the store accepts, in bytes.
MAX_KEY_BYTES = 200
#: Longest wait of a watch that the store accepts, in seconds.
MAX_WATCH_WAIT_S = 30.0
#: Prefix of all keys, so that one watch reports every change.
ALL_KEYS = ''


class _Range(msgspec.Struct, frozen=True, rename='camel'):
    # Decoded one by one, so that an odd one does not cost the others.
    listed: tuple[msgspec.Raw, ...] = msgspec.field(name='items')
    # Revision of the whole store, not of an item.
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True, rename='camel'):
    events: tuple[msgspec.Raw, ...]
    store_revision: int


_Shape = TypeVar('_Shape', bound=msgspec.Struct)


class StoreClient:
    """Implements the store with the platform's HTTP calls.

    All calls to the store raise :class:`StoreError` if they fail.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the store at ``address``, as ``ip:port``.

        It connects with the first call.
        """
        self._calls = StoreCalls(address)
        self._leased = LeasedItems(self._calls)

    @property
    def eras(self) -> StoreEras:
        """The era of the store, as its answers state it."""
        return self._calls.eras

    async def close(self) -> None:
        """Close all connections."""
        self._calls.close()

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
            answer = await self._calls.call(
                'GET', _names.STORE_RANGE_PATH, query
            )
            page = self._decode(answer.body, _Range)
            # The pages are not one snapshot. Following the changes from the
            # revision of the first page covers those made between pages.
            if position is None:
                position = StorePosition(answer.era, page.store_revision)
            self._check_same_era(position, answer)
            listed = decode_items(page.listed)
            keys = readable_keys(listed)
            if after and keys and keys[0] <= after:
                raise self._foreign_answer('store.kv-range')
            facts.extend(read_facts(listed))
            if not page.has_more or not listed:
                return StoreContents(tuple(facts), position)
            after = self._last_key(keys)

    async def changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Return the changes after a point in the history.

        If there are none yet, wait for them up to ``wait_s`` seconds, but no
        longer than the store accepts. Raises :class:`HistoryLostError` if the
        store has dropped some of them, and :class:`HistoryReplacedError` if
        the answer is of another era.

        The call does not wait if it needs a new connection: the store may
        have been restored since the last answer, and only the next answer
        states its era.
        """
        wait_s = min(wait_s, MAX_WATCH_WAIT_S)
        try:
            answer = await self._watch(position, wait_s)
        except NoOpenConnectionError:
            answer = await self._watch(position, 0)
        # The store answers from a revision that it has given out again as if
        # nothing had happened.
        self._check_same_era(position, answer)
        listed = self._decode(answer.body, _Events)
        outdated = listed.store_revision <= position.revision
        if outdated and listed.events:
            raise self._foreign_answer('store.kv-watch')
        return StoreChanges(
            tuple(read_facts(decode_items(listed.events))),
            StorePosition(
                answer.era, max(position.revision, listed.store_revision)
            ),
        )

    async def _watch(
        self, position: StorePosition, wait_s: float
    ) -> StoreAnswer:
        return await self._calls.call(
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
        return await self._leased.open(time_to_live_s)

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease.

        Raises :class:`LeaseEndedError` if it has ended or is of an era that
        has.
        """
        await self._leased.renew(lease)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; the store removes all items under it.

        Raises :class:`LeaseEndedError` if it has ended or is of an era that
        has.
        """
        await self._leased.end(lease)

    async def register_host(self, record: HostRecord, lease: Lease) -> bool:
        """Register this host until its lease ends.

        Return False if it is registered so already. The registration is
        written only if it is still as it was read before.
        """
        key = f'{_names.HOST_PREFIX}{record.name}'
        return await self._leased.put(key, encode_host(record), lease)

    async def report_crashes(
        self,
        reports: Sequence[QuarantineReport],
        lease: Lease,
    ) -> None:
        """Store at most 32 reports on quarantines, which the other hosts read.

        A report whose key the store would refuse is logged and left out: it
        would keep the others from being stored.
        """
        keys = [crash_key(report) for report in reports]
        storable = [key for key in keys if len(key.encode()) <= MAX_KEY_BYTES]
        if len(storable) < len(keys):
            left_out = len(keys) - len(storable)
            log_event('crashes_not_reportable', {'reports': left_out})
        if storable:
            await self._leased.write(dict.fromkeys(storable, b''), lease)

    async def claim_trial(self, trial: TrialReport, lease: Lease) -> None:
        """Store that this host runs a trial, unless another one does.

        Raises :class:`StoreError` if another host has stored it.
        """
        await self._leased.create(crash_key(trial), lease)

    async def write_evidence(
        self, reports: Sequence[HostEvidence], lease: Lease
    ) -> None:
        """Store the counters of this host for at most 32 roll-outs.

        Those whose key the store would refuse are logged and left out.
        """
        documents: dict[str, bytes] = {}
        for report in reports:
            key = evidence_key(report)
            if len(key.encode()) > MAX_KEY_BYTES:
                log_event('evidence_not_storable', {'service': report.service})
                continue
            documents[key] = encode_evidence(report)
        if documents:
            await self._leased.write(documents, lease)

    async def write_status(self, status: RolloutStatus) -> None:
        """Store the status of a roll-out if it still has its revision."""
        await self._leased.replace(
            status_key(status.service),
            encode_status(status),
            status.revision,
        )

    def _last_key(self, keys: Sequence[str]) -> str:
        """Return the key after which the next page begins.

        Raises :class:`AnswerRejectedError` if no key of the page is readable.
        """
        if not keys:
            raise AnswerRejectedError(
                'store.kv-range', self._calls.address, 'page without keys'
            )
        return keys[-1]

    def _foreign_answer(self, step: str) -> StoreError:
        """Return the error of an answer that belongs to an earlier call.

        The store's answers do not name their call; a second copy of an answer
        shows only by what it repeats.
        """
        return StoreError(step, self._calls.address, 'answer to another call')

    def _check_same_era(
        self, position: StorePosition, answer: StoreAnswer
    ) -> None:
        """Raise an error if an answer is of another era than a position."""
        if answer.era != position.era:
            raise HistoryReplacedError(
                'store.era',
                self._calls.address,
                f'era {answer.era} after {position.era}',
            )

    def _decode(self, body: bytes, kind: type[_Shape]) -> _Shape:
        """Decode a body.

        Raises :class:`AnswerRejectedError` if that fails, whatever the error
        is: deep nesting is none of the decoder's own errors.
        """
        try:
            return msgspec.json.decode(body, type=kind)
        except Exception as error:
            raise AnswerRejectedError(
                'store.decode',
                self._calls.address,
                repr(error),
            ) from error
