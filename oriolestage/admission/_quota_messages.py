"""What hosts and grantors of tokens tell one another."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """What one process has done with the tokens of one grantor.

    All counts are totals, so that a lost or late report is made good by the
    next one.
    """

    account: str
    #: Limit of the account by the configuration of the reporting host.
    rate: float
    burst: float
    #: Rises with each report about the account to this grantor.
    number: int
    #: Rises when the host has given up the tokens that it held or expected.
    epoch: int
    #: Requests that ran or run with tokens of the grantor, in all epochs.
    used: int
    #: Tokens that the host holds.
    held: int
    #: Tokens that it was granted in this epoch.
    received: int
    #: Requests that wait for a token.
    wanted: int
    #: Tokens that it will need soon, the waiting requests not counted.
    expected: int
    #: Requests of the account that this host has let run with any tokens, by
    #: age in slots of `SLOT_S`, the present slot first.
    recent: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The answer to a report."""

    account: str
    #: Number and epoch of the report.
    number: int
    epoch: int
    #: Tokens granted in this epoch in all.
    granted: int
    #: Time until the next token, in seconds; 0 if there is one.
    wait_s: float
    #: Time between the tokens that one host can expect, in seconds.
    interval_s: float


#: Length of the slots in which hosts count recent requests, in seconds.
SLOT_S = 0.5


def debt_of(counts: dict[int, int], rate: float, slot: int) -> float:
    """Return by how much recent requests exceed a rate.

    ``counts`` has requests by slot, and ``slot`` is the present one. The
    result is what a token bucket that was full before would lack.
    """
    debt: float = 0
    total = 0
    for counted in sorted(counts, reverse=True):
        total += counts[counted]
        age_s = max(0, slot - counted) * SLOT_S
        debt = max(debt, total - rate * age_s)
    return debt
