"""Carries requests from callers to targets, as the decisions say."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncGenerator

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import GatherRequest
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._run_driver import RunDriver
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry._crash_tracking import AttemptSender
from oriolestage.relay._answers import (
    AttemptOutcome,
    GiveUpReason,
    Refused,
    Verdict,
)
from oriolestage.relay._crash_watch import CrashWatch
from oriolestage.relay._extra_budget import BudgetBounds, ExtraBudget
from oriolestage.relay._knowledge import Knowledge
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._request_run import RequestRun
from oriolestage.relay._rules import (
    RouteRule,
    RoutingTable,
    ShardGroup,
    SingleService,
    WeightedServices,
)
from oriolestage.relay._run_types import (
    BatchOutcome,
    PartRequest,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.relay._wants import wanted_of
from oriolestage.relay._weights import WeightedTurns

#: Time to come back for a caller while there is no configuration, seconds.
NO_CONFIGURATION_RETRY_S = 0.5
#: Time kept back from the caller's deadline for the final answer, seconds.
DEADLINE_MARGIN_S = 0.02
#: Shortest time that is told to a target, in seconds.
LEAST_TIME_S = 0.001


class Relay:
    """Serves callers' requests."""

    def __init__(
        self,
        knowledge: Knowledge,
        placement: Placement,
        peers: PeerBook,
        targets: AttemptSender,
        crashes: CrashWatch,
        peer_client: PeerClient,
        budget_bounds: BudgetBounds,
        log: RequestLog,
    ) -> None:
        """Prepare to serve; nothing is known yet."""
        self._log = log
        self._knowledge = knowledge
        self._placement = placement
        self._peers = peers
        self._targets = targets
        self._crashes = crashes
        self._peer_client = peer_client
        self._budget_bounds = budget_bounds
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
        left_s = self._crashes.quarantine_left_s(
            request.fingerprint,
            request.arrived,
        )
        if left_s > 0:
            return self._refuse(request, GiveUpReason.QUARANTINED, left_s)
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
            verdict = await driver.drive()
        except asyncio.CancelledError:
            run.cancel(time.monotonic())
            self._note_done(request, rule, table, run, 'caller_left')
            raise
        finally:
            driver.cancel_all()
        self._note_done(request, rule, table, run, verdict)
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
        budget = self._budgets.get(name)
        if budget is None:
            budget = ExtraBudget(self._budget_bounds, self._started_at)
            self._budgets[name] = budget
        wanted = wanted_of(table, name, rule.name, rule.regions)
        return PartRequest(wanted, budget)

    async def _send(
        self,
        request: CallerRequest,
        rule: RouteRule,
        action: SendAttempt,
    ) -> AttemptOutcome:
        record = action.target.record
        sent_at = time.monotonic()
        outcome = await self._targets.send(
            TargetCall(
                request_id=request.metadata.request_id,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                repeatable=rule.repeatable,
                target=record.identity,
                address=record.address,
                time_left_s=max(LEAST_TIME_S, action.deadline - sent_at),
                fingerprint=request.fingerprint,
            ),
        )
        self._log.record_attempt(request, action, outcome, sent_at)
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
            request_id=request.metadata.request_id,
            route=rule.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            services=tuple(part.service for part in action.parts),
            regions=tuple(action.regions),
            top_records=action.top_records,
            merged=action.merged,
            floor=action.floor,
            late_s=action.late_s,
            work_s=action.work_s,
            time_left_s=max(LEAST_TIME_S, action.deadline - now),
        )
        address = action.peer.peer_address
        gathering = self._peer_client.gather(address, asked)
        async with contextlib.aclosing(gathering) as replies:
            async for outcome in replies:
                self._log.record_batch_reply(request, action, outcome, now)
                yield outcome

    def _note_done(
        self,
        request: CallerRequest,
        rule: RouteRule,
        table: RoutingTable,
        run: RequestRun,
        verdict: Verdict | str,
    ) -> None:
        summary = {'hosts': len(self._placement.hosts), **run.summary()}
        self._log.record_completion(
            request,
            rule.name,
            table.version,
            verdict,
            summary,
        )

    def _refuse(
        self,
        request: CallerRequest,
        reason: GiveUpReason,
        retry_after_s: float,
    ) -> Verdict:
        verdict = Refused(reason, retry_after_s)
        self._log.record_refusal(request, verdict)
        return verdict


def _times(rule: RouteRule, request: CallerRequest) -> RunTimes:
    limit_s = rule.time_limit_s
    if request.metadata.time_left_s is not None:
        limit_s = min(limit_s, request.metadata.time_left_s)
    return RunTimes(
        started=request.arrived,
        objective=request.arrived + rule.objective_s - request.network_delay_s,
        deadline=request.arrived + max(0, limit_s - DEADLINE_MARGIN_S),
    )
