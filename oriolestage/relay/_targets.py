"""Which targets exist, what they said of themselves, and which may be used.

Targets register themselves. A registration that disappears while the store
was out of reach may have lapsed although the target lives, so it is kept for
a short time after the store is back.
"""

import dataclasses
from collections.abc import Iterable, Iterator

#: Lapsed registrations are back within 2 s of the store's return (platform).
LAPSE_GRACE_PERIOD_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target registered."""

    identity: str
    service: str
    #: Address as ``ip:port``.
    address: str
    data_centre: str
    #: Requests that it works on at the same time.
    slots: int
    #: True if it takes no new work because it is about to leave.
    draining: bool
    #: Time for which it stays cold after the registration, in seconds.
    warm_up_left_s: float
    #: Start of its process, Unix milliseconds; another value is a new one.
    started_ms: int


@dataclasses.dataclass(slots=True)
class KnownTarget:
    """A registered target and when it was learned of."""

    record: TargetRecord
    #: Steady time until which it is cold.
    cold_until: float
    #: Steady time at which a missing registration counts as gone.
    expires_at: float = float('inf')
    #: True after it answered under another identity.
    replaced: bool = False


class TargetDirectory:
    """All known targets by service."""

    def __init__(self) -> None:
        """Start without targets."""
        self._targets: dict[str, KnownTarget] = {}
        self._by_service: dict[str, dict[str, KnownTarget]] = {}
        self._closed_data_centres: frozenset[str] = frozenset()
        self._grace_until = float('-inf')

    def __len__(self) -> int:
        """Give the number of known targets."""
        return len(self._targets)

    @property
    def closed_data_centres(self) -> frozenset[str]:
        """Data centres whose targets get no new work."""
        return self._closed_data_centres

    def find(self, identity: str) -> KnownTarget | None:
        """Give one target by its identity."""
        return self._targets.get(identity)

    def register(self, record: TargetRecord, now: float) -> bool:
        """Take in a registration; tell whether the process is a new one."""
        known = self._targets.get(record.identity)
        if known is not None:
            restarted = known.record.started_ms != record.started_ms
            moved = known.record.address != record.address
            if known.record.service == record.service and not (
                restarted or moved
            ):
                known.record = record
                known.cold_until = now + record.warm_up_left_s
                known.expires_at = float('inf')
                return False
            self._forget(record.identity)
        added = KnownTarget(record, now + record.warm_up_left_s)
        self._targets[record.identity] = added
        siblings = self._by_service.setdefault(record.service, {})
        siblings[record.identity] = added
        return True

    def remove(self, identity: str, now: float) -> bool:
        """Note a removed registration; tell whether it took effect at once."""
        known = self._targets.get(identity)
        if known is None:
            return False
        if now < self._grace_until and not known.record.draining:
            known.expires_at = min(known.expires_at, self._grace_until)
            return False
        self._forget(identity)
        return True

    def replace_all(
        self,
        records: Iterable[TargetRecord],
        now: float,
    ) -> list[str]:
        """Take in a whole listing; give the targets that are not in it."""
        listed: set[str] = set()
        for record in records:
            listed.add(record.identity)
            self.register(record, now)
        missing = [name for name in self._targets if name not in listed]
        for identity in missing:
            self.remove(identity, now)
        return missing

    def start_lapse_grace_period(self, now: float) -> None:
        """Allow for registrations that lapsed while the store was away."""
        self._grace_until = now + LAPSE_GRACE_PERIOD_S

    def expire(self, now: float) -> list[str]:
        """Forget targets whose registrations did not come back."""
        expired = [
            identity
            for identity, known in self._targets.items()
            if known.expires_at <= now
        ]
        for identity in expired:
            self._forget(identity)
        return expired

    def replace_closed_data_centres(self, names: Iterable[str]) -> None:
        """Set the data centres that are out of service."""
        self._closed_data_centres = frozenset(names)

    def all_targets(self) -> Iterator[KnownTarget]:
        """Give all known targets, usable or not."""
        yield from self._targets.values()

    def usable(self, service: str) -> Iterator[KnownTarget]:
        """Give the targets of a service that may take new work."""
        for known in self._by_service.get(service, {}).values():
            if known.record.draining or known.replaced:
                continue
            if known.record.data_centre in self._closed_data_centres:
                continue
            yield known

    def _forget(self, identity: str) -> None:
        known = self._targets.pop(identity)
        self._by_service[known.record.service].pop(identity, None)
