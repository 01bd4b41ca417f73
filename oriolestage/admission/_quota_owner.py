"""Grants tokens of the accounts whose owner or deputy this host is."""

import dataclasses
import enum
from collections import deque
from collections.abc import Callable, Mapping

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_books import AccountBook
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_messages import TokenGrant, UsageReport
from oriolestage.admission._quota_plan import (
    OVERLAP_S,
    QuotaPlan,
    plan_quota,
)
from oriolestage.admission._quota_votes import LEAD_S, QuotaVotes
from oriolestage.admission._token_bucket import TokenBucket

#: Time for which a host that has lost an account answers reports with the
#: tokens that are left, in seconds: by then, all hosts know the new owner.
HANDOVER_S = 2.0
#: Time after which the book of an account without reports is dropped, in
#: seconds. Its bucket is full by then, unless the limit is very low.
IDLE_S = 60.0
#: Tokens that a host grants to an account right after its own start. Hosts
#: that start together do not know of one another yet.
YOUNG_LEVEL = 1.0


class Role(enum.Enum):
    """What a host grants to an account."""

    OWNER = 'owner'
    DEPUTY = 'deputy'
    #: The tokens that are left from an earlier role.
    FORMER = 'former'


@dataclasses.dataclass(slots=True)
class _Kept:
    """A book with the role in which it is kept."""

    book: AccountBook
    role: Role
    #: Rate and burst of the account.
    limit: tuple[float, float]
    #: Tokens when this host last stopped granting the limit.
    level_before: float = 0
    #: Time at which the role was given up.
    lost_at: float = float('inf')


class QuotaOwner:
    """The books of the accounts that this host grants tokens of."""

    def __init__(
        self,
        name: str,
        bounds: QuotaBounds,
        may_own: Callable[[float], bool],
        on_change: Callable[[str, Mapping[str, object]], None],
        started_at: float,
    ) -> None:
        """Create a host without accounts at the start of its process.

        ``may_own`` returns whether no other host can have taken the place of
        this one at a time; ``on_change`` gets the events to log.
        """
        self._name = name
        self._bounds = bounds
        self._may_own = may_own
        self._on_change = on_change
        self._kept: dict[str, _Kept] = {}
        #: The hosts with the times from which they were known, newest last.
        self._history: deque[tuple[float, QuotaHosts]] = deque()
        self._listed_since = float('inf')
        #: Time until which another host may have taken the place of this one.
        self._doubted_until = float('-inf')
        self.votes = QuotaVotes(name, started_at, self._settling_s, may_own)
        self.granted_count = 0
        #: Whether votes should be asked for at once.
        self.wants_votes = False

    def __len__(self) -> int:
        """Return the number of accounts with a book."""
        return len(self._kept)

    def replace_hosts(self, hosts: QuotaHosts, now: float) -> None:
        """Replace the hosts that share the quotas."""
        if self._name not in hosts:
            self._listed_since = float('inf')
        elif self._listed_since > now:
            self._listed_since = now
        self.votes.replace_hosts(hosts)
        self._history.append((now, hosts))
        self._forget_history(now)

    def answer(
        self,
        host: tuple[str, int],
        report: UsageReport,
        known: Account | None,
        now: float,
    ) -> TokenGrant | None:
        """Return the answer to a report of a process of a host.

        ``known`` is the account in this host's own configuration; without it,
        the limit in the report applies. None if this host grants no tokens of
        the account.
        """
        rate, burst = report.rate, report.burst
        if known is not None:
            rate, burst = known.rate, known.burst
        if rate <= 0:
            return None
        if self.votes.want(report.account, now):
            self.wants_votes = True
        kept = self._keep(report.account, rate, burst, now)
        if kept is None:
            return None
        grant = kept.book.grant(host, report, now)
        if kept.role == Role.FORMER and grant is not None:
            if grant.granted <= report.received:
                # Another grantor may have tokens.
                return None
        if grant is not None:
            self.granted_count += max(0, grant.granted - report.received)
        return grant

    def prepare(self, account: str, now: float) -> None:
        """Be ready for reports about an account if this host owns it."""
        if self.owns(account):
            self.votes.want(account, now)

    def owns(self, account: str) -> bool:
        """Return whether this host is the owner of an account."""
        if not self._history:
            return False
        _, hosts = self._history[-1]
        return hosts.grantors(account)[:1] == (self._name,)

    def sweep(self, now: float) -> None:
        """Drop the books that are no longer needed."""
        self._check_ownership(now)
        for account, kept in tuple(self._kept.items()):
            kept.book.sweep(now)
            given_up = now - kept.lost_at > HANDOVER_S
            if given_up or now - kept.book.heard_at > IDLE_S:
                self._kept.pop(account)

    @property
    def _settling_s(self) -> float:
        """Time after which an earlier owner does not matter, in seconds."""
        return self._bounds.window_s + OVERLAP_S

    def _keep(
        self, account: str, rate: float, burst: float, now: float
    ) -> _Kept | None:
        """Return the book of an account for its present role."""
        role = self._role(account, now)
        plan = plan_quota(rate, burst, self._bounds)
        kept = self._kept.get(account)
        if kept is not None and kept.role == Role.OWNER:
            # Nothing is added for a time in which another host may have led.
            until = self.votes.led_until(account)
            kept.book.bucket.refill(min(now, until))
            if until < now:
                kept.book.bucket.delay_refill(now)
        if kept is None:
            if role == Role.FORMER:
                return None
            book = self._open(account, role, plan, now)
            kept = _Kept(book, role, (rate, burst))
            self._kept[account] = kept
        elif kept.role != role:
            self._change_role(account, kept, role, plan, now)
        elif kept.limit != (rate, burst):
            kept.book.bucket.change(*_pace(role, plan), now)
        kept.limit = (rate, burst)
        kept.book.rate = rate
        return kept

    def _role(self, account: str, now: float) -> Role:
        if not self._history or self._name not in self._history[-1][1]:
            return Role.FORMER
        grantors = self._history[-1][1].grantors(account)
        if self._name not in grantors:
            return Role.FORMER
        owns = grantors[0] == self._name
        if owns and not self._check_ownership(now):
            return Role.FORMER
        leads = now < self.votes.led_until(account)
        return Role.OWNER if leads else Role.DEPUTY

    def _check_ownership(self, now: float) -> bool:
        owns = self._may_own(now)
        if not owns:
            self._doubted_until = now
        return owns

    def _forget_history(self, now: float) -> None:
        horizon = now - self._settling_s
        while len(self._history) > 1 and self._history[1][0] < horizon:
            self._history.popleft()

    def _open(
        self, account: str, role: Role, plan: QuotaPlan, now: float
    ) -> AccountBook:
        rate, capacity = _pace(role, plan)
        level = capacity
        settled = self._is_settled(account, now)
        if role == Role.OWNER and not settled:
            level = min(capacity, plan.start_level)
        young_until = self._listed_since + OVERLAP_S
        young = now < young_until
        if young:
            level = min(level, YOUNG_LEVEL)
        bucket = TokenBucket(rate, capacity, level, now)
        if level < capacity and role == Role.OWNER:
            bucket.delay_refill(now + plan.refill_delay_s)
            self._log_start(account, level, young=young)
        if young:
            bucket.delay_refill(young_until)
        owns = self.owns(account)
        allowed_debt = 0 if settled else plan.capacity - level
        return AccountBook(bucket, allowed_debt, now, counts_debt=owns)

    def _change_role(
        self, account: str, kept: _Kept, role: Role, plan: QuotaPlan, now: float
    ) -> None:
        """Go on with the tokens that are left."""
        bucket = kept.book.bucket
        bucket.refill(now)
        kept.lost_at = float('inf')
        if kept.role == Role.OWNER:
            kept.level_before = bucket.level
        if role == Role.FORMER:
            kept.lost_at = now
            bucket.change(0, max(0, bucket.level + bucket.reserved), now)
        else:
            bucket.change(*_pace(role, plan), now)
        if role == Role.OWNER:
            self._start_leading(account, kept, plan, now)
        kept.role = role

    def _start_leading(
        self, account: str, kept: _Kept, plan: QuotaPlan, now: float
    ) -> None:
        """Choose the tokens of a book whose limit this host grants now."""
        bucket = kept.book.bucket
        if not self._is_settled(account, now):
            bucket.take(max(0, bucket.level - plan.start_level))
            bucket.delay_refill(now + plan.refill_delay_s)
        elif self.votes.is_settled(account):
            # No other host has led. Either the book was opened for the first
            # report of an idle account, or votes were lost for a moment.
            before = kept.level_before
            if now - kept.book.opened_at < LEAD_S:
                before = bucket.level + plan.capacity - plan.deputy_capacity
            bucket.take(min(0, bucket.level - before))
            return
        self._log_start(account, bucket.level, young=False)

    def _is_settled(self, account: str, now: float) -> bool:
        """Return whether this host has long been the owner."""
        self._forget_history(now)
        since = max(
            self._history[0][0], self._listed_since, self._doubted_until
        )
        if since > now - self._settling_s:
            return False
        return all(
            hosts.grantors(account)[:1] == (self._name,)
            for _, hosts in self._history
        )

    def _log_start(self, account: str, level: float, *, young: bool) -> None:
        self._on_change(
            'quota_taken_over',
            {'account': account, 'level': level, 'young': young},
        )


def _pace(role: Role, plan: QuotaPlan) -> tuple[float, float]:
    """Return the rate and capacity of a bucket in a role."""
    if role == Role.OWNER:
        return plan.rate, plan.capacity
    return plan.deputy_rate, plan.deputy_capacity
