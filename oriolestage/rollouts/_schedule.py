"""Decides what happens next to a roll-out, from its evidence and the time.

Handles traffic of few and of many requests: the new version gets all first
attempts for as long as the exposure budget allows, and never so many that a
bad version would exceed the budget before the roll-out ends.
"""

import dataclasses
import math

from oriolestage.rollouts._bounds import RolloutBounds
from oriolestage.rollouts._orders import (
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts._verdict import Verdict

#: Planned end and earliest start of the ramp, as shares of the duration.
PLANNED_END_SHARE = 0.75
RAMP_SHARE = 0.6
#: Time before the deadline at which the end is decided at the latest, in
#: seconds. Hosts of the last rank write it 1.5 s later, if no other one does.
LATEST_END_S = 2.0
#: Part of the remaining exposure budget that the ramp may use.
BUDGET_SHARE = 0.6
#: Part of the exposure budget from which a host sends nothing more to the new
#: version, and the age of the requests that are not reported yet, in seconds.
EXPOSED_SHARE = 0.85
UNREPORTED_S = 0.6
#: Time after the order from which the rate of requests counts as known, in
#: seconds: by then all hosts have reported once.
RATE_KNOWN_S = 3.0
#: Shortest time of a ramp before the end, in seconds. Hosts learn of the ramp,
#: and of its responses, up to 1.3 s late each.
MIN_RAMP_S = 2.5
#: Mean time after which hosts follow a change of the share, in seconds.
FOLLOWED_S = 0.5
#: Part of a ramp until the end that has to fit in the budget. If less fits,
#: the full share lasts for a shorter time.
FULL_PART = 0.85
#: Time within which all hosts learn of a change, in seconds.
LEARNED_S = 1.3
#: Time before the end from which a target of the new version may stand in for
#: the old ones if these have stopped, in seconds.
SPARE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is known about a roll-out at one time."""

    #: Time since the order, in seconds.
    elapsed_s: float
    verdict: Verdict
    #: Requests for the service since the order.
    requests: int
    #: Requests that the new version got.
    exposed: int
    #: Requests per second of the service.
    rate: float
    #: Whether a target of the new version is usable.
    has_targets: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A change of the status that has to be written."""

    state: RolloutState
    phase: RolloutPhase
    share: float
    reason: str
    #: Time for which the share is full, in seconds.
    full_s: float = math.inf


class Schedule:
    """Decides about roll-outs within given bounds."""

    def __init__(self, bounds: RolloutBounds) -> None:
        """Create a schedule that keeps to ``bounds``."""
        self._bounds = bounds

    def next_step(
        self,
        order: RolloutOrder,
        status: RolloutStatus | None,
        known: Situation,
    ) -> Step | None:
        """Return the change to write; None if there is none yet.

        ``status`` is that of the order; None if there is none.
        """
        if status is None:
            return Step(
                RolloutState.ACTIVE,
                RolloutPhase.CANARY,
                self._bounds.canary_share,
                'ordered',
            )
        if status.state != RolloutState.ACTIVE:
            return None
        if known.verdict.bad_because:
            return _roll_back(known.verdict.bad_because)
        if known.elapsed_s >= order.duration_s:
            return _roll_back('deadline')
        if not known.has_targets:
            if known.elapsed_s >= _latest_end_s(order):
                return _roll_back('no_targets')
            return None
        if known.elapsed_s >= self.end_s(order, status):
            return self._end(order, known)
        if status.phase == RolloutPhase.CANARY:
            return self._ramp(order, known)
        return None

    def end_s(self, order: RolloutOrder, status: RolloutStatus) -> float:
        """Return the time after the order at which it is to end."""
        latest_s = _latest_end_s(order)
        if status.phase != RolloutPhase.RAMP:
            return latest_s
        planned_s = order.duration_s * PLANNED_END_SHARE
        return min(latest_s, max(planned_s, status.phase_since_s + MIN_RAMP_S))

    def share(self, status: RolloutStatus, elapsed_s: float) -> float:
        """Return the share of first attempts that a status allows."""
        if elapsed_s > status.full_until_s:
            return min(status.share, self._bounds.canary_share)
        return status.share

    def ends_soon(
        self, order: RolloutOrder, status: RolloutStatus, elapsed_s: float
    ) -> bool:
        """Return whether the ramp may have ended for other hosts."""
        end_s = self.end_s(order, status)
        return status.phase == RolloutPhase.RAMP and elapsed_s > end_s - SPARE_S

    def exhausted(
        self, requests: int, exposed: int, unreported_rate: float
    ) -> bool:
        """Return whether the new version may get nothing more for now.

        It gets ``unreported_rate`` requests per second at present.
        """
        bounds = self._bounds
        budget = bounds.canary_share * requests + bounds.canary_slack
        unreported = unreported_rate * UNREPORTED_S
        return exposed >= min(EXPOSED_SHARE * budget, budget - unreported)

    def _ramp(self, order: RolloutOrder, known: Situation) -> Step | None:
        """Return the start of the ramp, if its requests fit in the budget."""
        if known.verdict.doubtful_because:
            return None
        planned_s = min(
            order.duration_s * PLANNED_END_SHARE, _latest_end_s(order)
        )
        earliest_s = planned_s - RAMP_SHARE * order.duration_s
        if known.elapsed_s < max(earliest_s, min(RATE_KNOWN_S, planned_s)):
            return None
        end_s = max(planned_s, known.elapsed_s + MIN_RAMP_S)
        expected = known.rate * (end_s - known.elapsed_s - FOLLOWED_S)
        usable = self._budget_left(order, known) * BUDGET_SHARE
        if usable >= expected:
            return _ramp_for(math.inf)
        if known.elapsed_s < planned_s - MIN_RAMP_S:
            return None
        if usable >= FULL_PART * expected:
            return _ramp_for(math.inf)
        return _ramp_for(_burst_s(usable / known.rate))

    def _budget_left(self, order: RolloutOrder, known: Situation) -> float:
        """Return how many more requests a bad version might get."""
        bounds = self._bounds
        total = max(known.requests, known.rate * order.duration_s)
        budget = bounds.canary_share * total + bounds.canary_slack
        return max(0, budget - known.exposed)

    def _end(self, order: RolloutOrder, known: Situation) -> Step | None:
        """Return the end of a roll-out whose time has come.

        Wait longer if a few more responses may show whether it is good.
        """
        verdict = known.verdict
        if not verdict.convincing and known.elapsed_s < _latest_end_s(order):
            return None
        if verdict.doubtful_because:
            return _roll_back(f'doubtful:{verdict.doubtful_because}')
        return Step(
            RolloutState.COMPLETED,
            RolloutPhase.ENDED,
            1,
            f'good:{verdict.bad}_of_{verdict.responses}',
        )


def _ramp_for(full_s: float) -> Step:
    return Step(
        RolloutState.ACTIVE,
        RolloutPhase.RAMP,
        1,
        'fits' if math.isinf(full_s) else 'burst',
        full_s,
    )


def _burst_s(host_s: float) -> float:
    """Return the time of a ramp that lasts ``host_s`` at the average host.

    Hosts learn of it up to `LEARNED_S` late and all end it together.
    """
    if host_s >= LEARNED_S / 2:
        return host_s + LEARNED_S / 2
    return math.sqrt(2 * LEARNED_S * host_s)


def _roll_back(reason: str) -> Step:
    return Step(RolloutState.ROLLED_BACK, RolloutPhase.ENDED, 0, reason)


def _latest_end_s(order: RolloutOrder) -> float:
    """Return the latest time after the order at which to end it."""
    return max(order.duration_s - LATEST_END_S, order.duration_s / 2)
