"""One grantor's record of an account: its bucket and what hosts hold."""

import dataclasses

from oriolestage.admission._quota_messages import (
    SLOT_S,
    TokenGrant,
    UsageReport,
    debt_of,
)
from oriolestage.admission._quota_plan import LONGEST_WAIT_S
from oriolestage.admission._token_bucket import TokenBucket

#: Time after its last report for which a host counts among those that share
#: the level, in seconds.
SHARING_S = 2.0
#: Time after which tokens that a host holds are taken for unused, in seconds.
#: The host gives them up 0.5 s after a report that was answered.
HOLDING_S = 1.0
#: Time after which a host's totals are forgotten, in seconds.
FORGET_S = 30.0
#: Interval of counting the hosts that share the level, in seconds.
COUNT_INTERVAL_S = 0.1
#: Time within which the present requests of an account are counted, in slots.
COUNTED_SLOTS = 11


@dataclasses.dataclass(slots=True)
class _HostUsage:
    """What one process of a host has reported."""

    number: int
    epoch: int
    #: Tokens used in all epochs.
    used: int
    #: Tokens granted in this epoch.
    granted: int
    #: Tokens that were used, are held, or are on their way.
    charged: int
    #: Those of them that were not used.
    reserved: int
    heard_at: float


class AccountBook:
    """The tokens of one account at one grantor."""

    def __init__(
        self,
        bucket: TokenBucket,
        allowed_debt: float,
        opened_at: float,
        *,
        counts_debt: bool,
    ) -> None:
        """Create a book of a bucket without hosts.

        With ``counts_debt``, what hosts say they used before their first
        report here is taken from the bucket, beyond ``allowed_debt``.
        """
        self.bucket = bucket
        self.opened_at = opened_at
        #: Limit of the account, whatever part of it the bucket grants.
        self.rate = bucket.rate
        self._allowed_debt = allowed_debt
        self._counts_debt = counts_debt
        self._usages: dict[tuple[str, int], _HostUsage] = {}
        #: Requests before the first reports of hosts, by slot.
        self._earlier: dict[int, int] = {}
        self._sharing = 1
        self._counted_at = float('-inf')
        self.heard_at = float('-inf')

    @property
    def sharing(self) -> int:
        """Number of hosts that share the level."""
        return self._sharing

    def grant(
        self,
        host: tuple[str, int],
        report: UsageReport,
        now: float,
    ) -> TokenGrant | None:
        """Process a report; return the answer, None for one that is outdated."""
        self.bucket.refill(now)
        usage = self._record(host, report, now)
        if usage is None:
            return None
        self.heard_at = now
        self._count_sharing(now)
        total = self.bucket.level + self.bucket.reserved
        # A host holds no more than an even share, and none that it is not
        # going to use; a waiting request gets a token wherever it is.
        target = max(
            report.wanted,
            min(report.wanted + report.expected, int(total / self._sharing)),
        )
        added = max(0, min(target - usage.reserved, int(self.bucket.level)))
        self.bucket.take(added)
        self.bucket.reserved += added
        usage.granted += added
        usage.charged += added
        usage.reserved += added
        interval_s = LONGEST_WAIT_S
        if self.bucket.rate > 0:
            interval_s = min(interval_s, self._sharing / self.bucket.rate)
        return TokenGrant(
            report.account,
            report.number,
            report.epoch,
            usage.granted,
            self.bucket.wait_s(now, LONGEST_WAIT_S),
            interval_s,
        )

    def sweep(self, now: float) -> None:
        """Forget hosts that have been silent for long."""
        self._count_sharing(now)
        silent = [
            host
            for host, usage in self._usages.items()
            if now - usage.heard_at > FORGET_S
        ]
        for host in silent:
            self._usages.pop(host)

    def _record(
        self, host: tuple[str, int], report: UsageReport, now: float
    ) -> _HostUsage | None:
        """Charge what a host has used since its last report."""
        usage = self._usages.get(host)
        if usage is None or now - usage.heard_at > FORGET_S:
            self._charge_earlier(report, now)
            return self._start(host, report, now)
        if report.number <= usage.number or report.epoch < usage.epoch:
            return None
        if report.epoch > usage.epoch and report.used < usage.used:
            # Totals that began again must not look like returned tokens.
            return self._start(host, report, now)
        if report.epoch > usage.epoch:
            usage.epoch = report.epoch
            usage.granted = report.received
        reserved = report.held + max(0, usage.granted - report.received)
        charged = report.used + reserved
        self.bucket.reserved += reserved - usage.reserved
        self.bucket.take(charged - usage.charged)
        usage.number = report.number
        usage.used = report.used
        usage.charged = charged
        usage.reserved = reserved
        usage.heard_at = now
        return usage

    def _start(
        self, host: tuple[str, int], report: UsageReport, now: float
    ) -> _HostUsage:
        """Take the totals of a report as given."""
        replaced = self._usages.get(host)
        if replaced is not None:
            self.bucket.reserved -= replaced.reserved
        usage = _HostUsage(
            report.number,
            report.epoch,
            used=report.used,
            granted=report.received,
            charged=report.used + report.held,
            reserved=report.held,
            heard_at=now,
        )
        self._usages[host] = usage
        self.bucket.reserved += report.held
        return usage

    def _charge_earlier(self, report: UsageReport, now: float) -> None:
        """Take what a host used before it reported here for the first time."""
        if not self._counts_debt:
            return
        slot = int(now / SLOT_S)
        before = self._debt(slot)
        for age, count in enumerate(report.recent):
            counted = slot - age
            self._earlier[counted] = self._earlier.get(counted, 0) + count
        outdated = [
            counted
            for counted in self._earlier
            if slot - counted > COUNTED_SLOTS
        ]
        for counted in outdated:
            self._earlier.pop(counted)
        self.bucket.take(max(0, self._debt(slot) - before))

    def _debt(self, slot: int) -> float:
        owed = debt_of(self._earlier, self.rate, slot)
        return max(0, owed - self._allowed_debt)

    def _count_sharing(self, now: float) -> None:
        """Count the hosts that share the level, and drop what they gave up."""
        if now - self._counted_at < COUNT_INTERVAL_S:
            return
        self._counted_at = now
        sharing = 0
        for usage in self._usages.values():
            silent_s = now - usage.heard_at
            sharing += silent_s <= SHARING_S
            if silent_s > HOLDING_S and usage.reserved:
                self.bucket.reserved -= usage.reserved
                usage.reserved = 0
        self._sharing = max(1, sharing)
