"""A fleet of hosts and one service of three targets, on virtual time.

Each host places its requests with the code of the product; targets, network
and callers are modelled. Hosts do not exchange anything.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from oriolestage.pacing._target_paces import TargetPaces
from oriolestage.pacing.tests.model_targets import COLD_S, SLOTS, ModelTarget
from oriolestage.routing._answers import (
    AttemptOutcome,
    Delivered,
    RequestResult,
)
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    HostLocation,
    TargetRequirements,
)
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._run_types import (
    Action,
    CancelAttempt,
    Finish,
    PartRequest,
    RunTimes,
    SendAttempt,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import TargetDirectory, TargetRecord
from oriolestage.routing._warm_up import WarmUpBounds
from oriolestage.routing.tests.builders import (
    DELIVERY_MARGIN_S,
    REGIONS,
    make_budget,
    make_record,
    make_rule,
)

SERVICE = 'shard-0'
#: Connections that a target accepts from all hosts together.
CONNECTIONS = 56
#: One way between a host and a target, in seconds.
ONE_WAY_S = 0.0005
#: Latency objective of the route, in seconds.
OBJECTIVE_S = 0.16
#: Times after a registration at which a host learns of it, in seconds.
LEARNING_S = (0.3, 1.3)
#: Data centre of all hosts and targets.
DATA_CENTRE = 'dc-a'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """What one caller got."""

    #: Time of its request and the time until its result, in seconds.
    sent_at: float
    took_s: float
    result: RequestResult

    @property
    def in_time(self) -> bool:
        """Whether it was answered within the latency objective."""
        return isinstance(self.result, Delivered) and self.took_s <= OBJECTIVE_S


class _Host:
    """One host with its view of the targets."""

    def __init__(
        self, name: str, records: tuple[TargetRecord, ...], *, pacing: bool
    ) -> None:
        self.changes: list[StateChange] = []
        self.paces = TargetPaces(name, self.changes.append)
        self.directory = TargetDirectory()
        self.directory.replace_all(records, 0)
        self.placement = Placement(
            HostLocation(name, DATA_CENTRE, REGIONS),
            self.directory,
            WarmUpBounds(),
            self.changes.append,
            paces=self.paces if pacing else None,
        )
        self.budget = make_budget(BudgetBounds(), -100, host=name)
        self.peers = PeerDirectory(self.placement.location)


class _Caller:
    """One request, whose actions the fleet carries out."""

    def __init__(self, fleet: 'Fleet', host: _Host, now: float) -> None:
        rule = make_rule(objective_s=OBJECTIVE_S)
        self._fleet = fleet
        self._host = host.placement.location.name
        self._started = now
        self._cancels: dict[int, Callable[[], None]] = {}
        self._wake_at = float('inf')
        self._finished = False
        requirements = TargetRequirements(
            SERVICE, rule.name, connection_limit=CONNECTIONS
        )
        self._run = RequestRun(
            rule=rule,
            parts=(PartRequest(requirements, host.budget),),
            times=RunTimes(
                started=now,
                objective=now + rule.objective_s,
                deadline=now + rule.timeout_s,
                delivery_margin_s=DELIVERY_MARGIN_S,
            ),
            placement=host.placement,
            peers=host.peers,
            next_attempt=fleet.next_attempt,
        )
        self._execute(self._run.start(now), now)

    def _execute(self, actions: list[Action], now: float) -> None:
        for action in actions:
            match action:
                case Finish(result=result):
                    self._finished = True
                    took_s = now - self._started
                    self._fleet.results.append(
                        CallerResult(self._started, took_s, result)
                    )
                case SendAttempt():
                    self._send(action, now)
                case CancelAttempt(attempt=attempt):
                    self._cancels.pop(attempt, lambda: None)()
        if not self._finished and self._run.wake_at < self._wake_at:
            self._wake_at = self._run.wake_at
            self._fleet.schedule(self._wake_at, self._wake)

    def _wake(self, now: float) -> None:
        if not self._finished and now >= self._wake_at:
            self._wake_at = float('inf')
            self._execute(self._run.on_timer(now), now)

    def _send(self, action: SendAttempt, now: float) -> None:
        target = self._fleet.targets[action.target.record.identity]

        def arrive(arrived_at: float) -> None:
            self._cancels[action.attempt] = target.arrive(
                self._host, reply, arrived_at
            )

        def reply(outcome: AttemptOutcome, replied_at: float) -> None:
            self._fleet.schedule(
                replied_at + ONE_WAY_S,
                functools.partial(self._take, action.attempt, outcome),
            )

        self._fleet.schedule(now + ONE_WAY_S, arrive)

    def _take(self, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        if not self._finished:
            self._execute(self._run.on_outcome(attempt, outcome, now), now)


class Fleet:
    """Hosts, the targets of one service, and callers at random hosts."""

    def __init__(self, hosts: int, seed: int, *, pacing: bool) -> None:
        """Create running hosts that know all targets, which are warm."""
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._attempts = itertools.count(1)
        records = tuple(
            make_record(f't-{number}', SERVICE, DATA_CENTRE, slots=SLOTS)
            for number in range(3)
        )
        self.targets = {
            record.identity: ModelTarget(record, self.schedule, self._rng)
            for record in records
        }
        names = [f'host-{number:03d}' for number in range(hosts)]
        self.hosts = [_Host(name, records, pacing=pacing) for name in names]
        for host in self.hosts:
            host.placement.replace_hosts(
                dict.fromkeys(names, REGIONS[DATA_CENTRE]), float('-inf')
            )
        self.results: list[CallerResult] = []

    def next_attempt(self) -> int:
        """Return a new number for an attempt."""
        return next(self._attempts)

    def schedule(self, at: float, handler: Callable[[float], None]) -> None:
        """Call ``handler`` with the time at a moment."""
        heapq.heappush(self._events, (at, next(self._order), handler))

    def run(self, until: float) -> None:
        """Let all events up to a moment happen."""
        while self._events and self._events[0][0] <= until:
            at, _, handler = heapq.heappop(self._events)
            handler(at)

    def call(self, rate: float, since: float, until: float) -> None:
        """Let callers send ``rate`` requests per second at random moments."""
        at = since + self._rng.expovariate(rate)
        while at < until:
            self.schedule(at, self._call)
            at += self._rng.expovariate(rate)

    def stop(self, identity: str, at: float) -> None:
        """Stop a target and remove its registration."""
        self.schedule(at, functools.partial(self._drop, identity))

    def restart(
        self,
        identity: str,
        since: float,
        started_at: float,
        learning_s: tuple[float, float] = LEARNING_S,
    ) -> None:
        """Stop a target and start a new, cold process in its place.

        Each host learns of it at a random time within ``learning_s`` after
        its start.
        """
        self.stop(identity, since)
        self.schedule(
            started_at,
            functools.partial(self._start_cold, identity, learning_s),
        )

    def crash(self, identity: str, since: float, until: float) -> None:
        """Let a target refuse connections for a time, then work as before."""
        target = self.targets[identity]

        def recover(now: float) -> None:
            target.down = False

        self.schedule(since, target.stop)
        self.schedule(until, recover)

    def _call(self, now: float) -> None:
        _Caller(self, self._rng.choice(self.hosts), now)

    def _drop(self, identity: str, now: float) -> None:
        self.targets[identity].stop(now)
        for host in self.hosts:
            host.directory.remove(identity, now)

    def _start_cold(
        self, identity: str, learning_s: tuple[float, float], now: float
    ) -> None:
        target = self.targets[identity]
        target.down = False
        target.cold_until = now + COLD_S
        target.record = dataclasses.replace(target.record, started_ms=2)
        for host in self.hosts:
            self.schedule(
                now + self._rng.uniform(*learning_s),
                functools.partial(self._register, host, target),
            )

    def _register(self, host: _Host, target: ModelTarget, now: float) -> None:
        left_s = max(0, target.cold_until - now)
        host.directory.register(
            dataclasses.replace(target.record, warm_up_left_s=left_s), now
        )
