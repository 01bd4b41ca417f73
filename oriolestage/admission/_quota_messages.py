"""What hosts and grantors of tokens tell one another.

The structures are parts of messages between hosts. The positions of their
fields are part of the protocol; the names are not sent.
"""

from typing import Annotated

import msgspec

#: Largest total, and longest time in seconds and largest rate in a message.
MAX_TOTAL = 1_000_000_000_000_000
MAX_AMOUNT = 1e12

_Total = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOTAL)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """What one process has done with the tokens of one grantor.

    All counts are totals, so that a lost or late report is made good by the
    next one.
    """

    account: str
    #: Limit of the account by the configuration of the reporting host.
    rate: _Amount
    burst: _Amount
    #: Rises with each report about the account to this grantor.
    number: _Total
    #: Rises when the host has given up the tokens that it held or expected.
    epoch: _Total
    #: Requests that ran or run with tokens of the grantor, in all epochs.
    used: _Total
    #: Tokens that the host holds.
    held: _Total
    #: Tokens that it was granted in this epoch.
    received: _Total
    #: Requests that wait for a token.
    wanted: _Total
    #: Tokens that it will need soon, the waiting requests not counted.
    expected: _Total
    #: Requests of the account that this host has let run with any tokens, by
    #: age in slots of `SLOT_S`, the present slot first.
    recent: tuple[_Total, ...]


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a report."""

    account: str
    #: Number and epoch of the report.
    number: _Total
    epoch: _Total
    #: Tokens granted in this epoch in all.
    granted: _Total
    #: Time until the next token, in seconds; 0 if there is one.
    wait_s: _Amount
    #: Time between the tokens that one host can expect, in seconds.
    interval_s: _Amount


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
