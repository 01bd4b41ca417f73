"""A host and the owner of an account, with messages that take no time."""

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_client import QuotaClient
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.admission._quota_states import (
    Admission,
    AwaitVerdict,
    OverQuota,
)

HOST = 'a'
PROCESS = 17
#: Time between two rounds of maintenance, in seconds.
ROUND_S = 0.1


class ClientWithLedger:
    """One host that owns the account whose requests it gets."""

    def __init__(self, account: Account, bounds: QuotaBounds) -> None:
        """Start at the time 1000 without requests."""
        self.client = QuotaClient(HOST, bounds)
        self.client.replace_hosts(QuotaHosts({HOST: 'r1'}))
        self.ledger = QuotaLedger(bounds)
        self.now: float = 1000
        #: Whether the owner has been the same for long, and is reached.
        self.settled = True
        self.reached = True
        self._account = account

    def send_steadily(
        self, seconds: float, per_s: float
    ) -> list[Admission | OverQuota]:
        """Send requests at a steady rate; return what became of each."""
        outcomes = []
        for _ in range(round(seconds * per_s)):
            outcomes.append(self._send())
            self._pass_time(1 / per_s)
        return outcomes

    def idle(self, seconds: float) -> None:
        """Let time pass without requests."""
        for _ in range(round(seconds / ROUND_S)):
            self._pass_time(ROUND_S)

    def _send(self) -> Admission | OverQuota:
        outcome = self.client.admit(self._account, self.now)
        if isinstance(outcome, AwaitVerdict):
            self._exchange(at_once=True)
            outcome = self.client.admit(self._account, self.now)
        if isinstance(outcome, AwaitVerdict):
            outcome = self.client.admit_without_contact(self._account, self.now)
        return outcome

    def _pass_time(self, seconds: float) -> None:
        self.now += seconds
        self._exchange(at_once=False)
        self.client.forget(self.now)
        self.ledger.sweep(self.now)

    def _exchange(self, *, at_once: bool) -> None:
        account = self._account
        for grantor, report in self.client.take_reports(
            account.name, self.now, at_once=at_once
        ):
            if not self.reached:
                continue
            verdict = self.ledger.answer(
                (HOST, PROCESS),
                report,
                (account.rate, account.burst),
                self.now,
                owns=True,
                settled=self.settled,
            )
            if verdict is not None:
                self.client.receive(grantor, verdict, self.now)
