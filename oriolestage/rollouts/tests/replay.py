"""A seeded replay of roll-outs over virtual time, with hosts and a store.

Hosts learn of changes late, as watches do; the store can be away and a host
can be cut off from it or end.
"""

import dataclasses
import random
from collections import deque
from collections.abc import Callable

from oriolestage.rollouts._book import RolloutBook
from oriolestage.rollouts._bounds import RolloutBounds
from oriolestage.rollouts._decisions import DeciderInputs, RolloutDecider
from oriolestage.rollouts._evidence import AttemptEnd, OwnEvidence
from oriolestage.rollouts._orders import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts._reports import RolloutReports
from oriolestage.rollouts._schedule import Schedule
from oriolestage.routing._facts import (
    EvidenceStored,
    OrderStored,
    StatusStored,
    StoredFact,
    TargetStored,
)
from oriolestage.routing._rollout_facts import RolloutFact
from oriolestage.routing._targets import TargetRecord

SERVICE = 'search'
OLD = 'v1'
NEW = 'v2'
BOUNDS = RolloutBounds()
#: Time at which the order is written, in seconds.
ORDERED_AT = 20.0
STEP_S = 0.05
#: Longest watch without changes, in seconds.
WATCH_S = 3.6
#: Range of the pause after changes, in seconds.
PAUSES_S = (0.3, 1.2)
REPORT_INTERVAL_S = 0.5
#: Typical processing time, in seconds.
WORK_S = 0.012
ROUTES = ('search', 'detail')
#: Share of the requests that are for the first route.
FIRST_ROUTE_SHARE = 0.7
#: Time after the deadline up to which is replayed, in seconds.
AFTER_S = 2.0


def good(load: float, since_s: float, route: str) -> float:
    """Return the rate of bad responses of a good version."""
    return 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hosts, requests and faults of one replay."""

    hosts: int = 6
    #: Requests per second of all hosts.
    rate: float = 10
    duration_s: float = 12
    #: Rate of bad responses of the new version, from the share of the
    #: requests that it gets, the time since the order and the route.
    badness: Callable[[float, float, str], float] = good
    #: True if a bad response is slow instead of failed.
    slow: bool = False
    #: Times after the order between which the store is away.
    store_away: tuple[float, float] = (0, 0)
    #: Time after the order from which the first host is cut off from it.
    cut_off_from: float = float('inf')
    #: True if each host ends right after its first write of a status.
    writers_end: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """What happened in a replay."""

    state: RolloutState | None = None
    #: Time from the order to the end, in seconds.
    ended_s: float = float('inf')
    #: Requests between the order and its deadline.
    requests: int = 0
    #: Those that the new version got.
    exposed: int = 0
    #: Requests to the new version later than the bound after its 50th bad
    #: response.
    late: int = 0
    #: Requests to the old version after the fleet has followed the end.
    in_old: int = 0

    @property
    def budget(self) -> float:
        """Requests that a bad version may get."""
        return BOUNDS.canary_share * self.requests + BOUNDS.canary_slack


class ReplayedStore:
    """The facts about one service, with revisions."""

    def __init__(self) -> None:
        """Create a store with one target of each version."""
        self.away = False
        self.log: list[StoredFact] = []
        self.status: RolloutStatus | None = None

    def put(self, fact: StoredFact) -> None:
        """Append a change."""
        self.log.append(fact)

    def write_status(self, status: RolloutStatus) -> bool:
        """Write a status if it still has its revision."""
        known = 0 if self.status is None else self.status.revision
        if known != status.revision:
            return False
        self.status = dataclasses.replace(status, revision=len(self.log) + 1)
        self.put(StatusStored(self.status))
        return True


class ReplayedHost:
    """One host with its copy of the store."""

    def __init__(self, name: str, names: tuple[str, ...], seed: int) -> None:
        """Create a host that has read the registrations."""
        self.name = name
        self.draws = random.Random(f'{seed}-{name}')
        self.now: float = 0
        schedule = Schedule(BOUNDS)
        self.book = RolloutBook(
            schedule,
            OwnEvidence(name, name),
            lambda: self.now - self._read_at,
            random.Random(f'draw-{seed}-{name}'),
        )
        self.decider = RolloutDecider(
            self.book,
            schedule,
            DeciderInputs(name, lambda: names, lambda service, version: True),
        )
        self.ended = False
        self._reports = RolloutReports(self.book)
        self._position = 0
        self._read_at: float = 0
        self._ready_at = self.draws.uniform(0, WATCH_S)
        self._report_at = self.draws.uniform(0, REPORT_INTERVAL_S)

    def start(self, facts: list[StoredFact]) -> None:
        """Read the store for the first time."""
        self.book.replace_all(facts, self.now)
        self._position = len(facts)

    def follow(self, store: ReplayedStore) -> None:
        """Read changes of the store if the watch returns now."""
        changes = store.log[self._position :]
        if self.now < self._ready_at or not (
            changes or self.now - self._read_at >= WATCH_S
        ):
            return
        self._position = len(store.log)
        self._read_at = self.now
        for fact in changes:
            if isinstance(fact, RolloutFact):
                self.book.apply(fact, self.now)
        self._ready_at = self.now + self.draws.uniform(*PAUSES_S)

    def write(self, store: ReplayedStore) -> bool:
        """Write what is due; return whether a status was written."""
        written = False
        for status in self.decider.due_statuses(self.now):
            done = store.write_status(status)
            quiet_s = 3 if done else 0.5
            self.decider.record_write(SERVICE, self.now + quiet_s)
            written = written or done
        if self.now >= self._report_at:
            self._report_at = self.now + REPORT_INTERVAL_S
            reports = self._reports.due(self.now, 32)
            for report in reports:
                store.put(EvidenceStored(report))
            self._reports.record_written(reports, self.now)
        return written


class Replay:
    """Replays one order."""

    def __init__(self, load: Load, seed: int) -> None:
        """Create the hosts, all registrations read."""
        self.load = load
        self.outcome = Outcome()
        self._random = random.Random(seed)
        self._store = ReplayedStore()
        self._bad_times: list[float] = []
        self._recent: deque[tuple[float, bool]] = deque()
        for version in (OLD, OLD):
            self._store.put(TargetStored(_target(version)))
        names = tuple(f'host-{number}' for number in range(load.hosts))
        self.hosts = [ReplayedHost(name, names, seed) for name in names]
        for host in self.hosts:
            host.start(self._store.log)
        self._store.put(TargetStored(_target(NEW)))

    def run(self) -> Outcome:
        """Replay until some time after the deadline."""
        load = self.load
        end_at = ORDERED_AT + load.duration_s + AFTER_S
        steps = round(end_at / STEP_S)
        for number in range(steps):
            now = number * STEP_S
            since_s = now - ORDERED_AT
            if number == round(ORDERED_AT / STEP_S):
                order = RolloutOrder(
                    SERVICE, NEW, load.duration_s, len(self._store.log) + 1
                )
                self._store.put(OrderStored(order))
            away = load.store_away[0] <= since_s < load.store_away[1]
            for host in self.hosts:
                host.now = now
                cut = host is self.hosts[0] and since_s >= load.cut_off_from
                if host.ended or away or cut:
                    continue
                self._take_turn(host)
            for _ in range(self._arrivals()):
                self._request(now, since_s)
            self._record_end(since_s)
        return self.outcome

    def _take_turn(self, host: ReplayedHost) -> None:
        host.follow(self._store)
        if host.write(self._store) and self.load.writers_end:
            host.ended = sum(not other.ended for other in self.hosts) > 1

    def _arrivals(self) -> int:
        expected = self.load.rate * STEP_S
        arrivals = 0
        left = self._random.expovariate(1)
        while left < expected:
            arrivals += 1
            left += self._random.expovariate(1)
        return arrivals

    def _request(self, now: float, since_s: float) -> None:
        host = self._random.choice(
            [host for host in self.hosts if not host.ended]
        )
        split = host.book.split(SERVICE, now)
        # Before the host has read the order, there are old targets only.
        new = split is not None and (
            NEW in split.known or split.exposes(host.book.draw())
        )
        route = ROUTES[self._random.random() > FIRST_ROUTE_SHARE]
        self._recent.append((now, new))
        while self._recent[0][0] < now - 1:
            self._recent.popleft()
        rate = 0.005
        if new:
            load = sum(used for _, used in self._recent) / len(self._recent)
            rate = self.load.badness(load, since_s, route)
        bad = self._random.random() < rate
        work_s = WORK_S * self._random.lognormvariate(0, 0.3)
        if bad and self.load.slow:
            work_s *= 4
        version = NEW if new else OLD
        host.book.own.record_sent(SERVICE, version)
        host.book.own.record_end(
            AttemptEnd(
                SERVICE,
                version,
                route,
                work_s,
                failed=bad and not self.load.slow,
            ),
            now,
        )
        self._count(now, since_s, new=new, bad=bad)

    def _count(
        self, now: float, since_s: float, *, new: bool, bad: bool
    ) -> None:
        outcome = self.outcome
        if 0 <= since_s <= self.load.duration_s:
            outcome.requests += 1
            outcome.exposed += new
        if new and len(self._bad_times) >= 50:
            late_at = self._bad_times[49] + BOUNDS.rollback_s
            outcome.late += now > late_at
        if new and bad:
            self._bad_times.append(now)
        completed = outcome.state == RolloutState.COMPLETED
        if completed and since_s > outcome.ended_s + 1.5:
            outcome.in_old += not new

    def _record_end(self, since_s: float) -> None:
        status = self._store.status
        if self.outcome.state is not None or status is None:
            return
        if status.state != RolloutState.ACTIVE:
            self.outcome.state = status.state
            self.outcome.ended_s = since_s


def _target(version: str) -> TargetRecord:
    return TargetRecord(
        identity=f'{SERVICE}-{version}',
        service=SERVICE,
        address='10.0.0.1:1',
        data_centre='dc-a',
        slots=2,
        draining=False,
        warm_up_left_s=0,
        started_ms=1,
        version=version,
    )
