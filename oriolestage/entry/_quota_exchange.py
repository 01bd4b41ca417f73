"""Exchanges reports and tokens of quotas with other hosts.

The decisions are those of :class:`QuotaClient` and :class:`QuotaOwner`; this
module sends and receives their messages.
"""

import asyncio
import contextlib
import itertools
import secrets
import time
from collections.abc import Callable, Iterable, Mapping

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.admission._quota_client import (
    Admission,
    OverQuota,
    QuotaClient,
)
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_messages import UsageReport
from oriolestage.admission._quota_owner import QuotaOwner
from oriolestage.entry._quota_links import QuotaLinks
from oriolestage.entry._quota_log import QuotaLog
from oriolestage.entry._quota_wire import (
    QuotaAnswer,
    QuotaClaims,
    QuotaGrants,
    QuotaQuestion,
    QuotaReports,
    QuotaVotesGiven,
)
from oriolestage.routing._facts import HostRecord

#: Interval of looking for reports that are due, in seconds.
REPORT_INTERVAL_S = 0.1
#: Interval at which a request that waits looks for a token and may ask again,
#: in seconds. It looks at once when tokens arrive.
POLL_INTERVAL_S = 0.01
#: Intervals between the checks of the streams to grantors.
LINK_CHECK_INTERVALS = 10
#: Accounts whose grantors are computed in one interval: with 300 hosts, one
#: takes about 0.1 ms.
RANKED_PER_INTERVAL = 8
#: Accounts to whose grantors streams are kept open in advance.
MAX_PREPARED_ACCOUNTS = 256
#: Grantors of an account to which streams are kept open in advance.
PREPARED_GRANTORS = 2
#: Bits of the number of a process.
PROCESS_BITS = 48


class QuotaExchange:
    """The quotas of one host, with their messages."""

    def __init__(
        self,
        name: str,
        client: QuotaClient,
        owner: QuotaOwner,
        accounts: Callable[[], AccountDirectory],
        records: Callable[[float], Mapping[str, HostRecord]],
        region_of: Callable[[str], str],
        log: QuotaLog,
    ) -> None:
        """Create an exchange without streams.

        ``accounts`` returns the accounts in force, ``records`` the registered
        hosts at a time by name, and ``region_of`` the region of a data centre.
        """
        self._name = name
        self._process = secrets.randbits(PROCESS_BITS)
        self._client = client
        self._owner = owner
        self._links = QuotaLinks(self.receive)
        self._accounts = accounts
        self._records = records
        self._region_of = region_of
        self._log = log
        self._addresses: dict[str, str] = {}
        #: Set for a moment when tokens arrive.
        self._granted = asyncio.Event()

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of events by kind."""
        return self._log.counts

    @property
    def led_count(self) -> int:
        """Number of accounts whose limit this host grants."""
        return self._owner.votes.led_count(time.monotonic())

    @property
    def link_count(self) -> int:
        """Number of open streams to grantors."""
        return len(self._links)

    async def admit(self, account: Account) -> Admission | OverQuota:
        """Return whether a request of an account with a limit may run.

        Waits for a short time if this host has no token.
        """
        now = time.monotonic()
        self._client.record_request(account, now)
        outcome: Admission | OverQuota | None
        outcome = self._client.admit(account.name, now)
        if outcome is None:
            if self._client.is_exhausted(account.name, now):
                retry_after_s = self._client.retry_after_s(account.name, now)
                outcome = OverQuota(retry_after_s)
            else:
                self._log.count('waited')
                outcome = await self._wait(account.name)
        match outcome:
            case OverQuota(retry_after_s=retry_after_s):
                self._log.record_refused(
                    account.name, retry_after_s, time.monotonic()
                )
            case Admission(grantor=grantor):
                self._log.count('admitted' if grantor else 'fallback')
        return outcome

    def put_back(self, admission: Admission) -> None:
        """Return the token of a request that has not run."""
        self._log.count('returned')
        self._client.put_back(admission, time.monotonic())

    def answer(self, message: QuotaQuestion) -> QuotaAnswer | None:
        """Return the answer to a question of a host; None for no answer."""
        match message:
            case QuotaReports():
                return self._answer_reports(message)
            case QuotaClaims(host=host, number=number, accounts=accounts):
                granted, settled = self._owner.votes.vote(
                    host, accounts, time.monotonic()
                )
                return QuotaVotesGiven(self._name, number, granted, settled)

    def _answer_reports(self, message: QuotaReports) -> QuotaGrants | None:
        """Return the tokens for the reports of a host."""
        now = time.monotonic()
        accounts = self._accounts()
        grants = [
            self._owner.answer(
                (message.host, message.process),
                report,
                accounts.named(report.account),
                now,
            )
            for report in message.reports
        ]
        if self._owner.wants_votes:
            self._owner.wants_votes = False
            self._claim(now, at_once=True)
        answered = tuple(grant for grant in grants if grant is not None)
        return QuotaGrants(self._name, answered) if answered else None

    def receive(self, message: QuotaAnswer) -> None:
        """Take the tokens or votes in the answer of a host."""
        match message:
            case QuotaVotesGiven(
                number=number, granted=granted, settled=settled
            ):
                self._owner.votes.receive(number, granted, settled)
            case QuotaGrants():
                self._receive_grants(message)

    def _receive_grants(self, message: QuotaGrants) -> None:
        """Take the tokens of a host, and wake the requests that wait."""
        now = time.monotonic()
        for grant in message.grants:
            self._log.count('answers')
            self._client.receive(message.host, grant, now)
        self._granted.set()
        self._granted.clear()

    async def run(self) -> None:
        """Send the reports that are due, until cancelled."""
        for turn in itertools.count():
            now = time.monotonic()
            accounts = self._accounts()
            # Also without accounts: an owner that has long been one need not
            # find out what was used before.
            self._follow_hosts(now)
            if accounts.limited:
                self._send(self._client.due_reports(now))
                self._owner.sweep(now)
                self._claim(now, at_once=False)
                self._log.record_silent(
                    frozenset(
                        name
                        for name in self._addresses
                        if self._client.is_silent(name, now)
                    )
                )
                self._log.forget(now)
                self._prepare(accounts.limited, now)
                if turn % LINK_CHECK_INTERVALS == 0:
                    self._links.maintain(self._wanted(accounts.limited))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def close(self) -> None:
        """Close the streams."""
        self._links.close()

    async def _wait(self, account: str) -> Admission | OverQuota:
        wait = self._client.start_wait(account, time.monotonic())
        try:
            while True:
                now = time.monotonic()
                self._send(self._client.ask(account, now))
                outcome = self._client.poll(wait, now)
                if outcome is not None:
                    return outcome
                await self._wait_for_tokens()
        finally:
            self._client.end_wait(wait)

    async def _wait_for_tokens(self) -> None:
        """Wait until some tokens arrive or it is time to look again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_INTERVAL_S):
                await self._granted.wait()

    def _follow_hosts(self, now: float) -> None:
        """Tell the decisions of changed hosts."""
        records = self._records(now)
        self._addresses = {
            name: record.peer_address for name, record in records.items()
        }
        regions = {
            name: self._region_of(record.data_centre)
            for name, record in records.items()
        }
        if self._client.hosts.has_regions(regions):
            return
        hosts = QuotaHosts(regions)
        self._client.replace_hosts(hosts)
        self._owner.replace_hosts(hosts, now)

    def _send(self, due: Iterable[tuple[str, UsageReport]]) -> None:
        """Send reports, one message to each grantor."""
        by_grantor: dict[str, list[UsageReport]] = {}
        for grantor, report in due:
            by_grantor.setdefault(grantor, []).append(report)
        for grantor, reports in by_grantor.items():
            message = QuotaReports(self._name, self._process, tuple(reports))
            if grantor == self._name:
                grants = self._answer_reports(message)
                if grants is not None:
                    self._receive_grants(grants)
                continue
            self._send_to(grantor, message)

    def _claim(self, now: float, *, at_once: bool) -> None:
        """Ask for the votes that are due."""
        claims = self._owner.votes.claims(now, at_once=at_once)
        for other, (number, accounts) in claims.items():
            self._send_to(other, QuotaClaims(self._name, number, accounts))

    def _send_to(self, name: str, message: QuotaQuestion) -> None:
        address = self._addresses.get(name)
        if address is not None:
            self._log.count('messages')
            self._links.send(address, message)

    def _prepare(self, limited: tuple[Account, ...], now: float) -> None:
        """Be ready for the accounts that this host owns.

        Compute the grantors of a few accounts in advance.
        """
        hosts = self._client.hosts
        left = RANKED_PER_INTERVAL
        for account in limited[:MAX_PREPARED_ACCOUNTS]:
            left -= not hosts.knows_grantors(account.name)
            if left >= 0:
                self._owner.prepare(account.name, now)

    def _wanted(self, limited: tuple[Account, ...]) -> set[str]:
        """Return the addresses of grantors that may be asked soon."""
        hosts = self._client.hosts
        names = {
            grantor
            for account in limited[:MAX_PREPARED_ACCOUNTS]
            if hosts.knows_grantors(account.name)
            for grantor in hosts.grantors(account.name)[:PREPARED_GRANTORS]
        }
        names.discard(self._name)
        return {
            self._addresses[name] for name in names if name in self._addresses
        }
