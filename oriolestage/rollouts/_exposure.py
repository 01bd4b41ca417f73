"""Which share of first attempts one host sends to a version on trial.

Handles hosts that may have missed a decision, and a version that is bad or
has used its budget before that is decided: a host lowers the share by itself,
and raises it only as far as the status allows.
"""

import dataclasses
import math

from oriolestage.rollouts._fleet_evidence import FleetEvidence
from oriolestage.rollouts._orders import RolloutOrder, RolloutStatus
from oriolestage.rollouts._schedule import Schedule

#: Age of the copy of the store from which nothing is sent to a version on
#: trial, in seconds. It is below the time within which a bad version has to
#: get nothing more, and above the longest watch without changes.
MAX_COPY_AGE_S = 4.5
#: The same after the planned end of the ramp, when an answer of the store
#: should have brought the end.
MAX_COPY_AGE_AT_END_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Exposure:
    """Share of the first attempts that go to a version on trial."""

    share: float
    #: Why it is below that of the status; empty if it is not.
    held_because: str = ''


def limit_exposure(
    schedule: Schedule,
    order: RolloutOrder,
    status: RolloutStatus,
    evidence: FleetEvidence,
    elapsed_s: float,
    copy_age_s: float,
) -> Exposure:
    """Return the share that a host may use now.

    ``elapsed_s`` is the time since the order and ``copy_age_s`` the age of
    the host's copy of the store, both in seconds.
    """
    if evidence.verdict.bad_because:
        return Exposure(0, 'bad')
    if elapsed_s > order.duration_s:
        return Exposure(0, 'deadline')
    max_age_s = MAX_COPY_AGE_S
    if elapsed_s > schedule.end_s(order, status):
        max_age_s = MAX_COPY_AGE_AT_END_S
    if copy_age_s > max_age_s:
        return Exposure(0, 'old_copy')
    share = schedule.share(status, elapsed_s)
    unreported_rate: float = 0
    if math.isinf(status.full_until_s):
        # A ramp of a limited time is bounded by that.
        unreported_rate = share * evidence.rate(elapsed_s)
    if schedule.exhausted(evidence.requests, evidence.exposed, unreported_rate):
        return Exposure(0, 'budget')
    return Exposure(share)
