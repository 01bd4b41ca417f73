"""Replays the quotas of a fleet in virtual time, with a delay of messages.

Every host has the decisions of the product; the replay delivers their
messages, lets requests arrive and records what was admitted.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_client import (
    Admission,
    OverQuota,
    QuotaClient,
    Wait,
)
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_messages import UsageReport
from oriolestage.admission._quota_owner import QuotaOwner

#: Time that a message takes from one host to another, in seconds.
DELAY_S = 0.02
TICK_S = 0.1
POLL_S = 0.01
REGIONS = ('region-a', 'region-b', 'region-c')
#: Longest time after which a host learns of a change in the store.
LARGEST_LAG_S = 1.3
#: Time between the renewals of a lease, and its length.
RENEWAL_S = 2.5
LEASE_S = 8.0
#: Start of the load: the hosts have known one another for long.
LOAD_START_S = 10.0


@dataclasses.dataclass(slots=True)
class SimulatedHost:
    """One host with its client, its books and what it knows."""

    name: str
    process: int
    client: QuotaClient
    owner: QuotaOwner
    alive: bool = True
    paused_until: float = 0
    #: Number of the change of the hosts that it knows.
    version: int = 0
    #: Time until which no other host can take its place.
    owns_until: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A request that was admitted or refused."""

    time: float
    account: str
    host: str
    admitted: bool
    retry_after_s: float


class QuotaReplay:
    """A fleet whose time passes event by event."""

    def __init__(
        self, hosts: int, accounts: Sequence[Account], seed: int = 0
    ) -> None:
        """Create hosts in three regions that know one another."""
        self.random = random.Random(seed)
        self.bounds = QuotaBounds()
        self.accounts = {account.name: account for account in accounts}
        self.now: float = 0
        self.ended: list[Ended] = []
        self.messages = 0
        #: Returns whether a message between two hosts arrives.
        self.is_linked: Callable[[str, str], bool] = _always
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._processes = itertools.count(1)
        self._version = 0
        self.hosts: dict[str, SimulatedHost] = {}
        self.regions = {
            f'host-{number}': REGIONS[number % len(REGIONS)]
            for number in range(hosts)
        }
        for name in self.regions:
            self.start_host(name)
            self.hosts[name].owner.replace_hosts(QuotaHosts(self.regions), -100)
            self.hosts[name].client.replace_hosts(QuotaHosts(self.regions))

    def start_host(self, name: str) -> None:
        """Start a process of a host that knows no other one."""
        host = SimulatedHost(
            name,
            next(self._processes),
            QuotaClient(name, self.bounds),
            QuotaOwner(
                name,
                self.bounds,
                lambda now: now < host.owns_until,
                lambda event, fields: None,
                self.now if self.now else -100,
            ),
        )
        self.hosts[name] = host
        phase = self.random.uniform(0, TICK_S)
        self.at(self.now + phase, lambda: self._tick(host))

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def load(
        self,
        account: str,
        rate: float,
        hosts: Sequence[str],
        start: float,
        end: float,
        *,
        shaped: bool = False,
    ) -> None:
        """Let requests arrive at random times and hosts.

        If ``shaped``, only those that a single token bucket would admit.
        """
        limit = self.accounts[account]
        when = start + self.random.expovariate(rate)
        level = limit.burst
        refilled_at = start
        while when < end:
            level += (when - refilled_at) * limit.rate
            level = min(level, max(1, limit.burst))
            refilled_at = when
            if level >= 1 or not shaped:
                level -= 1
                host = self.random.choice(hosts)
                self._arrive_at(when, account, host)
            when += self.random.expovariate(rate)

    def kill(self, name: str) -> None:
        """End a process; other hosts learn of it when its lease ends."""
        self.hosts[name].alive = False
        remaining = {
            other: region
            for other, region in self.regions.items()
            if other != name
        }
        lease_s = LEASE_S - self.random.uniform(0, RENEWAL_S)
        self.change_hosts(remaining, self.now + lease_s)

    def change_hosts(self, regions: dict[str, str], when: float) -> None:
        """Change the hosts in the store; each host learns of it late."""
        self.regions = regions
        self._version += 1
        for host in tuple(self.hosts.values()):
            lag_s = self.random.uniform(0, LARGEST_LAG_S)
            learn = functools.partial(self.learn, host, regions, self._version)
            self.at(when + lag_s, learn)

    def admitted_times(self, account: str) -> list[float]:
        """Return when requests of an account were admitted, in order."""
        return sorted(
            one.time
            for one in self.ended
            if one.account == account and one.admitted
        )

    def largest_excess(self, account: str) -> float:
        """Return by how much the fullest window exceeds the bound."""
        times = self.admitted_times(account)
        limit = self.accounts[account]
        bound = limit.rate * self.bounds.window_s + limit.burst
        bound = bound * (1 + self.bounds.overage) + self.bounds.slack
        first = 0
        largest = 0
        for last, when in enumerate(times):
            while when - times[first] > self.bounds.window_s:
                first += 1
            largest = max(largest, last - first + 1)
        return largest - bound

    def refused_within_limit(
        self, account: str, start: float = 0, end: float = float('inf')
    ) -> int:
        """Return how many requests a single token bucket would have admitted.

        Of those that arrived between two times and were refused.
        """
        limit = self.accounts[account]
        level = max(1, limit.burst)
        refilled_at: float = 0
        wrongly = 0
        for one in sorted(self.ended, key=lambda ended: ended.time):
            if one.account != account:
                continue
            level += (one.time - refilled_at) * limit.rate
            level = min(level, max(1, limit.burst))
            refilled_at = one.time
            conforming = level >= 1
            level -= conforming
            if conforming and not one.admitted and start <= one.time < end:
                wrongly += 1
        return wrongly

    def count(
        self, account: str, start: float, end: float, *, admitted: bool
    ) -> int:
        """Return how many requests ended in one way between two times."""
        return sum(
            1
            for one in self.ended
            if one.account == account
            and start <= one.time < end
            and one.admitted == admitted
        )

    def _arrive_at(self, when: float, account: str, host: str) -> None:
        self.at(when, lambda: self._arrive(account, self.hosts[host]))

    def _arrive(self, account: str, host: SimulatedHost) -> None:
        if not host.alive:
            return
        if self._postpone(host, lambda: self._arrive(account, host)):
            return
        client = host.client
        client.record_request(self.accounts[account], self.now)
        admission = client.admit(account, self.now)
        if admission:
            self._end(account, host, admission)
        elif client.is_exhausted(account, self.now):
            refusal = OverQuota(client.retry_after_s(account, self.now))
            self._end(account, host, refusal)
        else:
            self._poll(host, client.start_wait(account, self.now))

    def _poll(self, host: SimulatedHost, wait: Wait) -> None:
        if not host.alive:
            return
        if self._postpone(host, lambda: self._poll(host, wait)):
            return
        self._send_all(host, host.client.ask(wait.account, self.now))
        outcome = host.client.poll(wait, self.now)
        if outcome:
            host.client.end_wait(wait)
            self._end(wait.account, host, outcome)
            return
        self.at(self.now + POLL_S, lambda: self._poll(host, wait))

    def _end(
        self, account: str, host: SimulatedHost, outcome: Admission | OverQuota
    ) -> None:
        admitted = isinstance(outcome, Admission)
        retry_s: float = 0
        if isinstance(outcome, OverQuota):
            retry_s = outcome.retry_after_s
        self.ended.append(
            Ended(self.now, account, host.name, admitted, retry_s)
        )

    def _tick(self, host: SimulatedHost) -> None:
        if not host.alive:
            return
        if self._postpone(host, lambda: self._tick(host)):
            return
        host.owner.sweep(self.now)
        for account in self.accounts:
            host.owner.prepare(account, self.now)
        self._claim(host, at_once=False)
        self._send_all(host, list(host.client.due_reports(self.now)))
        self.at(self.now + TICK_S, lambda: self._tick(host))

    def _send_all(
        self, host: SimulatedHost, reports: list[tuple[str, UsageReport]]
    ) -> None:
        for grantor, report in reports:
            if grantor == host.name:
                self._answer(host, host, report)
                continue
            self.messages += 1
            other = self.hosts[grantor]
            if self.is_linked(host.name, grantor):
                answer = functools.partial(self._answer, host, other, report)
                self._deliver(host, other, answer)

    def _claim(self, host: SimulatedHost, *, at_once: bool) -> None:
        claims = host.owner.votes.claims(self.now, at_once=at_once)
        for name, (number, accounts) in claims.items():
            self.messages += 1
            other = self.hosts[name]
            vote = functools.partial(self._vote, host, other, number, accounts)
            if self.is_linked(host.name, name):
                self._deliver(host, other, vote)

    def _vote(
        self,
        claimant: SimulatedHost,
        voter: SimulatedHost,
        number: int,
        accounts: tuple[str, ...],
    ) -> None:
        granted, settled = voter.owner.votes.vote(
            claimant.name, accounts, self.now
        )
        receive = functools.partial(
            claimant.owner.votes.receive, number, granted, settled
        )
        self.messages += 1
        if self.is_linked(voter.name, claimant.name):
            self._deliver(voter, claimant, receive)

    def _answer(
        self, host: SimulatedHost, grantor: SimulatedHost, report: UsageReport
    ) -> None:
        key = (host.name, host.process)
        account = self.accounts.get(report.account)
        grant = grantor.owner.answer(key, report, account, self.now)
        if grantor.owner.wants_votes:
            grantor.owner.wants_votes = False
            self._claim(grantor, at_once=True)
        if grant is None:
            return
        if host is grantor:
            host.client.receive(grantor.name, grant, self.now)
        elif self.is_linked(grantor.name, host.name):
            self.messages += 1
            self._deliver(
                grantor,
                host,
                lambda: host.client.receive(grantor.name, grant, self.now),
            )

    def _deliver(
        self,
        sender: SimulatedHost,
        receiver: SimulatedHost,
        action: Callable[[], None],
    ) -> None:
        def arrive() -> None:
            if not receiver.alive or self.hosts[receiver.name] is not receiver:
                return
            if not self.is_linked(sender.name, receiver.name):
                return
            if not self._postpone(receiver, arrive):
                action()

        self.at(self.now + DELAY_S, arrive)

    def _postpone(
        self, host: SimulatedHost, action: Callable[[], None]
    ) -> bool:
        """Let a paused host act later; return whether it is paused."""
        if self.now >= host.paused_until:
            return False
        self.at(host.paused_until, action)
        return True

    def learn(
        self, host: SimulatedHost, regions: dict[str, str], version: int = 0
    ) -> None:
        """Let a host know other hosts, unless it knows of a later change."""
        if version < host.version:
            return
        host.version = version
        hosts = QuotaHosts(regions)
        host.client.replace_hosts(hosts)
        host.owner.replace_hosts(hosts, self.now)


def _always(sender: str, receiver: str) -> bool:
    return True
