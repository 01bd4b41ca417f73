"""A store without I/O that can be away, forget its history and be restored.

What the operators and the targets have written is kept apart from it as the
truth; after a restoration they write again what the copy lacks.
"""

import asyncio
import copy
import dataclasses
from collections.abc import Sequence

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
from oriolestage.routing._crash_detector import QuarantineReport
from oriolestage.routing._facts import (
    ConfigurationStored,
    DataCentreClosed,
    DataCentreOpened,
    HostRecord,
    HostStored,
    StoredFact,
    TargetRemoved,
    TargetStored,
)
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing._trials import TrialReport
from oriolestage.routing.tests.builders import make_record

#: Time that a call takes, in seconds.
CALL_S = 0.004
#: Timeout of a call that gets no answer, in seconds, beyond its waiting time.
TIMEOUT_S = 2.0


@dataclasses.dataclass(slots=True)
class Truth:
    """What the operators and the targets have written last."""

    version: int = 1
    targets: dict[str, TargetRecord] = dataclasses.field(default_factory=dict)
    closed: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Content:
    revision: int = 100
    oldest: int = 100
    version: int = 1
    targets: dict[str, TargetRecord] = dataclasses.field(default_factory=dict)
    closed: set[str] = dataclasses.field(default_factory=set)
    leases: set[int] = dataclasses.field(default_factory=set)
    last_lease: int = 0
    #: Lease of each registered host.
    hosts: dict[HostRecord, int] = dataclasses.field(default_factory=dict)
    history: list[tuple[int, StoredFact]] = dataclasses.field(
        default_factory=list
    )


class ModelStore:
    """The content of the store, and what happens to it."""

    def __init__(self) -> None:
        """Create a store with a configuration, in its first era."""
        self.truth = Truth()
        #: Number of calls of all hosts.
        self.calls = 0
        #: True while calls get no answer.
        self.silent = False
        self.era = 1
        self.content = _Content()
        self._copy = _Content()
        self.changed = asyncio.Event()

    @property
    def registered_hosts(self) -> set[str]:
        """Names of the hosts whose registrations are under a valid lease."""
        hosts, leases = self.content.hosts, self.content.leases
        return {host.name for host, lease in hosts.items() if lease in leases}

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.truth.version += 1
        self._write_version()

    def register(self, identity: str, *, draining: bool) -> None:
        """Register a target, or change its state."""
        known = self.truth.targets.get(identity)
        draining = draining or (known is not None and known.draining)
        record = make_record(identity, draining=draining)
        self.truth.targets[identity] = record
        self._write_target(record)

    def remove(self, identity: str) -> None:
        """Remove a target; its process ends."""
        if self.truth.targets.pop(identity, None) is not None:
            self._remove_target(identity)

    def lapse_targets(self) -> None:
        """Let the registrations of all targets expire; they go on running."""
        for identity in tuple(self.content.targets):
            self._remove_target(identity)

    def close_data_centre(self, name: str) -> None:
        """Take a data centre out of service."""
        self.truth.closed.add(name)
        self._close(name)

    def open_data_centre(self, name: str) -> None:
        """Put a data centre back into service."""
        if name in self.truth.closed:
            self.truth.closed.discard(name)
            self._open(name)

    def compact(self) -> None:
        """Forget the history."""
        self.content.oldest = self.content.revision
        self.content.history.clear()

    def take_copy(self) -> None:
        """Copy the content."""
        self._copy = copy.deepcopy(self.content)

    def restore(self) -> None:
        """Return to the latest copy."""
        self.content = copy.deepcopy(self._copy)
        self.era += 1
        self._notify()

    def open_other_lease(self) -> None:
        """Open a lease as another host does."""
        self.new_lease()

    def write_again(self) -> None:
        """Write what differs from the truth, as its writers do."""
        content = self.content
        if content.version != self.truth.version:
            self._write_version()
        for name in self.truth.closed - content.closed:
            self._close(name)
        for name in content.closed - self.truth.closed:
            self._open(name)
        for identity in content.targets.keys() - self.truth.targets.keys():
            self._remove_target(identity)
        for identity, record in self.truth.targets.items():
            if content.targets.get(identity) != record:
                self._write_target(record)

    def new_lease(self) -> int:
        """Open a lease and return its number."""
        self.content.last_lease += 1
        self.content.leases.add(self.content.last_lease)
        return self.content.last_lease

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def add(self, fact: StoredFact) -> None:
        """Add a change to the history."""
        self.content.revision += 1
        self.content.history.append((self.content.revision, fact))
        self._notify()

    def table(self) -> ConfigurationStored:
        """Return the configuration as it is stored."""
        version = self.content.version
        return ConfigurationStored(build_table(version, (), (), CallerLimits()))

    def _write_version(self) -> None:
        self.content.version = self.truth.version
        self.add(self.table())

    def _write_target(self, record: TargetRecord) -> None:
        self.content.targets[record.identity] = record
        self.add(TargetStored(record))

    def _remove_target(self, identity: str) -> None:
        if self.content.targets.pop(identity, None) is not None:
            self.add(TargetRemoved(identity))

    def _close(self, name: str) -> None:
        self.content.closed.add(name)
        self.add(DataCentreClosed(name))

    def _open(self, name: str) -> None:
        if name in self.content.closed:
            self.content.closed.discard(name)
            self.add(DataCentreOpened(name))


class ModelStoreClient:
    """Implements the store for one host, on the time of the event loop."""

    def __init__(self, store: ModelStore) -> None:
        """Create a client of ``store`` that has made no call."""
        self.eras = StoreEras()
        self._store = store

    async def close(self) -> None:
        """Do nothing."""

    async def read_all(self) -> StoreContents:
        """Return everything."""
        await self._call(0)
        content = self._store.content
        facts: list[StoredFact] = [self._store.table()]
        facts.extend(map(TargetStored, content.targets.values()))
        facts.extend(map(DataCentreClosed, content.closed))
        facts.extend(map(HostStored, content.hosts))
        position = StorePosition(self._store.era, content.revision)
        return StoreContents(tuple(facts), position)

    async def changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Return the changes after a position, or wait for them."""
        await self._call(wait_s)
        content = self._store.content
        if not content.oldest <= position.revision <= content.revision:
            raise HistoryLostError('watch', 'store', 'history lost')
        if content.revision <= position.revision:
            await self._wait(wait_s)
        await self._answer(0)
        content = self._store.content
        if position.era != self._store.era:
            raise HistoryReplacedError('watch', 'store', 'restored')
        if content.oldest > position.revision:
            raise HistoryLostError('watch', 'store', 'history lost')
        facts = tuple(
            fact
            for revision, fact in content.history
            if revision > position.revision
        )
        return StoreChanges(
            facts, StorePosition(self._store.era, content.revision)
        )

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Open a lease."""
        await self._call(0)
        return Lease(self._store.era, self._store.new_lease())

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease."""
        await self._use(lease)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease."""
        await self._use(lease)
        self._store.content.leases.discard(lease.number)

    async def register_host(self, record: HostRecord, lease: Lease) -> bool:
        """Register a host, in a read and a write."""
        await self._call(0)
        await self._use(lease)
        self._store.content.hosts[record] = lease.number
        self._store.add(HostStored(record))
        return True

    async def report_crashes(
        self, reports: Sequence[QuarantineReport], lease: Lease
    ) -> None:
        """Do nothing."""

    async def claim_trial(self, trial: TrialReport, lease: Lease) -> None:
        """Do nothing."""

    async def _use(self, lease: Lease) -> None:
        await self._call(0)
        known = lease.number in self._store.content.leases
        if lease.era != self._store.era or not known:
            raise LeaseEndedError('lease', 'store', 'ended')

    async def _call(self, wait_s: float) -> None:
        self._store.calls += 1
        await asyncio.sleep(CALL_S)
        await self._answer(wait_s)

    async def _answer(self, wait_s: float) -> None:
        """State the era, or fail while the store is silent."""
        if self._store.silent:
            await asyncio.sleep(wait_s + TIMEOUT_S)
            raise StoreError('call', 'store', 'timeout')
        self.eras.record(self._store.era, 'call', 'store')

    async def _wait(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._store.changed.wait()
        except TimeoutError:
            return
