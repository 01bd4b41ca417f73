"""Counts the requests of accounts over all hosts, at the owners of accounts.

Answers the load pattern in which an account sends many times its limit, by
connections to many hosts: the hosts admit its requests at once and report
them, and are told to refuse more as soon as the bucket of the account is
empty. Requests beyond it are a debt, which delays the next ones.
"""

import dataclasses

from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_messages import (
    ClosedAccount,
    UsageReport,
    UsageVerdict,
)
from oriolestage.admission._quota_plan import (
    START_FRACTION,
    BucketPlan,
    plan_quota,
)

#: Time for which a process counts as using an account after its last report,
#: in seconds.
ACTIVE_S = 2.0
#: Time after which the book of an account without reports is dropped, in
#: seconds. Its bucket is full by then, unless the limit is very low.
IDLE_S = 60.0
#: Fraction of the tokens that hosts may use uncounted.
LEVEL_FRACTION = 0.5
#: Longest time for which hosts are told to refuse, in seconds.
LONGEST_CLOSED_S = 60.0

#: Debt of an account from which all hosts are told to refuse its requests, as
#: a fraction of the requests that they may admit uncounted. Hosts that have
#: admitted none yet would each admit one.
NOTICE_FRACTION = 0.25
#: Least time between two such notices about an account, in seconds.
NOTICE_INTERVAL_S = 0.25

#: A process of a host: its name and a number that differs for each start.
Process = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Tab:
    """What one process has reported."""

    number: int
    used: int
    heard_at: float


class _Book:
    """The bucket of one account, with the reports about it."""

    def __init__(self, plan: BucketPlan, past_s: float, now: float) -> None:
        """Open a book.

        Another host may have kept it in the last ``past_s`` seconds, of which
        the first reports state the requests; 0 if none has.
        """
        self.heard_at = now
        self._noticed_at = float('-inf')
        self._plan = plan
        self._tabs: dict[Process, _Tab] = {}
        self._level = plan.capacity
        if past_s:
            self._level = max(1, START_FRACTION * plan.capacity)
        self._refilled_at = now
        #: Recent requests that the tokens of the time before have paid.
        self._past_tokens = plan.rate * past_s
        self._new_until = now + past_s

    def change(self, plan: BucketPlan, now: float) -> None:
        """Apply another limit from now on."""
        self.refill(now)
        self._plan = plan
        self._level = min(self._level, plan.capacity)

    @property
    def plan(self) -> BucketPlan:
        """The limit in force."""
        return self._plan

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        added = max(0, now - self._refilled_at) * self._plan.rate
        self._refilled_at = max(now, self._refilled_at)
        self._level = min(self._plan.capacity, self._level + added)

    def record(self, process: Process, report: UsageReport, now: float) -> None:
        """Charge what a report adds to the earlier ones of its process."""
        self.heard_at = now
        used = report.admitted - report.returned
        tab = self._tabs.get(process)
        if tab is None:
            self._tabs[process] = _Tab(report.number, used, now)
            self._charge(self._unpaid(report, min(used, report.recent), now))
            return
        tab.heard_at = now
        if report.number <= tab.number:
            return
        tab.number = report.number
        self._charge(used - tab.used)
        tab.used = used

    def notice(
        self, account: str, uncounted: float, now: float
    ) -> ClosedAccount | None:
        """Return what all hosts have to be told now; None if nothing."""
        if self._level > -NOTICE_FRACTION * uncounted:
            return None
        if now - self._noticed_at < NOTICE_INTERVAL_S:
            return None
        self._noticed_at = now
        return ClosedAccount(account, self.closed_s())

    def closed_s(self) -> float:
        """Return the time until the next token, 0 if there is one."""
        if self._level >= 1:
            return 0
        if not self._plan.rate:
            return LONGEST_CLOSED_S
        return min(LONGEST_CLOSED_S, (1 - self._level) / self._plan.rate)

    def allowance(self, uncounted: float, now: float) -> int:
        """Return what each process may admit before it is counted."""
        active = sum(
            1 for tab in self._tabs.values() if now - tab.heard_at < ACTIVE_S
        )
        tokens = uncounted + LEVEL_FRACTION * max(0, self._level - 1)
        return max(1, int(tokens / max(1, active)))

    def forget(self, now: float) -> None:
        """Drop processes that have not reported for long."""
        for process, tab in tuple(self._tabs.items()):
            if now - tab.heard_at >= IDLE_S:
                self._tabs.pop(process)

    def _charge(self, requests: float) -> None:
        self._level = min(self._plan.capacity, self._level - requests)

    def _unpaid(self, report: UsageReport, used: int, now: float) -> float:
        """Return what the first report of a process costs.

        ``used`` is what of the last window was charged to this host. While
        the book is new, another owner may have counted the recent requests;
        the tokens of that time have paid for some of them. Earlier requests
        are left out: a book that this host no longer has counted them.
        """
        if now >= self._new_until:
            return used
        recent = report.recent
        paid = min(self._past_tokens, recent)
        self._past_tokens -= paid
        return recent - paid


class QuotaLedger:
    """The books of the accounts that this host counts."""

    def __init__(self, bounds: QuotaBounds) -> None:
        """Start without books."""
        self._bounds = bounds
        self._books: dict[str, _Book] = {}
        self._notices: list[ClosedAccount] = []

    def __len__(self) -> int:
        """Return the number of books."""
        return len(self._books)

    def answer(
        self,
        process: Process,
        report: UsageReport,
        limit: tuple[float, float],
        now: float,
        *,
        owns: bool,
        settled: bool,
    ) -> UsageVerdict | None:
        """Count a report and return the answer.

        ``limit`` is the rate and burst of the account here. A host that does
        not own the account grants the part of a deputy. ``settled`` is True
        if no other host has been the owner in the last window. None for an
        account without a limit.
        """
        rate, burst = limit
        if rate <= 0:
            return None
        plan = plan_quota(rate, burst, self._bounds)
        part = plan.owner if owns else plan.deputy
        past_s = self._bounds.window_s if owns and not settled else 0
        book = self._book(report.account, part, past_s, now)
        book.refill(now)
        book.record(process, report, now)
        uncounted = plan.uncounted if owns else 0
        if owns:
            notice = book.notice(report.account, uncounted, now)
            if notice is not None:
                self._notices.append(notice)
        return UsageVerdict(
            account=report.account,
            number=report.number,
            closed_s=book.closed_s(),
            allowance=book.allowance(uncounted, now),
            interval_s=1 / rate,
        )

    def take_notices(self) -> tuple[ClosedAccount, ...]:
        """Return what all hosts have to be told since the last call."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def sweep(self, now: float) -> None:
        """Drop the books that nobody uses."""
        for account, book in tuple(self._books.items()):
            book.forget(now)
            if now - book.heard_at >= IDLE_S:
                self._books.pop(account)

    def _book(
        self, account: str, part: BucketPlan, past_s: float, now: float
    ) -> _Book:
        book = self._books.get(account)
        if book is None:
            book = _Book(part, past_s, now)
            self._books[account] = book
        elif book.plan != part:
            book.change(part, now)
        return book
