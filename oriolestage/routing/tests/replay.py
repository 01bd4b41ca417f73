"""Simulates requests on one host against targets with modelled delays."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptOutcome,
    RequestResult,
)
from oriolestage.routing._merge import merge_records
from oriolestage.routing._placement_types import TargetRequirements
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._retry_budget import BudgetBounds, RetryBudget
from oriolestage.routing._rules import (
    RouteRule,
    ShardGroup,
)
from oriolestage.routing._run_types import (
    Action,
    BatchAnswered,
    Finish,
    PartRequest,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing.tests.builders import (
    DELIVERY_MARGIN_S,
    FAR_S,
    NEAR_S,
    make_answer,
    make_budget,
    make_peers,
    make_placement,
    shard_records,
)

#: Returns the work in seconds that an attempt takes at a target, from the
#: target's record, the time and the work at a usual target.
WorkModel = Callable[[TargetRecord, float, float], float]


#: Heap of future events: time, order among equal times, and handler.
_Queue = list[tuple[float, int, Callable[[float], list[Action]]]]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayedRequest:
    """Result and cost of one replayed request."""

    result: RequestResult
    #: Time from arrival to result, in seconds.
    took_s: float
    #: Number of attempts sent to targets.
    attempts: int


class Replay:
    """Replays requests on one host against targets with modelled delays.

    Attempts and batches end after the network round trip and the work of
    the targets. Loss and congestion are not modelled, and requests do not
    overlap.
    """

    def __init__(
        self,
        work_model: WorkModel,
        *,
        rule: RouteRule,
        bounds: BudgetBounds | None = None,
        peers: bool = True,
        hosts: int = 1,
        data_centre: str = 'dc-a',
    ) -> None:
        """Set up a host with two known targets per shard.

        ``hosts`` is the number of hosts that share the targets and the retry
        budget. Without ``peers``, no other host can gather shards.
        """
        self._work_model = work_model
        self._rule = rule
        self.placement, self.directory = make_placement(
            data_centre,
            shard_records(),
        )
        names = [f'host-{one}' for one in range(hosts)]
        self.placement.replace_hosts(dict.fromkeys(names, 'region-a'), 0)
        self.peers = make_peers(self.placement.location)
        if not peers:
            self.peers.replace_hosts(())
        self._bounds = bounds or BudgetBounds()
        self._budgets: dict[str, RetryBudget] = {}
        self._numbers = itertools.count(1)
        self._order = itertools.count()
        self.now = 100.0
        #: Number of attempts that the requests need without any extra ones.
        self.needed = 0
        #: Number of attempts that were sent.
        self.attempts = 0

    def replay_request(self, usual_s: float) -> ReplayedRequest:
        """Replay one request that takes ``usual_s`` at a usual target."""
        started = self.now
        run = self._build_run(started)
        queue: _Queue = []
        before = self.attempts
        actions = run.start(started)
        while True:
            result = self._execute(run, actions, usual_s, queue)
            if result is not None:
                attempts = self.attempts - before
                return ReplayedRequest(result, self.now - started, attempts)
            if not queue or queue[0][0] > run.wake_at:
                self.now = max(self.now, run.wake_at)
                actions = run.on_timer(self.now)
                continue
            self.now, _, handler = heapq.heappop(queue)
            actions = handler(self.now)

    def _execute(
        self,
        run: RequestRun,
        actions: list[Action],
        usual_s: float,
        queue: _Queue,
    ) -> RequestResult | None:
        for action in actions:
            match action:
                case Finish(result=result):
                    return result
                case SendAttempt():
                    self._send(run, action, usual_s, queue)
                case SendBatch():
                    self._send_batch(run, action, usual_s, queue)
        return None

    def _build_run(self, now: float) -> RequestRun:
        destination = self._rule.destination
        names: tuple[str, ...] = ('shard-0',)
        if isinstance(destination, ShardGroup):
            names = destination.services
        self.needed += len(names)
        parts = tuple(
            PartRequest(
                TargetRequirements(name, self._rule.name),
                self._budgets.setdefault(
                    name,
                    make_budget(
                        self._bounds,
                        now - 60,
                        host=self.placement.location.name,
                        service=name,
                    ),
                ),
            )
            for name in names
        )
        return RequestRun(
            rule=self._rule,
            parts=parts,
            times=RunTimes(
                started=now,
                objective=now + self._rule.objective_s,
                deadline=now + self._rule.timeout_s,
                delivery_margin_s=DELIVERY_MARGIN_S,
            ),
            placement=self.placement,
            peers=self.peers,
            next_attempt=lambda: next(self._numbers),
        )

    def _send(
        self,
        run: RequestRun,
        action: SendAttempt,
        usual_s: float,
        queue: _Queue,
    ) -> None:
        self.attempts += 1
        record = action.target.record
        near = record.data_centre == self.placement.location.data_centre
        work_s = self._work_model(record, self.now, usual_s)
        round_trip_s = NEAR_S if near else FAR_S
        ends_at = self.now + work_s + round_trip_s
        outcome: AttemptOutcome = AttemptAnswered(make_answer())
        number = action.attempt
        heapq.heappush(
            queue,
            (
                ends_at,
                next(self._order),
                lambda now: run.on_outcome(number, outcome, now),
            ),
        )

    def _send_batch(
        self,
        run: RequestRun,
        action: SendBatch,
        usual_s: float,
        queue: _Queue,
    ) -> None:
        work_by_service: dict[str, float] = {}
        for part in action.parts:
            self.attempts += 1
            target = self.placement.targets_in_region(
                part.service,
                next(iter(action.regions)),
            )[0]
            work_by_service[part.service] = self._work_model(
                target.record,
                self.now + FAR_S / 2,
                usual_s,
            )
        late_s = max(action.late_s, usual_s * 2)
        in_time = {
            name: work_s
            for name, work_s in work_by_service.items()
            if work_s <= late_s
        }
        waited_s = max(work_by_service.values())
        if len(in_time) < len(work_by_service):
            waited_s = late_s
        bodies: dict[str, bytes] = {}
        if not action.merged:
            bodies = dict.fromkeys(in_time, b'r' * 16)
        outcome = BatchAnswered(
            signatures=dict.fromkeys(in_time, 'signed'),
            body=merge_records([b'r' * 16 * len(in_time)], action.top_records),
            bodies=bodies,
            failed=frozenset(),
            final=len(in_time) == len(work_by_service),
            work_s=usual_s,
        )
        number = action.batch
        heapq.heappush(
            queue,
            (
                self.now + FAR_S + waited_s,
                next(self._order),
                lambda now: run.on_batch_outcome(number, outcome, now),
            ),
        )


def pausing_targets(
    seed: int,
    period_s: float = 4.5,
    pause_s: float = 0.2,
) -> WorkModel:
    """Return a work model of targets that pause, each with a random phase.

    Each target pauses for ``pause_s`` in every period of ``period_s``
    seconds; an attempt that arrives in a pause waits until it ends.
    """
    rng = random.Random(seed)
    phases: dict[str, float] = {}

    def work_model(record: TargetRecord, now: float, usual_s: float) -> float:
        phase = phases.setdefault(record.identity, rng.random() * period_s)
        elapsed_s = (now + phase) % period_s
        if elapsed_s < pause_s:
            return pause_s - elapsed_s + usual_s
        return usual_s * rng.uniform(0.9, 1.1)

    return work_model
