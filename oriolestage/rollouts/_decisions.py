"""Decides which statuses of roll-outs this host has to write.

All hosts reach the same decision; the one with the first rank for the service
writes it, and each further one after a longer time if that has not happened.
"""

import dataclasses
from collections.abc import Callable

from oriolestage._rendezvous import rendezvous_position
from oriolestage.rollouts._book import RolloutBook
from oriolestage.rollouts._orders import (
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts._schedule import Schedule, Situation, Step
from oriolestage.rollouts._service_rollout import PendingStep, ServiceRollout

#: Time by which each further host waits longer before it writes a status, in
#: seconds, and the rank from which all wait the same time.
RANK_DELAY_S = 0.3
LAST_RANK = 5
#: Interval at which the status of an active roll-out is written again, so
#: that a host that starts learns the elapsed time, in seconds.
REFRESH_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeciderInputs:
    """What the decisions depend on beside the roll-outs."""

    #: Name of this host.
    host: str
    #: Names of all hosts.
    hosts: Callable[[], tuple[str, ...]]
    #: Whether a service has a usable target of a version.
    has_targets: Callable[[str, str], bool]


class RolloutDecider:
    """Returns the changes of statuses that are this host's turn."""

    def __init__(
        self, book: RolloutBook, schedule: Schedule, inputs: DeciderInputs
    ) -> None:
        """Create a decider on the roll-outs of a book."""
        self._book = book
        self._schedule = schedule
        self._inputs = inputs

    def due_statuses(self, now: float) -> list[RolloutStatus]:
        """Return the statuses that this host has to write now.

        Their revisions are those on which the writes are conditional.
        """
        due: list[RolloutStatus] = []
        for rollout in self._book.undecided():
            status = self._due_status(rollout, now)
            if status is not None:
                due.append(status)
        return due

    def record_write(self, service: str, quiet_until: float) -> None:
        """Record that a status was written, or could not be.

        Nothing is written for the service until a time, or until the status
        changes in the store.
        """
        rollout = self._book.find(service)
        if rollout is not None:
            rollout.quiet_until = quiet_until

    def _due_status(
        self, rollout: ServiceRollout, now: float
    ) -> RolloutStatus | None:
        step = self._next_step(rollout, now)
        if step is None:
            rollout.pending = None
            return None
        pending = rollout.pending
        if pending is None or not pending.same_as(step):
            pending = PendingStep(step, now)
            rollout.pending = pending
        pending.step = step
        if now < max(
            pending.since + self._delay_s(rollout.service), rollout.quiet_until
        ):
            return None
        return self._build_status(rollout, step, now)

    def _next_step(self, rollout: ServiceRollout, now: float) -> Step | None:
        stored = rollout.stored
        final = rollout.final
        order = rollout.order
        if order is None:
            if stored is None or stored.state != RolloutState.ACTIVE:
                return None
            return Step(
                RolloutState.ROLLED_BACK,
                RolloutPhase.ENDED,
                0,
                'order_removed',
            )
        if final is not None:
            known = rollout.stored_status
            if known is not None and known.state == final.state:
                return None
            return Step(final.state, final.phase, final.share, final.reason)
        self._book.count_own(rollout, now)
        evidence = rollout.evidence
        elapsed_s = rollout.elapsed_s(now)
        step = self._schedule.next_step(
            order,
            rollout.stored_status,
            Situation(
                elapsed_s=elapsed_s,
                verdict=evidence.verdict,
                requests=evidence.requests,
                exposed=evidence.exposed,
                rate=evidence.rate(elapsed_s),
                has_targets=self._inputs.has_targets(
                    rollout.service, order.target_version
                ),
            ),
        )
        return step or self._refresh(rollout, elapsed_s)

    def _refresh(
        self, rollout: ServiceRollout, elapsed_s: float
    ) -> Step | None:
        """Return the present state if it has to be written again."""
        status = rollout.stored_status
        if status is None or elapsed_s < status.elapsed_s + REFRESH_S:
            return None
        return Step(status.state, status.phase, status.share, status.reason)

    def _build_status(
        self, rollout: ServiceRollout, step: Step, now: float
    ) -> RolloutStatus:
        stored, evidence = rollout.stored, rollout.evidence
        if rollout.order is None and stored is not None:
            return dataclasses.replace(
                stored,
                state=step.state,
                phase=step.phase,
                share=step.share,
                reason=step.reason,
                rejected_versions=tuple(
                    sorted({*rollout.rejected, stored.target_version})
                ),
            )
        order = rollout.order
        assert order is not None
        base = rollout.stored_status or rollout.final
        if base is None:
            rollout.begin_trial(now)
        elapsed_s = rollout.elapsed_s(now)
        since_s = elapsed_s
        full_until_s = elapsed_s + step.full_s
        if base is not None and base.phase == step.phase:
            since_s = base.phase_since_s
            full_until_s = base.full_until_s
        known, rejected = _versions_after(rollout, order.target_version, step)
        return RolloutStatus(
            service=rollout.service,
            target_version=order.target_version,
            state=step.state,
            order=order.revision,
            phase=step.phase,
            share=step.share,
            phase_since_s=since_s,
            full_until_s=full_until_s,
            elapsed_s=elapsed_s,
            reason=step.reason,
            requests=evidence.requests,
            exposed=evidence.exposed,
            bad=evidence.verdict.bad,
            known_versions=tuple(sorted(known)),
            rejected_versions=tuple(sorted(rejected)),
            revision=0 if stored is None else stored.revision,
        )

    def _delay_s(self, service: str) -> float:
        """Return the time that this host leaves to those before it."""
        rank = rendezvous_position(
            service, self._inputs.host, self._inputs.hosts()
        )
        return RANK_DELAY_S * min(rank, LAST_RANK)


def _versions_after(
    rollout: ServiceRollout, target: str, step: Step
) -> tuple[set[str], set[str]]:
    """Return the known and the rejected versions after a step."""
    known, rejected = set(rollout.known), set(rollout.rejected)
    if step.state == RolloutState.COMPLETED:
        return {target}, rejected - {target}
    if known != {target}:
        known.discard(target)
    if step.state == RolloutState.ROLLED_BACK and target not in known:
        rejected.add(target)
    return known, rejected
