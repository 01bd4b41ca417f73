"""What a host believes of the configuration, the targets and the hosts.

Facts come from the store, in order, but some twice or late; a routing table
never gives way to an older version.
"""

from collections.abc import Iterable

from oriolestage.relay._state_changes import StateChange
from oriolestage.relay._crash_detector import CrashDetector
from oriolestage.relay._facts import (
    ConfigurationStored,
    CrashStored,
    DataCentreClosed,
    DataCentreOpened,
    HostRecord,
    HostRemoved,
    HostStored,
    StoredFact,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.relay._peers import PeerDirectory
from oriolestage.relay._placement import Placement
from oriolestage.relay._rules import CallerLimits, RoutingTable
from oriolestage.relay._targets import TargetDirectory

#: Time for which an unregistered host still counts, in seconds. What it
#: spent of shared limits counts for their window of 10 s, and leases may
#: lapse while hosts live and the store is away.
HOST_RETENTION_S = 12.0


class ClusterState:
    """Takes in facts and answers what they add up to."""

    def __init__(
        self,
        directory: TargetDirectory,
        placement: Placement,
        peers: PeerDirectory,
        crashes: CrashDetector,
    ) -> None:
        """Start without a configuration."""
        self._crashes = crashes
        self._peers = peers
        self._directory = directory
        self._placement = placement
        self._table: RoutingTable | None = None
        self._closed: set[str] = set()
        self._hosts: dict[str, HostRecord] = {}
        #: Steady time at which the registration of a host went away.
        self._left_at: dict[str, float] = {}
        self._unreadable: dict[str, str] = {}

    @property
    def table(self) -> RoutingTable | None:
        """The routing table in force; None before the first one."""
        return self._table

    @property
    def limits(self) -> CallerLimits:
        """Bounds on callers in force."""
        return CallerLimits() if self._table is None else self._table.limits

    def replace_all(
        self,
        facts: Iterable[StoredFact],
        now: float,
    ) -> list[StateChange]:
        """Take in a whole reading of the store."""
        listed = tuple(facts)
        closed = {
            fact.name for fact in listed if isinstance(fact, DataCentreClosed)
        }
        changes: list[StateChange] = []
        if closed != self._closed:
            self._closed = closed
            changes.append(self._closed_changed())
        changes += self._replace_hosts(listed, now)
        records = [
            fact.record for fact in listed if isinstance(fact, TargetStored)
        ]
        for identity in self._directory.replace_all(records, now):
            changes.append(_change('target_missing', target=identity))
        changes.append(_change('targets_read', targets=len(records)))
        for fact in listed:
            if isinstance(
                fact,
                ConfigurationStored | CrashStored | UnreadableItem,
            ):
                changes.extend(self.apply(fact, now))
        self._placement.forget_removed_targets()
        return changes

    def apply(self, fact: StoredFact, now: float) -> list[StateChange]:
        """Take in one fact; give what changed by it."""
        match fact:
            case ConfigurationStored(table=table):
                return self._apply_table(table)
            case TargetStored(record=record):
                known = self._directory.find(record.identity)
                added = self._directory.register(record, now)
                if added and known is not None:
                    self._crashes.record_target_down(record.identity, now)
                return [
                    _change(
                        'target_registered',
                        target=record.identity,
                        service=record.service,
                        data_centre=record.data_centre,
                        draining=record.draining,
                        new=added,
                    ),
                ]
            case TargetRemoved(identity=identity):
                known = self._directory.find(identity)
                at_once = self._directory.remove(identity, now)
                if known is not None and not known.record.draining:
                    self._crashes.record_target_down(identity, now)
                self._placement.forget_removed_targets()
                return [
                    _change('target_removed', target=identity, now=at_once),
                ]
            case CrashStored(report=report):
                self._crashes.record_report(report, now)
                return []
            case UnreadableItem():
                return self._apply_unreadable(fact, now)
            case DataCentreClosed(name=name):
                self._closed.add(name)
                return [self._closed_changed()]
            case DataCentreOpened(name=name):
                self._closed.discard(name)
                return [self._closed_changed()]
            case HostStored(record=host):
                return self._apply_host(host)
            case HostRemoved(name=name):
                self._left_at.setdefault(name, now)
                return [_change('host_unregistered', host=name)]

    def _apply_table(self, table: RoutingTable) -> list[StateChange]:
        known = -1 if self._table is None else self._table.version
        if table.version <= known:
            return []
        self._table = table
        return [
            _change(
                'configuration_in_force',
                version=table.version,
                previous=known,
                services=len(table.services),
            ),
        ]

    def _apply_unreadable(
        self,
        fact: UnreadableItem,
        now: float,
    ) -> list[StateChange]:
        """Stop using a target whose registration became unreadable."""
        if self._unreadable.get(fact.key) == fact.problem:
            return []
        self._unreadable[fact.key] = fact.problem
        if fact.target:
            self._directory.remove(fact.target, now)
        return [
            _change('item_unreadable', key=fact.key, problem=fact.problem),
        ]

    def expire_hosts(self, now: float) -> list[StateChange]:
        """Forget hosts that have been unregistered for long enough."""
        expired = [
            name
            for name, left_at in self._left_at.items()
            if now - left_at >= HOST_RETENTION_S
        ]
        for name in expired:
            self._left_at.pop(name)
            self._hosts.pop(name, None)
        return [self._hosts_changed()] if expired else []

    def _replace_hosts(
        self,
        listed: Iterable[StoredFact],
        now: float,
    ) -> list[StateChange]:
        changes: list[StateChange] = []
        missing = set(self._hosts)
        for fact in listed:
            if isinstance(fact, HostStored):
                missing.discard(fact.record.name)
                changes += self._apply_host(fact.record)
        for name in missing:
            self._left_at.setdefault(name, now)
        return changes

    def _apply_host(self, host: HostRecord) -> list[StateChange]:
        self._left_at.pop(host.name, None)
        if self._hosts.get(host.name) == host:
            return []
        self._hosts[host.name] = host
        return [self._hosts_changed()]

    def _closed_changed(self) -> StateChange:
        self._directory.replace_closed_data_centres(self._closed)
        return _change(
            'data_centres_closed',
            names=','.join(sorted(self._closed)) or 'none',
        )

    def _hosts_changed(self) -> StateChange:
        self._placement.replace_hosts(self._hosts)
        self._peers.replace_hosts(self._hosts.values())
        return _change('hosts_known', hosts=len(self._hosts))


def _change(event: str, **fields: object) -> StateChange:
    return StateChange(event, tuple(fields.items()))
