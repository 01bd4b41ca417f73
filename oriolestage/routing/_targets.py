"""Directory of the registered targets.

Targets register themselves in the store under a lease. A registration that
is missing after an outage of the store may have lapsed although the target
runs, so its target is kept for a grace period after the store has returned.
"""

import dataclasses
from collections.abc import Collection, Iterable, Iterator

#: Time for which a lapsed registration is kept after the store has returned,
#: in seconds. By the platform's contract it is back within 2 s.
LAPSE_GRACE_PERIOD_S = 2.5
#: Time for which a target that was removed is not used because a restored
#: store lists it again, in seconds. By the platform's contract its entry goes
#: after three heartbeats without a sign of life; these are about 1.2 s apart.
RESURRECTED_HOLD_S = 4.5
#: Time for which removed targets are remembered, in seconds. Copies of the
#: store are some seconds old, and a process whose registration was lost or
#: overwritten registers again.
REMOVED_RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Registration of a target."""

    identity: str
    service: str
    #: Address as ``ip:port``.
    address: str
    data_centre: str
    #: Requests that it processes concurrently.
    slots: int
    #: True if it takes no new work because it is shutting down.
    draining: bool
    #: Time for which it stays cold after the registration, in seconds.
    warm_up_left_s: float
    #: Start of its process, Unix time in milliseconds; it tells a restarted
    #: process from the one before.
    started_ms: int
    #: Version of its software; empty if it is not known.
    version: str = ''

    @property
    def process(self) -> str:
        """Name that is unique to the target's process."""
        return f'{self.identity}/{self.started_ms}'


@dataclasses.dataclass(slots=True)
class KnownTarget:
    """A registered target with its local state."""

    record: TargetRecord
    #: Monotonic time until which it is cold.
    cold_until: float
    #: Monotonic time at which it is removed because its registration is
    #: missing; infinite while it is registered.
    expires_at: float = float('inf')
    #: Monotonic time until which it is not used, since a restored store lists
    #: it although it was removed; None while it may be used.
    held_until: float | None = None
    #: Monotonic time at which its process became known, if this host had read
    #: the store before or the process is cold; None otherwise.
    new_at: float | None = None
    #: True once another target has answered at its address.
    replaced: bool = False
    #: True once it has said in a response that it leaves.
    leaving: bool = False
    #: Name that is unique to its process.
    process: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive the name of the process, which keeps it while registered."""
        self.process = self.record.process

    def update(self, record: TargetRecord, now: float) -> None:
        """Replace the registration by another one of the same process."""
        self.record = record
        self.held_until = None
        self.cold_until = now + record.warm_up_left_s
        self.expires_at = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class _RemovedTarget:
    """A target whose process may register again."""

    target: KnownTarget
    #: Monotonic time of its removal.
    removed_at: float


class TargetDirectory:
    """Registered targets by identity and by service."""

    def __init__(self) -> None:
        """Start without targets."""
        self._targets: dict[str, KnownTarget] = {}
        self._by_service: dict[str, dict[str, KnownTarget]] = {}
        self._closed_data_centres: frozenset[str] = frozenset()
        self._grace_period_end = float('-inf')
        #: True once a full listing was read; targets that appear afterwards
        #: are new.
        self._listed = False
        #: Targets that were removed of late, by process.
        self._removed: dict[str, _RemovedTarget] = {}

    def __len__(self) -> int:
        """Return the number of known targets."""
        return len(self._targets)

    @property
    def removed_processes(self) -> Collection[str]:
        """Names of the target processes that were removed of late."""
        return self._removed.keys()

    @property
    def closed_data_centres(self) -> frozenset[str]:
        """Data centres out of service; their targets get no new work."""
        return self._closed_data_centres

    def find(self, identity: str) -> KnownTarget | None:
        """Return the target with this identity, or None."""
        return self._targets.get(identity)

    def find_with_removed(self, identity: str) -> KnownTarget | None:
        """Return the target with this identity, also if removed of late.

        Its latest process is returned.
        """
        known = self._targets.get(identity)
        if known is not None:
            return known
        for removed in reversed(self._removed.values()):
            if removed.target.record.identity == identity:
                return removed.target
        return None

    def register(self, record: TargetRecord, now: float) -> bool:
        """Add or update a target; return whether its process is a new one.

        A target that has another start time, address or service than before
        replaces its entry, and its local state starts afresh. A process that
        was removed of late and has said that it leaves still does.
        """
        known = self._targets.get(record.identity)
        if known is not None:
            restarted = known.record.started_ms != record.started_ms
            moved = known.record.address != record.address
            if known.record.service == record.service and not (
                restarted or moved
            ):
                known.update(record, now)
                return False
            self._drop(record.identity, now)
        removed = self._removed.pop(record.process, None)
        if removed is None:
            added = KnownTarget(record, now + record.warm_up_left_s)
            if self._listed or record.warm_up_left_s > 0:
                added.new_at = now
        else:
            # Attempts that were sent before its removal refer to it.
            added = removed.target
            added.replaced = False
            added.update(record, now)
        self._targets[record.identity] = added
        siblings = self._by_service.setdefault(record.service, {})
        siblings[record.identity] = added
        return True

    def remove(self, identity: str, now: float) -> bool:
        """Remove a target; return whether it was removed at once.

        During the grace period after an outage of the store, a target that
        was not draining is kept until the period ends.
        """
        known = self._targets.get(identity)
        if known is None:
            return False
        if now < self._grace_period_end and not known.record.draining:
            known.expires_at = min(known.expires_at, self._grace_period_end)
            return False
        self._drop(identity, now)
        return True

    def replace_all(
        self, records: Iterable[TargetRecord], now: float
    ) -> list[str]:
        """Replace the directory by a full listing.

        Return the identities of the known targets that are not listed.
        """
        listed: set[str] = set()
        for record in records:
            listed.add(record.identity)
            self.register_listed(record, now)
        return self.remove_unlisted(listed, now)

    def register_listed(
        self, record: TargetRecord, now: float, *, restored: bool = False
    ) -> None:
        """Add or update a target of a full listing.

        If the store was ``restored``, its entries may be older than what is
        known.
        """
        if restored:
            self._register_restored(record, now)
        else:
            self.register(record, now)

    def remove_unlisted(self, listed: set[str], now: float) -> list[str]:
        """Remove the targets that are not in a full listing.

        Return their identities.
        """
        self._listed = True
        missing = [name for name in self._targets if name not in listed]
        for identity in missing:
            self.remove(identity, now)
        return missing

    def start_lapse_grace_period(self, now: float) -> None:
        """Keep targets with lapsed registrations for the grace period.

        Call this when the store answers again after an outage.
        """
        self._grace_period_end = now + LAPSE_GRACE_PERIOD_S

    def grace_left_s(self, now: float) -> float:
        """Return the rest of the grace period in seconds, 0 after it."""
        return max(0, self._grace_period_end - now)

    def expire(self, now: float) -> list[str]:
        """Remove targets whose grace period is over.

        Return their identities.
        """
        expired = [
            identity
            for identity, known in self._targets.items()
            if known.expires_at <= now
        ]
        for identity in expired:
            self._drop(identity, now)
        for known in self._targets.values():
            if known.held_until is not None and known.held_until <= now:
                known.held_until = None
        for process, removed in tuple(self._removed.items()):
            if now - removed.removed_at >= REMOVED_RETENTION_S:
                self._removed.pop(process)
        return expired

    def replace_closed_data_centres(self, names: Iterable[str]) -> None:
        """Replace the set of data centres that are out of service."""
        self._closed_data_centres = frozenset(names)

    def all_targets(self) -> Iterator[KnownTarget]:
        """Yield all known targets, usable or not."""
        yield from self._targets.values()

    def registered(self, service: str) -> Iterator[KnownTarget]:
        """Yield the targets of a service, usable or not."""
        yield from self._by_service.get(service, {}).values()

    def usable(self, service: str) -> Iterator[KnownTarget]:
        """Yield the targets of a service that may get new work."""
        for known in self._by_service.get(service, {}).values():
            if not self.obstacle(known):
                yield known

    def obstacle(self, known: KnownTarget) -> str:
        """Return why a target may get no new work; empty if it may."""
        if known.held_until is not None:
            return 'held'
        if known.record.draining:
            return 'draining'
        if known.leaving:
            return 'leaving'
        if known.replaced:
            return 'replaced'
        if known.record.data_centre in self._closed_data_centres:
            return 'data_centre_closed'
        return ''

    def _register_restored(self, record: TargetRecord, now: float) -> None:
        """Register what a restored store lists, which may be outdated.

        A target that was removed is held back until it registers again. One
        that was draining still is: the state of a process does not go back.
        """
        known = self._targets.get(record.identity)
        held = record.process in self._removed
        if known is not None and known.process == record.process:
            held = known.held_until is not None
            draining = known.record.draining or record.draining
            record = dataclasses.replace(record, draining=draining)
        self.register(record, now)
        if held:
            held_until = now + RESURRECTED_HOLD_S
            self._targets[record.identity].held_until = held_until

    def _drop(self, identity: str, now: float) -> None:
        known = self._targets.pop(identity)
        self._removed[known.process] = _RemovedTarget(known, now)
        self._by_service[known.record.service].pop(identity, None)
