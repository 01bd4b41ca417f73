"""Carries requests from callers to targets, as the decisions say."""

import asyncio
import contextlib
import dataclasses
import itertools
import time
from collections.abc import AsyncGenerator, Callable

from oriolestage._logging import log_event
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import GatherRequest
from oriolestage.entry._ports import RequestFacts
from oriolestage.entry._run_driver import RunDriver
from oriolestage.entry._target_client import TargetCall, TargetClient
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    GiveUpReason,
    Refused,
    Verdict,
)
from oriolestage.relay._extra_budget import BudgetBounds, ExtraBudget
from oriolestage.relay._knowledge import Knowledge
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement, Wanted
from oriolestage.relay._request_run import RequestRun
from oriolestage.relay._rules import (
    RouteRule,
    RoutingTable,
    ServiceRule,
    ShardGroup,
    SingleService,
    WeightedServices,
)
from oriolestage.relay._run_types import (
    BatchAnswered,
    BatchLost,
    BatchOutcome,
    PartRequest,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.relay._weights import WeightedTurns

#: Time to come back for a caller while there is no configuration, seconds.
NO_CONFIGURATION_RETRY_S = 0.5
#: Time kept back from the caller's deadline for the final answer, seconds.
DEADLINE_MARGIN_S = 0.02
#: Shortest time that is told to a target, in seconds.
LEAST_TIME_S = 0.001
MS_PER_S = 1000
#: Services that the configuration does not describe.
UNKNOWN_SERVICE = ServiceRule(name='', connection_limit=0)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as a caller sent it."""

    facts: RequestFacts
    method: str
    #: Host name that the caller asks for.
    host: str
    #: Path and query, unchanged.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Steady time at which it was read.
    arrived: float


class Relay:
    """Serves callers' requests."""

    def __init__(
        self,
        knowledge: Knowledge,
        placement: Placement,
        peers: PeerBook,
        client: TargetClient,
        peer_client: PeerClient,
        budget_bounds: BudgetBounds,
        metrics: EntryMetrics,
        store_age_s: Callable[[], float],
    ) -> None:
        """Prepare to serve; nothing is known yet.

        ``store_age_s`` gives the age of what is known from the store.
        """
        self._store_age_s = store_age_s
        self._knowledge = knowledge
        self._placement = placement
        self._peers = peers
        self._client = client
        self._peer_client = peer_client
        self._budget_bounds = budget_bounds
        self._metrics = metrics
        self._started_at = time.monotonic()
        self._budgets: dict[str, ExtraBudget] = {}
        self._turns = WeightedTurns()
        self._attempts = itertools.count(1)
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests that have no final answer yet."""
        return self._in_flight

    async def serve(self, request: CallerRequest) -> Verdict:
        """Serve one request; cancelling stops its attempts."""
        table = self._knowledge.table
        if table is None:
            return self._refuse(
                request,
                GiveUpReason.NO_CONFIGURATION,
                NO_CONFIGURATION_RETRY_S,
            )
        rule = table.find(request.host, request.path.partition('?')[0])
        if rule is None:
            return self._refuse(request, GiveUpReason.UNKNOWN_ROUTE, 0)
        self._in_flight += 1
        try:
            return await self._run(request, table, rule)
        finally:
            self._in_flight -= 1

    async def _run(
        self,
        request: CallerRequest,
        table: RoutingTable,
        rule: RouteRule,
    ) -> Verdict:
        run = RequestRun(
            rule=rule,
            parts=self._parts(rule, table),
            times=_times(rule, request),
            placement=self._placement,
            peers=self._peers,
            next_attempt=lambda: next(self._attempts),
        )
        driver = RunDriver(
            run,
            lambda action: self._send(request, rule, action),
            lambda action: self._send_batch(request, rule, action),
        )
        try:
            verdict = await driver.finish()
        except asyncio.CancelledError:
            run.cancel(time.monotonic())
            self._note(request, rule, table, driver, 'caller_left')
            raise
        finally:
            driver.cancel_all()
        self._note(request, rule, table, driver, verdict)
        return verdict

    def _parts(
        self,
        rule: RouteRule,
        table: RoutingTable,
    ) -> tuple[PartRequest, ...]:
        match rule.destination:
            case ShardGroup(services=services):
                names = services
            case SingleService(name=name):
                names = (name,)
            case WeightedServices(choices=choices):
                names = (self._turns.next_service(rule.name, choices),)
        return tuple(self._part(name, rule, table) for name in names)

    def _part(
        self,
        name: str,
        rule: RouteRule,
        table: RoutingTable,
    ) -> PartRequest:
        service = table.services.get(name, UNKNOWN_SERVICE)
        budget = self._budgets.get(name)
        if budget is None:
            budget = ExtraBudget(self._budget_bounds, self._started_at)
            self._budgets[name] = budget
        wanted = Wanted(
            service=name,
            route=rule.name,
            regions=rule.regions,
            connection_limit=service.connection_limit,
            warm_up_rate=service.warm_up_rate,
        )
        return PartRequest(wanted, budget)

    async def _send(
        self,
        request: CallerRequest,
        rule: RouteRule,
        action: SendAttempt,
    ) -> AttemptOutcome:
        record = action.target.record
        sent_at = time.monotonic()
        outcome = await self._client.send(
            TargetCall(
                request_id=request.facts.request_id,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                repeatable=rule.repeatable,
                target=record.identity,
                address=record.address,
                time_left_s=max(LEAST_TIME_S, action.deadline - sent_at),
            ),
        )
        self._metrics.note_attempt(outcome, hedge=action.hedge)
        problem = _problem(outcome)
        if problem:
            log_event(
                'attempt_failed',
                {
                    'id': request.facts.request_id,
                    'step': problem,
                    'peer': record.address,
                    'target': record.identity,
                    'service': record.service,
                    'hedge': action.hedge,
                    'after_ms': (time.monotonic() - sent_at) * MS_PER_S,
                },
            )
        return outcome

    async def _send_batch(
        self,
        request: CallerRequest,
        rule: RouteRule,
        action: SendBatch,
    ) -> AsyncGenerator[BatchOutcome, None]:
        now = time.monotonic()
        asked = GatherRequest(
            number=0,
            request_id=request.facts.request_id,
            route=rule.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            services=tuple(part.service for part in action.parts),
            regions=tuple(action.regions),
            top_records=action.top_records,
            merged=action.merged,
            late_s=action.late_s,
            work_s=action.work_s,
            time_left_s=max(LEAST_TIME_S, action.deadline - now),
        )
        address = action.peer.peer_address
        gathering = self._peer_client.gather(address, asked)
        async with contextlib.aclosing(gathering) as replies:
            async for outcome in replies:
                self._metrics.note_batch(outcome)
                self._log_batch(request, action, outcome, now)
                yield outcome

    def _log_batch(
        self,
        request: CallerRequest,
        action: SendBatch,
        outcome: BatchOutcome,
        sent_at: float,
    ) -> None:
        log_event(
            'batch_reply',
            {
                'id': request.facts.request_id,
                'step': _batch_step(outcome),
                'peer': action.peer.name,
                'shards': len(action.parts),
                'merged': action.merged,
                'after_ms': (time.monotonic() - sent_at) * MS_PER_S,
            },
        )

    def _refuse(
        self,
        request: CallerRequest,
        reason: GiveUpReason,
        retry_after_s: float,
    ) -> Verdict:
        verdict = Refused(reason, retry_after_s)
        self._metrics.note_request('none', verdict, 0)
        log_event(
            'request_refused',
            {
                'id': request.facts.request_id,
                'host': request.host,
                'path': request.path,
                'reason': reason.value,
                'retry_after_s': retry_after_s,
                'store_age_s': self._store_age_s(),
            },
        )
        return verdict

    def _note(
        self,
        request: CallerRequest,
        rule: RouteRule,
        table: RoutingTable,
        driver: RunDriver,
        verdict: Verdict | str,
    ) -> None:
        took_s = time.monotonic() - request.arrived
        self._metrics.note_request(rule.name, verdict, took_s)
        log_event(
            'request_done',
            {
                'id': request.facts.request_id,
                'route': rule.name,
                'version': table.version,
                'outcome': _outcome_text(verdict),
                'took_ms': took_s * MS_PER_S,
                'store_age_s': self._store_age_s(),
                'hosts': len(self._placement.hosts),
                **driver.run.summary(),
            },
        )


def _times(rule: RouteRule, request: CallerRequest) -> RunTimes:
    limit_s = rule.time_limit_s
    if request.facts.time_left_s is not None:
        limit_s = min(limit_s, request.facts.time_left_s)
    return RunTimes(
        started=request.arrived,
        objective=request.arrived + rule.objective_s,
        deadline=request.arrived + max(0, limit_s - DEADLINE_MARGIN_S),
    )


def _problem(outcome: AttemptOutcome) -> str:
    match outcome:
        case AttemptNotRun(reason=reason):
            return f'target.{reason.value}'
        case AttemptLost(step=step):
            return step
        case AttemptAnswered(answer=answer) if not answer.success:
            return f'target.status_{answer.status}'
    return ''


def _batch_step(outcome: BatchOutcome) -> str:
    match outcome:
        case BatchLost(step=step):
            return step
        case BatchAnswered(signatures=signatures):
            return f'answered_{len(signatures)}'


def _outcome_text(verdict: Verdict | str) -> str:
    if isinstance(verdict, str):
        return verdict
    name = type(verdict).__name__.lower()
    reason = getattr(verdict, 'reason', None)
    return name if reason is None else f'{name}:{reason.value}'
