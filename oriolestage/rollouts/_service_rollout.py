"""State of the versions of one service and of its roll-out."""

import dataclasses

from oriolestage.rollouts._exposure import Exposure, limit_exposure
from oriolestage.rollouts._fleet_evidence import FleetEvidence
from oriolestage.rollouts._orders import (
    HostEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts._schedule import Schedule, Step
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing._version_rules import VersionSplit

#: Part of the interval of reports by which the first one is earlier, in
#: seconds.
FIRST_REPORT_S = 1.0
#: Largest part of the duration that may have passed before an order is read.
MAX_LATE_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class PendingStep:
    """A change of the status that this host writes if no other one does."""

    step: Step
    #: Monotonic time since which it is due.
    since: float

    def same_as(self, step: Step) -> bool:
        """Return whether a step leads to the same phase."""
        return (self.step.state, self.step.phase) == (step.state, step.phase)


class ServiceRollout:
    """Versions of one service, and the order for it if there is one."""

    def __init__(self, service: str, schedule: Schedule) -> None:
        """Start without versions and without an order."""
        self.service = service
        self.order: RolloutOrder | None = None
        #: The latest status in the store, of this or an earlier order.
        self.stored: RolloutStatus | None = None
        #: The end of the order, also if the store has lost it.
        self.final: RolloutStatus | None = None
        self.evidence = FleetEvidence()
        self.pending: PendingStep | None = None
        #: Monotonic time before which nothing is written.
        self.quiet_until = float('-inf')
        #: Monotonic time of the latest report of this host.
        self.reported_at = float('-inf')
        #: True while a full read of a restored store lacks the order.
        self.unconfirmed = False
        #: An earlier order that a restored store has in place of this one.
        self.displaced: RolloutOrder | None = None
        self.known: set[str] = set()
        self.rejected: set[str] = set()
        self._schedule = schedule
        self._settled = VersionSplit(frozenset())
        self._logged_exposure = Exposure(0)
        #: Revisions of the store's item under which the order was read.
        self._revisions: set[int] = set()
        #: Versions that were logged as unknown.
        self._logged_unknown: set[str] = set()
        #: Whether there was a version that only an order allows.
        self._restricted = False
        #: Monotonic time of the order, as far as it is known.
        self._started_at: float = 0
        #: Time by which it may have been earlier, in seconds.
        self._late_s: float = 0

    @property
    def status(self) -> RolloutStatus | None:
        """The status of the order; None without one."""
        return self.final or self.stored_status

    @property
    def stored_status(self) -> RolloutStatus | None:
        """The status of the order in the store; None without one."""
        if self.order is None or self.stored is None:
            return None
        if self.stored.order not in self._revisions:
            return None
        if self.stored.target_version != self.order.target_version:
            return None
        return self.stored

    @property
    def unrestricted(self) -> bool:
        """Whether all of the service's targets may be used alike.

        This is asked for each part of each query, and is so unless there was
        an order or a version that no order has named.
        """
        return not self._restricted

    @property
    def active(self) -> bool:
        """Whether there is an order that has not ended."""
        return self.order is not None and self.final is None

    @property
    def trial(self) -> str:
        """The version on trial; empty if there is none."""
        if self.order is None or self.final is not None:
            return ''
        target = self.order.target_version
        return '' if self.known <= {target} else target

    def start(self, order: RolloutOrder, now: float, late_s: float) -> None:
        """Begin with another order.

        It was written ``late_s`` seconds before ``now`` at the earliest.
        """
        self._restricted = True
        self.order = order
        self.final = None
        self.evidence = FleetEvidence()
        self.pending = None
        self.quiet_until = float('-inf')
        self.reported_at = now - FIRST_REPORT_S
        self.unconfirmed = False
        self.displaced = None
        self.rejected.discard(order.target_version)
        self._revisions = {order.revision}
        self._started_at = now
        self._late_s = min(late_s, MAX_LATE_SHARE * order.duration_s)
        if self.known != {order.target_version}:
            self.known.discard(order.target_version)

    def confirm(self, order: RolloutOrder) -> None:
        """Continue with an order that was written again."""
        self.order = order
        self.unconfirmed = False
        self.displaced = None
        self._revisions.add(order.revision)

    def learn_version(
        self, record: TargetRecord, *, first: bool
    ) -> list[StateChange]:
        """Record the version of a target; return what to log.

        It is known if it is of the ``first`` read of the store, or if no
        version is.
        """
        version = record.version
        target = self.order.target_version if self.order else None
        if version in self.known or version == target:
            return []
        if first or not self.known:
            if version not in self.rejected:
                self.known.add(version)
            return []
        if version in self._logged_unknown:
            return []
        self._logged_unknown.add(version)
        self._restricted = True
        named = {
            'service': self.service,
            'version': version,
            'target': record.identity,
            'known': ','.join(sorted(self.known)),
        }
        return [StateChange('target_version_unknown', tuple(named.items()))]

    def remove_order(self) -> None:
        """Forget the order; its version is no longer allowed by it."""
        self.order = None
        self.final = None
        self.pending = None
        self.unconfirmed = False
        self.displaced = None

    def replaced_by_earlier(self, order: RolloutOrder) -> bool:
        """Return whether another order was written before the present one."""
        known = self.order
        if known is None or known.same_content(order):
            return False
        return order.revision < known.revision

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order, in seconds."""
        return now - self._started_at

    def begin_trial(self, now: float) -> None:
        """Fix the time of the order before the first status is written."""
        self._started_at = min(self._started_at, now) - self._late_s
        self._late_s = 0

    def apply_status(self, status: RolloutStatus, now: float) -> bool:
        """Apply a status of the store; return whether it is new."""
        self._restricted = True
        before = self.stored
        self.stored = status
        self.quiet_until = float('-inf')
        self.rejected.update(status.rejected_versions)
        current = self.stored_status
        if current is None:
            # A restored store may have that of an order before this one.
            if self.final is None and not self.unconfirmed:
                self._apply_other(status)
            return before != status
        self._late_s = 0
        self._started_at = min(self._started_at, now - status.elapsed_s)
        self._end(current)
        if self.final is None and status.known_versions:
            self.known = set(status.known_versions)
        return before is None or (
            (before.state, before.phase, before.order)
            != (status.state, status.phase, status.order)
        )

    def apply_evidence(self, evidence: HostEvidence, now: float) -> None:
        """Apply the counters of a process if they are for this order."""
        if evidence.order not in self._revisions or self.order is None:
            return
        started_at = now - evidence.elapsed_s
        self._started_at = min(self._started_at, started_at)
        self.evidence.add(evidence)

    def split(self, now: float, copy_age_s: float) -> VersionSplit:
        """Return how attempts are divided among the versions."""
        if not self.active:
            return self._settled_split()
        share = self.share(now, copy_age_s)
        return VersionSplit(
            known=frozenset(self.known),
            rejected=frozenset(self.rejected),
            trial=self.trial,
            share=share,
            spare=share > 0 and self._ends_soon(now),
        )

    def share(self, now: float, copy_age_s: float) -> float:
        """Return the share of the first attempts at the version on trial.

        It is that of the status, or 0 if the version may get no more or if
        this host may have missed that.
        """
        return self._exposure(now, copy_age_s).share

    def change_of_share(
        self, now: float, copy_age_s: float
    ) -> list[StateChange]:
        """Return the change to log if the share is another one than before."""
        exposure = self._exposure(now, copy_age_s)
        if exposure == self._logged_exposure:
            return []
        self._logged_exposure = exposure
        return [
            self.describe(
                'rollout_share',
                share=exposure.share,
                held_because=exposure.held_because or 'none',
                elapsed_s=self.elapsed_s(now),
            )
        ]

    def describe(self, event: str, **fields: object) -> StateChange:
        """Return a change to log about the order."""
        named: dict[str, object] = {'service': self.service}
        if self.order is not None:
            named['version'] = self.order.target_version
            named['order'] = self.order.revision
        return StateChange(event, tuple({**named, **fields}.items()))

    def _settled_split(self) -> VersionSplit:
        """Return the versions to use while none is on trial."""
        split = self._settled
        if split.known != self.known or split.rejected != self.rejected:
            split = VersionSplit(
                frozenset(self.known), frozenset(self.rejected)
            )
            self._settled = split
        return split

    def _exposure(self, now: float, copy_age_s: float) -> Exposure:
        status = self.stored_status
        if status is None or self.order is None or self.final is not None:
            return Exposure(0)
        return limit_exposure(
            self._schedule,
            self.order,
            status,
            self.evidence,
            self.elapsed_s(now),
            copy_age_s,
        )

    def _ends_soon(self, now: float) -> bool:
        status = self.stored_status
        if status is None or self.order is None:
            return False
        return self._schedule.ends_soon(self.order, status, self.elapsed_s(now))

    def _apply_other(self, status: RolloutStatus) -> None:
        """Learn the versions from the status of an earlier order."""
        if status.known_versions:
            self.known = set(status.known_versions)
        if self.order is None:
            return
        target = self.order.target_version
        self.rejected.discard(target)
        if self.known != {target}:
            self.known.discard(target)

    def _end(self, status: RolloutStatus) -> None:
        """Remember the end of the order; a completed one stays completed."""
        if status.state == RolloutState.ACTIVE:
            return
        if self.final is not None and (
            self.final.state == RolloutState.COMPLETED
        ):
            return
        self.final = dataclasses.replace(status, phase=RolloutPhase.ENDED)
        target = status.target_version
        if status.state == RolloutState.COMPLETED:
            self.known = {target}
            self.rejected.discard(target)
        elif self.known != {target}:
            self.known.discard(target)
            self.rejected.add(target)
