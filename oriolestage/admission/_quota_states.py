"""What a host has admitted of an account, and what it was told about it."""

import dataclasses
from collections import deque

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_fallback import FixedPart

#: Reports without an answer that are remembered.
MAX_SENT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that counts against the limit of its account."""

    account: str
    #: The host that counts it; empty for the fixed part.
    grantor: str
    admitted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """A request that is refused because the limit is used up."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitVerdict:
    """A request that waits until its grantor has counted earlier ones."""

    until: float


@dataclasses.dataclass(slots=True)
class Charges:
    """What is charged to one grantor."""

    admitted: int = 0
    returned: int = 0
    #: Requests that were admitted when the latest answered report was sent.
    counted: int = 0
    #: Reports that are not answered: their number and what was admitted.
    sent: deque[tuple[int, int]] = dataclasses.field(
        default_factory=lambda: deque(maxlen=MAX_SENT)
    )
    #: Time of the first report that is not answered.
    waiting_since: float | None = None
    reported_at: float = float('-inf')
    #: True if something is to be reported.
    changed: bool = False
    #: Whether the grantor has answered.
    heard: bool = False

    @property
    def uncounted(self) -> int:
        """Requests that the grantor may not have counted."""
        return self.admitted - self.counted


class AccountUse:
    """One account at this host."""

    def __init__(self, account: Account, bounds: QuotaBounds) -> None:
        """Start without requests."""
        self.account = account
        self.charges: dict[str, Charges] = {}
        self.number = 0
        self.closed_until = float('-inf')
        self.allowance = 0
        self.allowance_until = float('-inf')
        self.interval_s = 1 / account.rate
        #: Requests refused since the last answer.
        self.refused = 0
        self.requested_at = float('-inf')
        self.fixed = FixedPart(bounds.window_s)
        self.admitted_at: deque[float] = deque()

    def recent(self, window_s: float, now: float) -> int:
        """Return the requests admitted in the last window."""
        while self.admitted_at and self.admitted_at[0] < now - window_s:
            self.admitted_at.popleft()
        return len(self.admitted_at)

    def report_again(self) -> None:
        """Report what has not been answered, after a time without reports."""
        for charges in self.charges.values():
            if charges.waiting_since is not None:
                charges.waiting_since = None
                charges.changed = True
