"""Division of the bound on an account's requests among those who grant them.

Beyond ``rate * window + burst``, the bound leaves room for requests that are
granted without the owner's knowledge. Each use of this room has a fixed part,
and the parts add up to less than the whole, whatever hosts are cut off from
one another.
"""

import dataclasses

from oriolestage.admission._quota_bounds import QuotaBounds

#: Part of the room by which the owner's bucket exceeds the burst, so that
#: callers at the limit are not refused for the time that messages take.
CAPACITY_PART = 0.3
#: Part that a new owner may grant before it knows what was used.
START_PART = 0.1
#: Part that two owners may add while hosts learn of a change.
OVERLAP_PART = 0.1
#: Part of each deputy.
DEPUTY_PART = 0.175
#: Part that is divided among all hosts.
FIXED_PART = 0.1
#: Fraction of a deputy's part that may come at once; the rest is added evenly.
DEPUTY_BURST = 0.4
#: Longest retry-after of a request over the limit, in seconds.
LONGEST_WAIT_S = 60.0
#: Longest time for which two hosts are taken for the owner of an account, in
#: seconds: a change of the hosts is known everywhere within it.
OVERLAP_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPlan:
    """What each grantor of one account may grant."""

    #: Tokens per second of the owner.
    rate: float
    #: Capacity of the owner's bucket.
    capacity: float
    #: Tokens of a new owner that does not know what was used.
    start_level: float
    #: Time for which such an owner adds no tokens, in seconds.
    refill_delay_s: float
    deputy_rate: float
    deputy_capacity: float
    #: Requests in a window that all hosts may divide.
    fixed_total: int


def plan_quota(rate: float, burst: float, bounds: QuotaBounds) -> QuotaPlan:
    """Return the plan for an account with a rate above 0."""
    room = bounds.overage * (rate * bounds.window_s + burst) + bounds.slack
    deputy = DEPUTY_PART * room
    return QuotaPlan(
        rate=rate,
        # Below one token, no request could ever run.
        capacity=max(1, burst + CAPACITY_PART * room),
        start_level=max(1, START_PART * room),
        refill_delay_s=max(0, OVERLAP_S - OVERLAP_PART * room / rate),
        deputy_rate=min(rate, (1 - DEPUTY_BURST) * deputy / bounds.window_s),
        deputy_capacity=DEPUTY_BURST * deputy,
        fixed_total=int(FIXED_PART * room),
    )
