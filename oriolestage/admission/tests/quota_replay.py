"""Replays the requests of one account at a fleet of hosts, without I/O."""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_client import QuotaClient
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.admission._quota_messages import UsageReport, UsageVerdict
from oriolestage.admission._quota_states import (
    Admission,
    AwaitVerdict,
    OverQuota,
)

#: Time that a message takes one way, in seconds: between regions.
DELAY_S = 0.02
#: Interval at which hosts repeat their reports, in seconds.
REPEAT_S = 0.1
#: Time for which the hosts have known one another, in seconds.
KNOWN_FOR_S = 100.0
BOUNDS = QuotaBounds()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives at a host."""

    at: float
    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """What goes wrong, and when."""

    #: Time from which all messages are lost.
    cut_at: float = float('inf')
    #: Time at which the owner of the account is killed, and the time after
    #: which the other hosts know another owner.
    owner_killed_at: float = float('inf')
    known_after_s: float = 8.0


NO_FAILURE = Failure()


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of the requests."""

    admitted_at: list[float] = dataclasses.field(default_factory=list)
    refused_at: list[float] = dataclasses.field(default_factory=list)
    waited: int = 0

    def most_in_window(self) -> int:
        """Return the most requests that were admitted in any window."""
        most = 0
        first = 0
        for last, at in enumerate(self.admitted_at):
            while self.admitted_at[first] <= at - BOUNDS.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


class QuotaReplay:
    """Hosts that exchange reports and verdicts with a delay."""

    def __init__(
        self, hosts: int, account: Account, failure: Failure = NO_FAILURE
    ) -> None:
        """Create hosts that have long known one another."""
        self.names = tuple(f'host-{number}' for number in range(hosts))
        self.account = account
        self.outcome = Outcome()
        self._failure = failure
        self._clients = {name: QuotaClient(name, BOUNDS) for name in self.names}
        self._ledgers = {name: QuotaLedger(BOUNDS) for name in self.names}
        self._dead: set[str] = set()
        self._settled_at = float('-inf')
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._follow(self.names)

    @property
    def owner(self) -> str:
        """Name of the owner of the account."""
        return self._hosts.grantors(self.account.name)[0]

    def run(self, arrivals: Iterable[Arrival], until: float) -> Outcome:
        """Replay arrivals up to a time."""
        for arrival in arrivals:
            arrive = functools.partial(self._arrive, self.names[arrival.host])
            self._at(arrival.at, arrive)
        for step in range(int(until / REPEAT_S)):
            self._at(step * REPEAT_S, self._repeat)
        self._at(self._failure.owner_killed_at, self._kill_owner)
        while self._events and self._events[0][0] <= until:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.outcome

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _follow(self, names: Iterable[str]) -> None:
        self._hosts = QuotaHosts({name: 'region-a' for name in names})
        for client in self._clients.values():
            client.replace_hosts(self._hosts)

    def _kill_owner(self, now: float) -> None:
        owner = self.owner
        self._dead.add(owner)
        known_at = now + self._failure.known_after_s
        others = tuple(name for name in self.names if name != owner)

        def follow(then: float) -> None:
            self._settled_at = then + BOUNDS.window_s
            self._follow(others)

        self._at(known_at, follow)

    def _arrive(self, name: str, now: float) -> None:
        if name not in self._dead:
            self._decide(name, now, float('inf'))

    def _decide(self, name: str, now: float, until: float) -> None:
        client = self._clients[name]
        outcome = client.admit(self.account, now)
        if isinstance(outcome, AwaitVerdict):
            if now >= until:
                outcome = client.admit_without_contact(self.account, now)
            else:
                if until == float('inf'):
                    self.outcome.waited += 1
                    until = outcome.until
                self._send(name, now, at_once=True)
                again = min(until, now + DELAY_S / 4)
                self._at(again, lambda then: self._decide(name, then, until))
                return
        match outcome:
            case Admission():
                self.outcome.admitted_at.append(now)
                self._send(name, now)
                due_at = client.report_due_at(self.account.name, now)
                if due_at < float('inf'):
                    self._at(due_at, lambda then: self._send(name, then))
            case OverQuota():
                self.outcome.refused_at.append(now)

    def _repeat(self, now: float) -> None:
        for name in self.names:
            self._send(name, now)

    def _send(self, name: str, now: float, *, at_once: bool = False) -> None:
        if name in self._dead:
            return
        reports = self._clients[name].take_reports(
            self.account.name, now, at_once=at_once
        )
        for grantor, report in reports:
            count = functools.partial(self._count, name, grantor, report)
            self._deliver(name, grantor, now, count)

    def _count(
        self, name: str, grantor: str, report: UsageReport, now: float
    ) -> None:
        verdict = self._ledgers[grantor].answer(
            (name, 1),
            report,
            (report.rate, report.burst),
            now,
            owns=self.owner == grantor,
            settled=now >= self._settled_at,
        )
        for notice in self._ledgers[grantor].take_notices():
            for other, client in self._clients.items():
                close = functools.partial(client.close_account, notice)
                self._deliver(grantor, other, now, close)
        if verdict is not None:
            answer: UsageVerdict = verdict
            self._deliver(
                grantor,
                name,
                now,
                lambda then: self._clients[name].receive(grantor, answer, then),
            )

    def _deliver(
        self,
        sender: str,
        receiver: str,
        now: float,
        action: Callable[[float], None],
    ) -> None:
        if sender == receiver:
            action(now)
            return
        lost = now >= self._failure.cut_at or receiver in self._dead
        if not lost:
            self._at(now + DELAY_S, action)


def make_arrivals(
    rate: float, hosts: Iterable[int], until: float, seed: int
) -> list[Arrival]:
    """Return arrivals at a mean rate, spread over hosts at random."""
    rng = random.Random(seed)
    places = tuple(hosts)
    arrivals: list[Arrival] = []
    now = rng.expovariate(rate)
    while now < until:
        arrivals.append(Arrival(now, rng.choice(places)))
        now += rng.expovariate(rate)
    return arrivals
