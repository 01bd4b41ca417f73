"""This host's view of the configuration, the targets and the other hosts.

The view is built from facts read from the store. They arrive in order, but
some arrive twice or late: an older routing table never replaces a newer one.
"""

import functools
from collections.abc import Callable, Iterable

from oriolestage.routing._crash_detector import CrashDetector
from oriolestage.routing._facts import (
    ConfigurationStored,
    CrashStored,
    DataCentreClosed,
    DataCentreOpened,
    EvidenceStored,
    HostRemoved,
    HostStored,
    OrderRemoved,
    OrderStored,
    StatusRemoved,
    StatusStored,
    StoredFact,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._known_hosts import KnownHosts
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._rollout_facts import NoRollouts, RolloutObserver
from oriolestage.routing._rules import CallerLimits, RoutingTable
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import (
    LAPSE_GRACE_PERIOD_S,
    TargetDirectory,
)
from oriolestage.routing._unreadable_items import UnreadableItems


class ClusterState:
    """Applies facts from the store to the state that requests are routed by.

    Targets, hosts and crash reports are passed on to the directories and the
    crash detector; the routing table is kept here.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        placement: Placement,
        peers: PeerDirectory,
        crashes: CrashDetector,
        rollouts: RolloutObserver | None = None,
    ) -> None:
        """Start without a configuration and without hosts.

        ``rollouts`` is told of roll-outs if these are enabled.
        """
        self._rollouts: RolloutObserver = rollouts or NoRollouts()
        self._crashes = crashes
        self._directory = directory
        self._placement = placement
        self._table: RoutingTable | None = None
        self._closed: set[str] = set()
        #: Monotonic time until which closed data centres that a restored store
        #: lacks stay closed.
        self._restored_until = float('-inf')
        #: Data centres that stay closed until then.
        self._unconfirmed: set[str] = set()
        self._hosts = KnownHosts(placement, peers)
        self._unreadable = UnreadableItems()
        self._unapplied = 0

    @property
    def table(self) -> RoutingTable | None:
        """Routing table in force; None before the first one was read."""
        return self._table

    @property
    def host_count(self) -> int:
        """Number of hosts that share the limits."""
        return len(self._hosts)

    @property
    def hosts(self) -> KnownHosts:
        """Hosts that are registered, or were until recently."""
        return self._hosts

    @property
    def unapplied_count(self) -> int:
        """Number of facts that were dropped because of an error."""
        return self._unapplied

    @property
    def unreadable_count(self) -> int:
        """Number of items that cannot be parsed."""
        return len(self._unreadable)

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers in force; the defaults without a table."""
        return CallerLimits() if self._table is None else self._table.limits

    def replace_all(
        self,
        facts: Iterable[StoredFact],
        now: float,
    ) -> list[StateChange]:
        """Replace the state by a full read of the store.

        Treat known targets and hosts that are not among ``facts`` as
        unregistered. Return the changes to log.
        """
        listed = tuple(facts)
        self._unreadable.forget_unlisted(listed)
        changes = self._replace_closed(listed, now)
        changes += self._hosts.replace_all(
            (fact.record for fact in listed if isinstance(fact, HostStored)),
            now,
        )
        changes += self._rollouts.replace_all(listed, now)
        changes += self._replace_targets(listed, now)
        for fact in listed:
            if isinstance(
                fact,
                ConfigurationStored | CrashStored | UnreadableItem,
            ):
                changes.extend(self.apply(fact, now))
        self._placement.forget_removed_targets()
        return changes

    def start_restoration(self, now: float) -> None:
        """Keep what a restored store lacks for the grace period.

        Call this before :meth:`replace_all` with the content of a store that
        was restored from a copy. Operators and targets write again what they
        wrote since.
        """
        self._restored_until = now + LAPSE_GRACE_PERIOD_S
        self._directory.start_lapse_grace_period(now)
        self._rollouts.start_restoration(now)

    def record_outage(self, outage_s: float, now: float) -> None:
        """Record that the store was not read until ``now``, in seconds."""
        self._rollouts.record_outage(outage_s, now)

    def apply(self, fact: StoredFact, now: float) -> list[StateChange]:
        """Apply one fact; return the changes to log.

        A fact that raises an error is dropped, so that the others are applied.
        """
        return self._attempt(fact, lambda: self._apply(fact, now))

    def _attempt(
        self,
        fact: StoredFact,
        apply: Callable[[], list[StateChange]],
    ) -> list[StateChange]:
        """Call ``apply`` for a fact; report an error as a change to log."""
        try:
            return apply()
        except Exception as error:
            self._unapplied += 1
            return [
                _change(
                    'change_not_applied',
                    step='store',
                    kind=type(fact).__name__,
                    error=repr(error),
                ),
            ]

    def _apply(self, fact: StoredFact, now: float) -> list[StateChange]:
        match fact:
            case ConfigurationStored(table=table):
                return self._apply_table(table)
            case TargetStored(record=record):
                self._unreadable.forget(record.identity)
                known = self._directory.find(record.identity)
                added = self._directory.register(record, now)
                if added and known is not None:
                    self._crashes.record_target_down(known.process, now)
                return [
                    _change(
                        'target_registered',
                        target=record.identity,
                        service=record.service,
                        data_centre=record.data_centre,
                        draining=record.draining,
                        new=added,
                    ),
                    *self._rollouts.record_target(record),
                ]
            case TargetRemoved(identity=identity):
                self._unreadable.forget(identity)
                known = self._directory.find(identity)
                at_once = self._directory.remove(identity, now)
                if known is not None and not known.record.draining:
                    self._crashes.record_target_down(known.process, now)
                self._placement.forget_removed_targets()
                return [
                    _change('target_removed', target=identity, now=at_once),
                ]
            case CrashStored(report=report):
                self._crashes.record_report(report, now)
                return []
            case UnreadableItem():
                return self._apply_unreadable(fact, now)
            case (
                OrderStored()
                | OrderRemoved()
                | StatusStored()
                | StatusRemoved()
                | EvidenceStored()
            ):
                return self._rollouts.apply(fact, now)
            case DataCentreClosed(name=name) | DataCentreOpened(name=name):
                closed = isinstance(fact, DataCentreClosed)
                return [self._apply_data_centre(name, closed=closed)]
            case HostStored(record=host):
                return self._hosts.register(host, now)
            case HostRemoved(name=name):
                return [self._hosts.unregister(name, now)]

    def _apply_data_centre(self, name: str, *, closed: bool) -> StateChange:
        self._unconfirmed.discard(name)
        if closed:
            self._closed.add(name)
        else:
            self._closed.discard(name)
        return self._publish_closed_data_centres()

    @property
    def _version(self) -> int:
        """Version of the routing table in force; -1 without one."""
        return -1 if self._table is None else self._table.version

    def _apply_table(self, table: RoutingTable) -> list[StateChange]:
        known = self._version
        if table.version == known:
            return []
        if table.version < known:
            return [
                _change(
                    'configuration_ignored',
                    version=table.version,
                    in_force=known,
                ),
            ]
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
        """Stop using a target whose registration cannot be parsed.

        Return a change unless the same problem with the item is known. It is
        a new one after the item was valid.
        """
        if fact.target:
            self._directory.remove(fact.target, now)
        if not self._unreadable.record(fact, self._version):
            return []
        return [
            _change('item_unreadable', key=fact.key, problem=fact.problem),
        ]

    def expire(self, now: float) -> list[StateChange]:
        """Drop what a restored store lacks, and hosts that are gone.

        Hosts are dropped `HOST_RETENTION_S` after their registration was
        removed. Return the changes to log.
        """
        changes: list[StateChange] = []
        if self._unconfirmed and now >= self._restored_until:
            self._closed -= self._unconfirmed
            self._unconfirmed.clear()
            changes.append(self._publish_closed_data_centres())
        return changes + self._hosts.expire(now)

    def _replace_closed(
        self,
        listed: Iterable[StoredFact],
        now: float,
    ) -> list[StateChange]:
        closed = {
            fact.name for fact in listed if isinstance(fact, DataCentreClosed)
        }
        self._unconfirmed.clear()
        if now < self._restored_until:
            self._unconfirmed = self._closed - closed
            closed |= self._unconfirmed
        if closed == self._closed:
            return []
        self._closed = closed
        return [self._publish_closed_data_centres()]

    def _replace_targets(
        self, listed: Iterable[StoredFact], now: float
    ) -> list[StateChange]:
        restored = now < self._restored_until
        changes: list[StateChange] = []
        names: set[str] = set()
        for fact in listed:
            if not isinstance(fact, TargetStored):
                continue
            register = functools.partial(
                self._register_listed, fact, names, now, restored=restored
            )
            changes.extend(self._attempt(fact, register))
        for identity in self._directory.remove_unlisted(names, now):
            changes.append(_change('target_missing', target=identity))
        changes.append(_change('targets_read', targets=len(names)))
        return changes

    def _register_listed(
        self, fact: TargetStored, names: set[str], now: float, *, restored: bool
    ) -> list[StateChange]:
        """Register a listed target and add its identity to ``names``.

        A restored store may list an earlier process, which is no restart.
        """
        identity = fact.record.identity
        names.add(identity)
        self._unreadable.forget(identity)
        known = self._directory.find(identity)
        self._directory.register_listed(fact.record, now, restored=restored)
        replaced = known is not self._directory.find(identity)
        if known is not None and replaced and not restored:
            self._crashes.record_target_down(known.process, now)
        return []

    def _publish_closed_data_centres(self) -> StateChange:
        self._directory.replace_closed_data_centres(self._closed)
        return _change(
            'data_centres_closed',
            names=','.join(sorted(self._closed)) or 'none',
        )


def _change(event: str, **fields: object) -> StateChange:
    return StateChange(event, tuple(fields.items()))
