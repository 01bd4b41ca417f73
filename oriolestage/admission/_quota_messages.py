"""What hosts and the owners of accounts tell one another.

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
    """What one process has admitted of one account.

    The counts are totals, so that a lost or late report is made good by the
    next one.
    """

    account: str
    #: Limit of the account by the configuration of the reporting host.
    rate: _Amount
    burst: _Amount
    #: Rises with each report of the process about the account.
    number: _Total
    #: Requests that were admitted and charged to the grantor, and those of
    #: them that ended without having run.
    admitted: _Total
    returned: _Total
    #: Requests admitted in the last window, whoever they were charged to.
    recent: _Total


class ClosedAccount(msgspec.Struct, frozen=True, array_like=True):
    """Tells every host that an account has used far more than its limit."""

    account: str
    #: Time for which its requests are refused, in seconds.
    closed_s: _Amount


class UsageVerdict(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a report."""

    account: str
    #: Number of the report.
    number: _Total
    #: Time for which requests of the account are refused, in seconds; 0 if
    #: they are admitted.
    closed_s: _Amount
    #: Requests that the host may admit before they are counted.
    allowance: _Total
    #: Time between two requests at the rate of the limit, in seconds.
    interval_s: _Amount
