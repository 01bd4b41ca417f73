"""All roll-outs as one host knows them.

It answers which versions of a service may get an attempt, and returns the
changes of statuses that this host has to write.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from oriolestage.rollouts._evidence import OwnEvidence
from oriolestage.rollouts._orders import (
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts._schedule import Schedule
from oriolestage.rollouts._service_rollout import ServiceRollout
from oriolestage.routing._facts import (
    EvidenceStored,
    OrderRemoved,
    OrderStored,
    StatusRemoved,
    StatusStored,
    StoredFact,
    TargetStored,
)
from oriolestage.routing._rollout_facts import RolloutFact
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing._version_rules import VersionSplit

#: Time for which what a restored store lacks is kept, in seconds.
RESTORED_S = 6.0
#: Time after an outage within which the orders of that time are read, in
#: seconds: they come with the first answer of the store, or with a full read
#: soon after it.
OUTAGE_READ_S = 3.0


class RolloutBook:
    """Roll-outs and versions by service."""

    def __init__(
        self,
        schedule: Schedule,
        own: OwnEvidence,
        copy_age_s: Callable[[], float],
        draws: random.Random,
    ) -> None:
        """Start without roll-outs.

        ``copy_age_s`` returns the age of this host's copy of the store in
        seconds, and ``draws`` the draws of first attempts.
        """
        self.own = own
        self._schedule = schedule
        self._copy_age_s = copy_age_s
        self._draws = draws
        self._services: dict[str, ServiceRollout] = {}
        self._restored_until = float('-inf')
        self._outage_s: float = 0
        #: Monotonic time until which orders are read that it has delayed.
        self._outage_until = float('-inf')
        #: True once the store was read.
        self._read = False

    @property
    def counts(self) -> Counter[str]:
        """Number of roll-outs by state."""
        return Counter(
            rollout.status.state.value
            for rollout in self._services.values()
            if rollout.status is not None
        )

    @property
    def busy(self) -> bool:
        """Whether there is an order that has not ended."""
        return any(rollout.active for rollout in self._services.values())

    def shares(self, now: float) -> dict[str, float]:
        """Return the share of each active roll-out by its service."""
        age_s = self._copy_age_s()
        return {
            service: rollout.share(now, age_s)
            for service, rollout in self._services.items()
            if rollout.active
        }

    def undecided(self) -> Iterator[ServiceRollout]:
        """Yield the services with an order or a status."""
        for rollout in self._services.values():
            if rollout.order is not None or rollout.stored is not None:
                yield rollout

    def rollouts(self) -> Iterator[ServiceRollout]:
        """Yield the services of which anything is known."""
        yield from self._services.values()

    def find(self, service: str) -> ServiceRollout | None:
        """Return the roll-out of a service; None if nothing is known."""
        return self._services.get(service)

    def draw(self) -> float:
        """Return the draw of a first attempt."""
        return self._draws.random()

    def split(self, service: str, now: float) -> VersionSplit | None:
        """Return the versions of a service to use; None if all may be."""
        rollout = self._services.get(service)
        if rollout is None or rollout.unrestricted:
            return None
        return rollout.split(now, self._copy_age_s())

    def record_outage(self, outage_s: float, now: float) -> None:
        """Record for how long the store was not read until ``now``.

        The orders that are read next may be older by that.
        """
        self._outage_s = outage_s
        self._outage_until = now + OUTAGE_READ_S

    def start_restoration(self, now: float) -> None:
        """Keep what a restored store lacks until it is written again."""
        self._restored_until = now + RESTORED_S
        self.own.forget_written()

    def record_target(self, record: TargetRecord) -> list[StateChange]:
        """Record the version of a target that has registered.

        The versions that are there before any order are known.
        """
        rollout = self._rollout(record.service)
        return rollout.learn_version(record, first=not self._read)

    def replace_all(
        self, facts: Iterable[StoredFact], now: float
    ) -> list[StateChange]:
        """Replace orders and statuses by those of a full read."""
        listed = tuple(facts)
        changes = self._drop_unlisted(listed, now)
        for kind in (OrderStored, StatusStored, EvidenceStored):
            for fact in listed:
                if isinstance(fact, kind) and not self._displaces(fact, now):
                    changes.extend(self.apply(fact, now))
        changes.extend(self._learn_listed(listed))
        return changes

    def apply(self, fact: RolloutFact, now: float) -> list[StateChange]:
        """Apply one change of the store; return the changes to log."""
        match fact:
            case OrderStored(order=order):
                return self._apply_order(order, now)
            case OrderRemoved(service=service):
                rollout = self._rollout(service)
                if rollout.displaced is None:
                    return self._remove(rollout)
                rollout.displaced = None
                return []
            case StatusStored(status=status):
                return self._apply_status(status, now)
            case StatusRemoved(service=service):
                self._rollout(service).stored = None
                return []
            case EvidenceStored(evidence=evidence):
                rollout = self._rollout(evidence.service)
                rollout.apply_evidence(evidence, now)
                return []

    def changes_of_shares(self, now: float) -> list[StateChange]:
        """Return the changes to log of the shares at this host."""
        age_s = self._copy_age_s()
        changes: list[StateChange] = []
        for rollout in self._services.values():
            if rollout.order is not None:
                changes.extend(rollout.change_of_share(now, age_s))
        return changes

    def remove_unconfirmed(self, now: float) -> list[StateChange]:
        """Forget orders that were not written again after a restoration."""
        if now < self._restored_until:
            return []
        changes: list[StateChange] = []
        for rollout in self._services.values():
            displaced = rollout.displaced
            if rollout.unconfirmed:
                changes.extend(self._remove(rollout))
            if displaced is not None:
                changes.extend(self._apply_order(displaced, now))
        return changes

    def _displaces(self, fact: StoredFact, now: float) -> bool:
        """Return whether a restored store lists an order from before another.

        It is kept aside until the later one is written again, or is forgotten.
        """
        if now >= self._restored_until or not isinstance(fact, OrderStored):
            return False
        rollout = self._rollout(fact.order.service)
        if not rollout.replaced_by_earlier(fact.order):
            return False
        rollout.unconfirmed = True
        rollout.displaced = fact.order
        return True

    def _apply_order(
        self, order: RolloutOrder, now: float
    ) -> list[StateChange]:
        rollout = self._rollout(order.service)
        known = rollout.order
        if known is not None and known.same_content(order):
            if known.revision == order.revision:
                rollout.unconfirmed = False
                return []
            if rollout.active or now < self._restored_until:
                rollout.confirm(order)
                self.own.confirm(order)
                return [rollout.describe('rollout_order_repeated')]
        late_s = self._outage_s if now < self._outage_until else 0
        rollout.start(order, now, late_s)
        self.own.start(order)
        changes = [
            rollout.describe(
                'rollout_ordered',
                duration_s=order.duration_s,
                known=','.join(sorted(rollout.known)),
                late_s=late_s,
            )
        ]
        if rollout.stored is not None:
            changes.extend(self._apply_status(rollout.stored, now))
        return changes

    def _apply_status(
        self, status: RolloutStatus, now: float
    ) -> list[StateChange]:
        rollout = self._rollout(status.service)
        new = rollout.apply_status(status, now)
        current = rollout.stored_status
        if current is not None and current.phase == RolloutPhase.RAMP:
            self.own.start_ramp(status.service)
        if not new:
            return []
        event = 'rollout_phase'
        if status.state != RolloutState.ACTIVE:
            event = 'rollout_decided'
        return [
            rollout.describe(
                event,
                state=status.state.value,
                target_version=status.target_version,
                phase=status.phase.value,
                share=status.share,
                elapsed_s=status.elapsed_s,
                requests=status.requests,
                exposed=status.exposed,
                bad=status.bad,
                reason=status.reason,
            )
        ]

    def _remove(self, rollout: ServiceRollout) -> list[StateChange]:
        if rollout.order is None:
            return []
        change = rollout.describe('rollout_order_removed')
        rollout.remove_order()
        self.own.stop(rollout.service)
        return [change]

    def _drop_unlisted(
        self, listed: Iterable[StoredFact], now: float
    ) -> list[StateChange]:
        """Forget orders and statuses that a full read does not list."""
        ordered: set[str] = set()
        stated: set[str] = set()
        for fact in listed:
            match fact:
                case OrderStored(order=order):
                    ordered.add(order.service)
                case StatusStored(status=status):
                    stated.add(status.service)
        changes: list[StateChange] = []
        for service, rollout in self._services.items():
            if service not in stated:
                rollout.stored = None
            if service in ordered or rollout.order is None:
                continue
            rollout.displaced = None
            if now < self._restored_until:
                rollout.unconfirmed = True
            else:
                changes.extend(self._remove(rollout))
        return changes

    def _learn_listed(self, listed: Iterable[StoredFact]) -> list[StateChange]:
        """Record the versions of the listed targets.

        Those of the first read are known unless a status names others.
        """
        first = not self._read
        settled = {
            service
            for service, rollout in self._services.items()
            if first and rollout.known
        }
        changes: list[StateChange] = []
        for fact in listed:
            if not isinstance(fact, TargetStored):
                continue
            learns = first and fact.record.service not in settled
            rollout = self._rollout(fact.record.service)
            changes.extend(rollout.learn_version(fact.record, first=learns))
        self._read = True
        return changes

    def count_own(self, rollout: ServiceRollout, now: float) -> None:
        """Add the latest counters of this host to those of all."""
        elapsed_s = rollout.elapsed_s(now)
        report = self.own.take(rollout.service, elapsed_s)
        if report is not None:
            rollout.evidence.add(report)

    def _rollout(self, service: str) -> ServiceRollout:
        rollout = self._services.get(service)
        if rollout is None:
            rollout = ServiceRollout(service, self._schedule)
            self._services[service] = rollout
        return rollout
