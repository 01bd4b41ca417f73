"""Admits the requests of accounts with a limit at one host.

A request is admitted at once and reported to the owner of its account, unless
the owner has said that the limit is used up. So a caller inside its limit
waits for no message. The number of requests that the owner has not counted
yet is bounded; a host without contact to the owner turns to the deputies, and
without any contact it has a fixed part.
"""

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_messages import (
    ClosedAccount,
    UsageReport,
    UsageVerdict,
)
from oriolestage.admission._quota_plan import plan_quota
from oriolestage.admission._quota_states import (
    AccountUse,
    Admission,
    AwaitVerdict,
    Charges,
    OverQuota,
)

#: Least time between reports about one account, in seconds, unless requests
#: wait for an answer.
REPORT_INTERVAL_S = 0.05
#: Time without an answer after which a report is repeated, in seconds.
REPEAT_S = 0.2
#: Time without an answer after which the next grantor is used, in seconds,
#: and after which other accounts may try the first one again.
SILENT_S = 0.25
RETRY_S = 1.0
#: Longest time for which a request waits for the answer to a report, in
#: seconds: a round trip between regions and some work.
MAX_WAIT_S = 0.06
#: Time for which the allowance of an answer applies, in seconds.
ALLOWANCE_S = 2.0
#: Retry-after without contact to any grantor, in seconds.
NO_CONTACT_RETRY_AFTER_S = 1.0
#: Time after the last request of an account for which reports are repeated, in
#: seconds.
REPEAT_FOR_S = 15.0
#: Time after which an account without requests is forgotten, in seconds. Its
#: totals start anew then, so that grantors must have dropped the earlier ones:
#: they do that after `IDLE_S` of the ledger without a report.
FORGET_S = 120.0


class QuotaClient:
    """The accounts with a limit at one host."""

    def __init__(self, name: str, bounds: QuotaBounds) -> None:
        """Create a client that knows no hosts."""
        self._name = name
        self._bounds = bounds
        self._hosts = QuotaHosts({})
        self._states: dict[str, AccountUse] = {}
        #: Time at which each grantor was found silent.
        self._silent_at: dict[str, float] = {}
        #: Time until which accounts that are not in use here are closed.
        self._closed: dict[str, float] = {}

    @property
    def hosts(self) -> QuotaHosts:
        """The hosts that share the quotas."""
        return self._hosts

    def replace_hosts(self, hosts: QuotaHosts) -> None:
        """Replace the hosts that share the quotas."""
        self._hosts = hosts

    @property
    def silent(self) -> frozenset[str]:
        """The grantors that do not answer."""
        return frozenset(self._silent_at)

    def admit(
        self, account: Account, now: float
    ) -> Admission | OverQuota | AwaitVerdict:
        """Return whether a request that arrives now may run."""
        state = self._state(account, now)
        if now < state.closed_until:
            return self._refuse(state, now)
        grantor = self._grantor(state, now)
        if not grantor:
            return self.admit_without_contact(account, now)
        charges = state.charges.setdefault(grantor, Charges())
        if not charges.heard and self._is_deputy(account.name, grantor):
            # Each host would admit one more at each deputy in turn.
            charges.changed = True
            return AwaitVerdict(now + MAX_WAIT_S)
        if charges.uncounted < self._allowance(state, now):
            charges.admitted += 1
            charges.changed = True
            state.admitted_at.append(now)
            return Admission(account.name, grantor, now)
        return AwaitVerdict(now + MAX_WAIT_S)

    def admit_without_contact(
        self, account: Account, now: float
    ) -> Admission | OverQuota:
        """Use the part of the limit that no other host knows of."""
        state = self._state(account, now)
        plan = plan_quota(account.rate, account.burst, self._bounds)
        share = self._hosts.fixed_share(
            account.name, self._name, plan.fixed_total
        )
        if state.fixed.try_take(share, now):
            state.admitted_at.append(now)
            return Admission(account.name, '', now)
        return OverQuota(NO_CONTACT_RETRY_AFTER_S)

    def put_back(self, admission: Admission, now: float) -> None:
        """Return what a request was charged that has not run."""
        state = self._states.get(admission.account)
        if state is None:
            return
        state.requested_at = max(state.requested_at, now)
        if not admission.grantor:
            state.fixed.put_back(admission.admitted_at)
            return
        charges = state.charges.get(admission.grantor)
        if charges is not None:
            charges.returned += 1
            charges.changed = True

    def report_due_at(self, account: str, now: float) -> float:
        """Return when to report about an account; infinite if not at all."""
        state = self._states.get(account)
        if state is None:
            return float('inf')
        due = [
            max(now, charges.reported_at + REPORT_INTERVAL_S)
            for charges in state.charges.values()
            if charges.changed
        ]
        return min(due, default=float('inf'))

    def take_reports(
        self, account: str, now: float, *, at_once: bool = False
    ) -> list[tuple[str, UsageReport]]:
        """Return the due reports about an account, by grantor."""
        state = self._states.get(account)
        if state is None:
            return []
        reports: list[tuple[str, UsageReport]] = []
        for grantor, charges in state.charges.items():
            since_s = now - charges.reported_at
            due = charges.changed and (at_once or since_s >= REPORT_INTERVAL_S)
            repeated = charges.waiting_since is not None and (
                since_s >= REPEAT_S and now - state.requested_at < REPEAT_FOR_S
            )
            if due or repeated:
                reports.append((grantor, self._report(state, charges, now)))
        return reports

    def receive(self, grantor: str, verdict: UsageVerdict, now: float) -> None:
        """Process the answer of a grantor."""
        self._silent_at.pop(grantor, None)
        state = self._states.get(verdict.account)
        if state is None:
            return
        charges = state.charges.get(grantor)
        if charges is None:
            return
        charges.heard = True
        answered = False
        while charges.sent and charges.sent[0][0] <= verdict.number:
            _, admitted = charges.sent.popleft()
            charges.counted = max(charges.counted, admitted)
            answered = True
        charges.waiting_since = now if charges.sent else None
        if not answered or grantor != self._grantor(state, now):
            return
        state.closed_until = now + verdict.closed_s
        state.allowance = verdict.allowance
        state.allowance_until = now + ALLOWANCE_S
        state.interval_s = verdict.interval_s
        state.refused = 0

    def close_account(self, notice: ClosedAccount, now: float) -> None:
        """Refuse the requests of an account for the time of a notice."""
        until = now + notice.closed_s
        state = self._states.get(notice.account)
        if state is None:
            self._closed[notice.account] = until
        else:
            state.closed_until = max(state.closed_until, until)

    def accounts(self) -> tuple[str, ...]:
        """Return the names of the accounts in use here."""
        return tuple(self._states)

    def forget(self, now: float) -> None:
        """Drop accounts without requests for long, and old notices."""
        for name, until in tuple(self._closed.items()):
            if until <= now:
                self._closed.pop(name)
        for name, state in tuple(self._states.items()):
            if now - state.requested_at >= FORGET_S:
                self._states.pop(name)

    def _state(self, account: Account, now: float) -> AccountUse:
        state = self._states.get(account.name)
        if state is None:
            state = AccountUse(account, self._bounds)
            state.closed_until = self._closed.pop(account.name, 0)
            self._states[account.name] = state
        if (state.account.rate, state.account.burst) != (
            account.rate,
            account.burst,
        ):
            state.closed_until = float('-inf')
        state.account = account
        if now - state.requested_at >= REPEAT_FOR_S:
            state.report_again()
        state.requested_at = now
        return state

    def _grantor(self, state: AccountUse, now: float) -> str:
        """Return the first grantor that is not silent; empty without one."""
        for grantor in self._hosts.grantors(state.account.name):
            charges = state.charges.get(grantor)
            since = None if charges is None else charges.waiting_since
            if since is not None and now - since >= SILENT_S:
                self._silent_at.setdefault(grantor, now)
            silent_at = self._silent_at.get(grantor)
            if silent_at is None:
                return grantor
            # Repeated reports find out whether it answers again.
            if since is None and now - silent_at >= RETRY_S:
                self._silent_at.pop(grantor)
                return grantor
        return ''

    def _is_deputy(self, account: str, grantor: str) -> bool:
        return self._hosts.grantors(account)[:1] != (grantor,)

    def _allowance(self, state: AccountUse, now: float) -> int:
        """Return how many requests may be admitted uncounted."""
        if now < state.allowance_until:
            return state.allowance
        account = state.account
        plan = plan_quota(account.rate, account.burst, self._bounds)
        return max(1, int(plan.uncounted / max(1, len(self._hosts))))

    def _refuse(self, state: AccountUse, now: float) -> OverQuota:
        """Refuse a request until the next token.

        Requests that are refused between two answers get the times of
        successive tokens, so that their callers return one by one.
        """
        wait_s = state.closed_until - now + state.refused * state.interval_s
        state.refused += 1
        return OverQuota(wait_s)

    def _report(
        self, state: AccountUse, charges: Charges, now: float
    ) -> UsageReport:
        state.number += 1
        charges.reported_at = now
        charges.changed = False
        charges.sent.append((state.number, charges.admitted))
        if charges.waiting_since is None:
            charges.waiting_since = now
        account = state.account
        return UsageReport(
            account=account.name,
            rate=account.rate,
            burst=account.burst,
            number=state.number,
            admitted=charges.admitted,
            returned=charges.returned,
            recent=state.recent(self._bounds.window_s, now),
        )
