"""Exchanges the use of quotas with other hosts.

The decisions are those of :class:`QuotaClient` and :class:`QuotaLedger`; this
module sends and receives their messages.
"""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable, Iterable, Mapping

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.admission._quota_client import QuotaClient
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.admission._quota_messages import UsageReport
from oriolestage.admission._quota_states import (
    Admission,
    AwaitVerdict,
    OverQuota,
)
from oriolestage.entry._quota_links import QuotaLinks
from oriolestage.entry._quota_log import QuotaLog
from oriolestage.entry._quota_wire import (
    QuotaMessage,
    QuotaNotices,
    QuotaReports,
    QuotaVerdicts,
)
from oriolestage.routing._facts import HostRecord

#: Interval of looking for reports to repeat, in seconds, and of looking for
#: accounts with a limit while there are none.
REPORT_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 1.0
#: Interval of following changed hosts, in seconds: with 300 hosts, it takes
#: 0.2 ms.
FOLLOW_INTERVAL_S = 1.0
#: Time after a change of the hosts from which an earlier owner of an account
#: does not matter, in seconds: a window of the bound, and the time in which
#: all hosts learn of the change.
SETTLED_S = 6.5
#: Bits of the number of a process.
PROCESS_BITS = 48


class QuotaExchange:
    """The quotas of one host, with their messages."""

    def __init__(
        self,
        name: str,
        client: QuotaClient,
        ledger: QuotaLedger,
        accounts: Callable[[], AccountDirectory],
        records: Callable[[], Mapping[str, HostRecord]],
        region_of: Callable[[str], str],
        log: QuotaLog,
    ) -> None:
        """Create an exchange without streams.

        ``accounts`` returns the accounts in force, ``records`` the known hosts
        by name, and ``region_of`` the region of a data centre. A host stays
        known for a while after its registration has ended: it may only be cut
        off from the store, and hosts that are would see another owner.
        """
        self._name = name
        self._process = secrets.randbits(PROCESS_BITS)
        self._client = client
        self._ledger = ledger
        self._links = QuotaLinks(self.receive)
        self._accounts = accounts
        self._records = records
        self._region_of = region_of
        self._log = log
        self._addresses: dict[str, str] = {}
        #: Monotonic time since which the hosts are the same.
        self._hosts_since = time.monotonic()
        #: Set for a moment when verdicts arrive.
        self._answered = asyncio.Event()

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of events by kind."""
        return self._log.counts

    @property
    def book_count(self) -> int:
        """Number of accounts whose requests this host counts."""
        return len(self._ledger)

    @property
    def link_count(self) -> int:
        """Number of open streams to grantors."""
        return len(self._links)

    async def admit(self, account: Account) -> Admission | OverQuota:
        """Return whether a request of an account with a limit may run.

        It waits for a short time only while the host has admitted as many as
        it may before the owner of the account has counted them.
        """
        now = time.monotonic()
        outcome = self._client.admit(account, now)
        if isinstance(outcome, AwaitVerdict):
            self._log.count('waited')
            outcome = await self._wait(account, outcome.until)
        match outcome:
            case OverQuota(retry_after_s=retry_after_s):
                self._log.record_refused(
                    account.name, retry_after_s, time.monotonic()
                )
            case Admission(grantor=grantor):
                self._log.count('admitted' if grantor else 'fallback')
                self._report(account.name)
        return outcome

    def put_back(self, admission: Admission) -> None:
        """Return what a request was charged that has not run.

        The owner is told at once: it may have closed the account.
        """
        now = time.monotonic()
        self._log.count('returned')
        self._client.put_back(admission, now)
        account = admission.account
        self._send(self._client.take_reports(account, now, at_once=True))

    def answer(self, message: QuotaMessage) -> QuotaVerdicts | None:
        """Take a message of a host; return the answer, None for none."""
        match message:
            case QuotaNotices(notices=notices):
                for notice in notices:
                    self._client.close_account(notice, time.monotonic())
                return None
            case QuotaReports():
                verdicts = self._count(message)
                self._send_notices()
                return verdicts

    def _count(self, message: QuotaReports) -> QuotaVerdicts | None:
        """Count the reports of a host."""
        now = time.monotonic()
        settled = now - self._hosts_since >= SETTLED_S
        verdicts = []
        for report in message.reports:
            known = self._accounts().named(report.account)
            limit = (report.rate, report.burst)
            # The reporting host learns of a limit's removal later.
            if known is not None and known.rate > 0:
                limit = (known.rate, known.burst)
            grantors = self._client.hosts.grantors(report.account)
            verdict = self._ledger.answer(
                (message.host, message.process),
                report,
                limit,
                now,
                owns=grantors[:1] == (self._name,),
                settled=settled,
            )
            if verdict is not None:
                verdicts.append(verdict)
        if not verdicts:
            return None
        return QuotaVerdicts(self._name, tuple(verdicts))

    def receive(self, message: QuotaVerdicts) -> None:
        """Take the answers of a host, and wake the requests that wait."""
        now = time.monotonic()
        for verdict in message.verdicts:
            self._log.count('answers')
            self._client.receive(message.host, verdict, now)
        self._answered.set()
        self._answered.clear()

    async def run(self) -> None:
        """Repeat reports and follow the hosts, until cancelled."""
        followed_at = float('-inf')
        while True:
            now = time.monotonic()
            if now - followed_at >= FOLLOW_INTERVAL_S:
                self._follow_hosts(now)
                followed_at = now
            if not self._accounts().limited:
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            self._ledger.sweep(now)
            self._client.forget(now)
            self._log.record_silent(self._client.silent)
            self._log.forget(now)
            for account in self._client.accounts():
                self._send(self._client.take_reports(account, now))
            self._links.maintain(set())
            await asyncio.sleep(REPORT_INTERVAL_S)

    def close(self) -> None:
        """Close the streams."""
        self._links.close()

    async def _wait(
        self, account: Account, until: float
    ) -> Admission | OverQuota:
        """Wait until the grantor has counted earlier requests."""
        while True:
            now = time.monotonic()
            if now >= until:
                return self._client.admit_without_contact(account, now)
            self._send(
                self._client.take_reports(account.name, now, at_once=True)
            )
            outcome = self._client.admit(account, time.monotonic())
            if not isinstance(outcome, AwaitVerdict):
                return outcome
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until - now):
                    await self._answered.wait()

    def _send_notices(self) -> None:
        """Tell all hosts which accounts are closed."""
        notices = self._ledger.take_notices()
        if not notices:
            return
        message = QuotaNotices(notices)
        for name, address in self._addresses.items():
            if name == self._name:
                self.answer(message)
                continue
            self._log.count('messages')
            self._links.send(address, message)

    def _report(self, account: str) -> None:
        """Report about an account now, or as soon as a report is due."""
        now = time.monotonic()
        due_at = self._client.report_due_at(account, now)
        if due_at <= now:
            self._send(self._client.take_reports(account, now))
        elif due_at < float('inf'):
            loop = asyncio.get_running_loop()
            loop.call_later(due_at - now, self._report, account)

    def _follow_hosts(self, now: float) -> None:
        """Tell the decisions of changed hosts."""
        records = self._records()
        self._addresses = {
            name: record.peer_address for name, record in records.items()
        }
        regions = {
            name: self._region_of(record.data_centre)
            for name, record in records.items()
        }
        if not self._client.hosts.has_regions(regions):
            self._client.replace_hosts(QuotaHosts(regions))
            self._hosts_since = now

    def _send(self, due: Iterable[tuple[str, UsageReport]]) -> None:
        """Send reports, one message to each grantor."""
        by_grantor: dict[str, list[UsageReport]] = {}
        for grantor, report in due:
            by_grantor.setdefault(grantor, []).append(report)
        for grantor, reports in by_grantor.items():
            message = QuotaReports(self._name, self._process, tuple(reports))
            if grantor == self._name:
                verdicts = self.answer(message)
                if verdicts is not None:
                    self.receive(verdicts)
                continue
            address = self._addresses.get(grantor)
            if address is not None:
                self._log.count('messages')
                self._links.send(address, message)
