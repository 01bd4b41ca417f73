"""Division of the room that the bound leaves above an account's limit.

The bound on the requests of an account exceeds ``rate * window + burst``.
Each use of this room has a fixed part, and the parts add up to the whole, so
that the bound holds whatever hosts are cut off from one another.
"""

import dataclasses

from oriolestage.admission._quota_bounds import QuotaBounds

#: Part of the room by which the owner's bucket exceeds the burst, so that
#: callers at the limit are not refused for requests that come together.
CAPACITY_PART = 0.2
#: Part that hosts may admit before the owner has counted it.
UNCOUNTED_PART = 0.3
#: Part of each of the two deputies.
DEPUTY_PART = 0.15
#: Part that is divided among all hosts for the time without any contact.
FIXED_PART = 0.15
#: Fraction of a deputy's part that may come at once; the rest is added evenly.
DEPUTY_BURST = 0.5
#: Fraction of the capacity with which an owner starts that does not know yet
#: what was used before.
START_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class BucketPlan:
    """Rate in requests per second, and capacity, of a token bucket."""

    rate: float
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPlan:
    """What may be admitted of one account, and by whom."""

    owner: BucketPlan
    deputy: BucketPlan
    #: Requests that all hosts together may admit uncounted.
    uncounted: float
    #: Requests in a window that all hosts may divide without contact.
    fixed_total: int


def plan_quota(rate: float, burst: float, bounds: QuotaBounds) -> QuotaPlan:
    """Return the plan for an account with a rate above 0."""
    room = bounds.overage * (rate * bounds.window_s + burst) + bounds.slack
    deputy = DEPUTY_PART * room
    return QuotaPlan(
        owner=BucketPlan(rate, max(1, burst + CAPACITY_PART * room)),
        deputy=BucketPlan(
            min(rate, (1 - DEPUTY_BURST) * deputy / bounds.window_s),
            DEPUTY_BURST * deputy,
        ),
        uncounted=UNCOUNTED_PART * room,
        fixed_total=int(FIXED_PART * room),
    )
