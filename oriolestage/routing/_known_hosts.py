"""The entry hosts that share the limits of targets."""

from collections.abc import Iterable, Mapping

from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._state_changes import StateChange

#: Time for which a host still shares the limits after its registration was
#: removed, in seconds. The retries that it sent count in a window of 10 s,
#: and its lease may expire while it runs and the store is unavailable.
HOST_RETENTION_S = 12.0


class KnownHosts:
    """Registered hosts, and those that were until recently."""

    def __init__(self, placement: Placement, peers: PeerDirectory) -> None:
        """Start without hosts.

        ``placement`` and ``peers`` are told of each change.
        """
        self._placement = placement
        self._peers = peers
        self._hosts: dict[str, HostRecord] = {}
        #: Monotonic time at which the registration of a host was removed.
        self._unregistered_at: dict[str, float] = {}
        #: Whether ``placement`` and ``peers`` know the present hosts.
        self._published = True

    def __len__(self) -> int:
        """Return the number of hosts that share the limits."""
        return len(self._hosts)

    @property
    def records(self) -> Mapping[str, HostRecord]:
        """The hosts by name, also those that were registered recently."""
        return self._hosts

    def lists(self, record: HostRecord) -> bool:
        """Return whether a host is registered with this record."""
        return (
            self._hosts.get(record.name) == record
            and record.name not in self._unregistered_at
        )

    def register(self, record: HostRecord, now: float) -> list[StateChange]:
        """Add a host or replace its record; return the changes to log."""
        return [self._publish(now)] if self._add(record) else []

    def unregister(self, name: str, now: float) -> StateChange:
        """Record that the registration of a host was removed.

        Return the change to log.
        """
        self._unregistered_at.setdefault(name, now)
        return StateChange('host_unregistered', (('host', name),))

    def replace_all(
        self, records: Iterable[HostRecord], now: float
    ) -> list[StateChange]:
        """Replace the hosts, and publish them once whatever their number.

        Return the changes to log.
        """
        missing = set(self._hosts)
        changed = False
        for record in records:
            missing.discard(record.name)
            changed |= self._add(record)
        for name in missing:
            self._unregistered_at.setdefault(name, now)
        return [self._publish(now)] if changed else []

    def expire(self, now: float) -> list[StateChange]:
        """Drop hosts `HOST_RETENTION_S` after their registration was removed.

        Also repeat a publication that failed. Return the changes to log.
        """
        expired = [
            name
            for name, unregistered_at in self._unregistered_at.items()
            if now - unregistered_at >= HOST_RETENTION_S
        ]
        for name in expired:
            self._unregistered_at.pop(name)
            self._hosts.pop(name, None)
        if expired or not self._published:
            return [self._publish(now)]
        return []

    def _add(self, record: HostRecord) -> bool:
        """Add a host or replace its record; return whether that is new."""
        self._unregistered_at.pop(record.name, None)
        if self._hosts.get(record.name) == record:
            return False
        self._hosts[record.name] = record
        return True

    def _publish(self, now: float) -> StateChange:
        """Tell the other parts of the hosts; return the change to log.

        An error keeps neither the changes after this one from being applied
        nor the hosts from being published later.
        """
        self._published = False
        location = self._placement.location
        regions = {
            name: location.region_of(record.data_centre)
            for name, record in self._hosts.items()
        }
        try:
            self._placement.replace_hosts(regions, now)
            self._peers.replace_hosts(self._hosts.values())
        except Exception as error:  # noqa: BLE001 - repeated by `expire`
            return StateChange('hosts_not_published', (('error', repr(error)),))
        self._published = True
        return StateChange('hosts_known', (('hosts', len(self._hosts)),))
