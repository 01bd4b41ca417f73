"""Admits the requests of one host with the tokens that it was granted."""

import dataclasses
from collections.abc import Iterator

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_demand import Demand
from oriolestage.admission._quota_fallback import FixedPart
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_leases import TokenLease
from oriolestage.admission._quota_messages import TokenGrant, UsageReport
from oriolestage.admission._quota_plan import LONGEST_WAIT_S, plan_quota

#: Least time between reports of use to one grantor, in seconds.
REPORT_INTERVAL_S = 0.1
#: Time after which held tokens are confirmed by a report, in seconds.
CONFIRM_INTERVAL_S = 0.25
#: Time without a request after which held tokens are returned, in seconds.
IDLE_S = 0.25
#: Least time between questions for tokens, in seconds.
ASK_INTERVAL_S = 0.01
#: Time without an answer after which a deputy is asked too, in seconds.
LATE_S = 0.06
#: Longest time for which a request waits for a token, in seconds.
MAX_WAIT_S = 0.06
#: Time without an answer after which a grantor counts as silent, in seconds.
SILENT_S = 0.5
#: Time without requests or reports after which an account or a lease is
#: forgotten, in seconds. The grantors forget its totals earlier: totals that
#: begin again at 0 would look like returned tokens.
FORGET_S = 60.0
#: Retry-after of a request that is refused without contact to a grantor, in
#: seconds.
NO_CONTACT_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that may run, and where its token is from."""

    account: str
    #: Host that granted the token; empty for the fixed part.
    grantor: str
    admitted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """A request that is refused."""

    #: Time after which a request can be admitted, in seconds.
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Wait:
    """A request that waits for a token."""

    account: str
    started_at: float


class _State:
    """What this host knows of one account."""

    def __init__(self, account: Account, window_s: float) -> None:
        self.account = account
        self.demand = Demand()
        self.fixed = FixedPart(window_s)
        self.leases: dict[str, TokenLease] = {}
        #: Requests that wait for a token, the earliest first.
        self.waits: list[Wait] = []
        self.requested_at = float('-inf')
        self.asked_at = float('-inf')
        #: Number of the last question to the owner.
        self.asked_number = 0
        #: Whether a request waits that no question has counted.
        self.unasked = False

    def tidy(self, now: float) -> None:
        """Forget old leases, and give up tokens that are not needed."""
        for grantor, lease in tuple(self.leases.items()):
            if now - lease.last_sent_at > FORGET_S:
                self.leases.pop(grantor)
            lease.lapse(now)
            if now - self.requested_at > IDLE_S:
                lease.held = 0

    def expected(self, now: float) -> int:
        """Return the tokens to hold for requests that have not arrived."""
        if now - self.requested_at > IDLE_S:
            return 0
        return self.demand.expected(now)


@dataclasses.dataclass(slots=True)
class _Contact:
    """Whether a grantor answers."""

    #: Time from which a report is unanswered; None if all are answered.
    waiting_since: float | None = None

    def is_late(self, now: float, limit_s: float) -> bool:
        return (
            self.waiting_since is not None
            and now - self.waiting_since >= limit_s
        )


class QuotaClient:
    """The tokens of this host, and the reports about them."""

    def __init__(self, name: str, bounds: QuotaBounds) -> None:
        """Create a client without tokens that knows no hosts."""
        self._name = name
        self._bounds = bounds
        self._hosts = QuotaHosts({})
        self._states: dict[str, _State] = {}
        self._contacts: dict[str, _Contact] = {}
        self._epochs = 0

    @property
    def hosts(self) -> QuotaHosts:
        """The hosts that share the quotas."""
        return self._hosts

    def replace_hosts(self, hosts: QuotaHosts) -> None:
        """Replace the hosts that share the quotas."""
        self._hosts = hosts
        for name in tuple(self._contacts):
            if name not in hosts:
                self._contacts.pop(name)

    def record_request(self, account: Account, now: float) -> None:
        """Record that a request has arrived; it is admitted or refused."""
        state = self._states.get(account.name)
        if state is None:
            state = _State(account, self._bounds.window_s)
            self._states[account.name] = state
        state.account = account
        state.requested_at = now
        state.demand.record_request(now)

    def admit(self, account: str, now: float) -> Admission | None:
        """Use a token that this host holds.

        None if there is none, or if earlier requests wait for it.
        """
        state = self._states[account]
        return self._take(state, len(state.waits), now)

    def _take(self, state: _State, before: int, now: float) -> Admission | None:
        """Use a token unless all are for the ``before`` earlier requests."""
        for lease in state.leases.values():
            lease.lapse(now)
        if sum(lease.held for lease in state.leases.values()) <= before:
            return None
        for grantor, lease in state.leases.items():
            if lease.try_take(now):
                state.demand.record_admitted(now)
                return Admission(state.account.name, grantor, now)
        return None

    def admit_without_contact(
        self, account: str, now: float
    ) -> Admission | None:
        """Use a part of the limit that no other host knows of."""
        state = self._states[account]
        if not state.fixed.try_take(self._fixed_share(state), now):
            return None
        state.demand.record_admitted(now)
        return Admission(account, '', now)

    def put_back(self, admission: Admission, now: float) -> None:
        """Return the token of a request that has not run."""
        state = self._states.get(admission.account)
        if state is None:
            return
        state.demand.withdraw_admitted(admission.admitted_at)
        if not admission.grantor:
            state.fixed.put_back(admission.admitted_at)
            return
        lease = state.leases.get(admission.grantor)
        if lease is not None:
            lease.put_back(now)

    def is_exhausted(self, account: str, now: float) -> bool:
        """Return whether the owner has just said that there is no token."""
        lease = self._leader_lease(account, now)
        return (
            lease is not None
            and now - lease.confirmed_at < REPORT_INTERVAL_S
            and now < lease.next_token_at
        )

    def retry_after_s(self, account: str, now: float) -> float:
        """Return when to send a request again that is refused now.

        Requests that this host refuses between two answers of the owner get
        the times of successive tokens.
        """
        lease = self._leader_lease(account, now)
        if lease is None or not lease.is_valid(now):
            return NO_CONTACT_RETRY_AFTER_S
        wait_s = max(0, lease.next_token_at - now)
        wait_s += lease.refused * lease.interval_s
        lease.refused += 1
        return min(wait_s, LONGEST_WAIT_S)

    def is_silent(self, grantor: str, now: float) -> bool:
        """Return whether a grantor has not answered for long."""
        contact = self._contacts.get(grantor)
        return contact is not None and contact.is_late(now, SILENT_S)

    def ask(self, account: str, now: float) -> list[tuple[str, UsageReport]]:
        """Return the questions for tokens to send now, by grantor.

        A deputy is asked too while the hosts before it do not answer.
        """
        state = self._states[account]
        if not state.unasked or now - state.asked_at < ASK_INTERVAL_S:
            return []
        state.unasked = False
        state.asked_at = now
        reports: list[tuple[str, UsageReport]] = []
        for grantor in self._hosts.grantors(account):
            reports.append((grantor, self._report(state, grantor, now)))
            contact = self._contacts[grantor]
            if not contact.is_late(now, LATE_S):
                break
        owner = self._leader_lease(account, now)
        state.asked_number = 0 if owner is None else owner.number
        return reports

    def start_wait(self, account: str, now: float) -> Wait:
        """Return the wait of a request, which :meth:`end_wait` ends."""
        state = self._states[account]
        wait = Wait(account, now)
        state.waits.append(wait)
        state.unasked = True
        return wait

    def end_wait(self, wait: Wait) -> None:
        """Record that a request no longer waits."""
        self._states[wait.account].waits.remove(wait)

    def poll(self, wait: Wait, now: float) -> Admission | OverQuota | None:
        """Return what becomes of a request that waits, None if it goes on.

        Without any answer in time, the host's part of the limit applies that
        needs no contact.
        """
        state = self._states[wait.account]
        admission = self._take(state, state.waits.index(wait), now)
        if admission is not None:
            return admission
        lease = self._leader_lease(wait.account, now)
        # Each question counts all requests that wait: while one is on its
        # way, its answer may have a token for any of them.
        counted = state.asked_at >= wait.started_at
        if counted and lease is not None:
            if lease.answered >= state.asked_number:
                return OverQuota(self.retry_after_s(wait.account, now))
        if now - wait.started_at < MAX_WAIT_S:
            return None
        admission = self.admit_without_contact(wait.account, now)
        if admission is not None:
            return admission
        return OverQuota(self.retry_after_s(wait.account, now))

    def receive(self, grantor: str, grant: TokenGrant, now: float) -> None:
        """Process the answer of a grantor."""
        contact = self._contacts.get(grantor)
        if contact is not None:
            contact.waiting_since = None
        state = self._states.get(grant.account)
        lease = None if state is None else state.leases.get(grantor)
        if lease is not None:
            lease.receive(grant, now)

    def due_reports(self, now: float) -> Iterator[tuple[str, UsageReport]]:
        """Yield the reports that are due, by grantor; forget idle accounts."""
        for account, state in tuple(self._states.items()):
            if now - state.requested_at > FORGET_S and not state.waits:
                self._states.pop(account)
                continue
            leader = self._leader(account, now)
            state.tidy(now)
            for grantor, lease in tuple(state.leases.items()):
                leads = grantor == leader
                if self._is_due(state, lease, now, leads=leads):
                    yield grantor, self._report(state, grantor, now)

    def _is_due(
        self, state: _State, lease: TokenLease, now: float, *, leads: bool
    ) -> bool:
        since_s = now - lease.last_sent_at
        if since_s < REPORT_INTERVAL_S:
            return False
        if lease.reported != lease.totals:
            return True
        if lease.held and since_s >= CONFIRM_INTERVAL_S:
            return True
        return leads and state.expected(now) > lease.held

    def _report(self, state: _State, grantor: str, now: float) -> UsageReport:
        lease = state.leases.get(grantor)
        if lease is None:
            self._epochs += 1
            lease = TokenLease(epoch=self._epochs)
            state.leases[grantor] = lease
        lease.record_sent(now)
        contact = self._contacts.setdefault(grantor, _Contact())
        if contact.waiting_since is None:
            contact.waiting_since = now
        account = state.account
        return UsageReport(
            account=account.name,
            rate=account.rate,
            burst=account.burst,
            number=lease.number,
            epoch=lease.epoch,
            used=lease.used,
            held=lease.held,
            received=lease.received,
            wanted=len(state.waits),
            expected=state.expected(now),
            recent=state.demand.recent(now),
        )

    def _leader(self, account: str, now: float) -> str:
        """Return the first grantor that is not silent; empty without one."""
        for grantor in self._hosts.grantors(account):
            if not self.is_silent(grantor, now):
                return grantor
        return ''

    def _leader_lease(self, account: str, now: float) -> TokenLease | None:
        state = self._states.get(account)
        if state is None:
            return None
        return state.leases.get(self._leader(account, now))

    def _fixed_share(self, state: _State) -> int:
        account = state.account
        plan = plan_quota(account.rate, account.burst, self._bounds)
        return self._hosts.fixed_share(
            account.name, self._name, plan.fixed_total
        )
