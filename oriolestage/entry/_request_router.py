"""Serves callers' requests by sending attempts to targets and other hosts.

The decisions (which target, when to retry or hedge, when to answer) are made
by :class:`RequestRun`, which does no I/O; this module supplies its inputs and
carries out the actions that it returns.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import time
from collections.abc import AsyncGenerator, Awaitable, Callable

from oriolestage.admission._quota_states import Admission, OverQuota
from oriolestage.admission._waiting_line import WaitingLine
from oriolestage.entry._account_checks import AccountChecker, CheckedRequest
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._crash_tracking import AttemptSender
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_messages import GatherRequest, RelayRequest
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.entry._request_admission import (
    AdmittedRequest,
    admit_request,
)
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._run_driver import RunDriver
from oriolestage.entry._runs_in_flight import RunsInFlight
from oriolestage.entry._target_client import TargetCall
from oriolestage.routing._answers import (
    AttemptOutcome,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._crash_detector import CrashDetector, Fleet
from oriolestage.routing._delivery_margin import DeliveryMargin
from oriolestage.routing._even_shares import EvenShare
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._requirements import build_requirements
from oriolestage.routing._retry_budget import BudgetBounds, RetryBudget
from oriolestage.routing._rules import (
    RouteRule,
    RoutingTable,
    ShardGroup,
    SingleService,
    WeightedServices,
)
from oriolestage.routing._run_types import (
    BatchOutcome,
    PartRequest,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing._trials import TrialReport
from oriolestage.routing._weights import WeightedRoundRobin

#: Retry-After for callers while the host has no configuration, in seconds.
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
#: Retry-After for callers while the host is being stopped, in seconds. A
#: caller that comes back is sent to another host.
STOPPING_RETRY_AFTER_S = 0.05
#: Part of the caller's deadline reserved for sending the answer, in seconds.
DEADLINE_MARGIN_S = 0.02
#: Share of the objective that bounds the margin for refusals, relative to that
#: for partial answers. Half of the time in which a refusal is of use remains.
REFUSAL_MARGIN_SHARE = 0.5
#: Lower bound of the timeout sent with an attempt or a batch, in seconds.
MIN_ATTEMPT_TIMEOUT_S = 0.001


#: Returns whether this host alone may run a trial.
TrialClaimer = Callable[[TrialReport], Awaitable[bool]]


class RequestRouter:
    """Routes callers' requests to targets and returns the final results."""

    def __init__(
        self,
        cluster_state: ClusterState,
        placement: Placement,
        peers: PeerDirectory,
        sender: AttemptSender,
        crash_detector: CrashDetector,
        peer_client: PeerClient,
        budget_bounds: BudgetBounds,
        log: RequestLog,
        account_checker: AccountChecker,
        quotas: QuotaExchange,
        waiting_line: WaitingLine | None = None,
        claim_trial: TrialClaimer | None = None,
    ) -> None:
        """Create a router without requests in flight.

        Requests wait in ``waiting_line`` while the configuration has accounts.
        ``claim_trial`` tells whether this host may run a trial of a
        quarantined request; without it there are none.
        """
        self._claim_trial = claim_trial
        self._log = log
        self._account_checker = account_checker
        self._quotas = quotas
        self._waiting_line = waiting_line
        self._cluster_state = cluster_state
        self._placement = placement
        self._peers = peers
        self._sender = sender
        self._crash_detector = crash_detector
        self._peer_client = peer_client
        self._budget_bounds = budget_bounds
        self._started_at = time.monotonic()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._delivery_margin = DeliveryMargin()
        self._refusal_margin = DeliveryMargin()
        self._weighted_services = WeightedRoundRobin()
        self._attempt_numbers = itertools.count(1)
        self._in_flight = 0
        self._runs = RunsInFlight()

    @property
    def in_flight(self) -> int:
        """Number of requests that are running, refused ones not counted."""
        return self._in_flight

    @property
    def cut_count(self) -> int:
        """Number of requests that ended because the host was stopped."""
        return self._runs.cut_count

    def end_by(self, ends_at: float) -> None:
        """End all requests by a time because the host is being stopped.

        New ones that may need longer are refused from now on.
        """
        self._runs.end_by(ends_at)

    async def serve(self, request: CallerRequest) -> RequestResult:
        """Run a request and return its result.

        The request is refused without an attempt if there is no
        configuration or no route for it, if it has no key of an account that
        its route needs, while it is quarantined because it crashed targets,
        if its account is over its quota, or if it may outlast a stop of the
        host. Cancelling the call cancels all its attempts.
        """
        routed = self._find_route(request)
        if isinstance(routed, Refused):
            return routed
        table, rule = routed
        match self._account_checker.check(request, rule, table):
            case Refused(reason=reason, retry_after_s=retry_after_s):
                return self._refuse(request, reason, retry_after_s)
            case CheckedRequest(request=checked, rule=own_rule):
                return await self._serve_checked(checked, own_rule, table)

    async def _serve_checked(
        self,
        request: CallerRequest,
        rule: RouteRule,
        table: RoutingTable,
    ) -> RequestResult:
        fleet = Fleet(self._placement.location.name, self._placement.hosts)
        trial = await self._claim_due_trial(request, fleet)
        if trial is not None:
            return await self._run_trial(request, rule, table, trial)
        refused_for_s = self._crash_detector.refuse_for_s(
            request.fingerprint, request.arrived_at, fleet
        )
        if refused_for_s > 0:
            return self._refuse(
                request, GiveUpReason.QUARANTINED, refused_for_s
            )
        return await self._run_admitted(request, rule, table)

    async def _run_trial(
        self,
        request: CallerRequest,
        rule: RouteRule,
        table: RoutingTable,
        trial: TrialReport,
    ) -> RequestResult:
        """Run a quarantined request at a single target."""
        self._crash_detector.start_trial(trial, time.monotonic())
        try:
            return await self._run_admitted(
                request, dataclasses.replace(rule, max_attempts=1), table
            )
        finally:
            self._crash_detector.end_trial(trial, time.monotonic())

    async def _run_admitted(
        self,
        request: CallerRequest,
        rule: RouteRule,
        table: RoutingTable,
    ) -> RequestResult:
        if not self._runs.can_take(rule, request):
            return self.refuse_stopping(request)
        self._in_flight += 1
        try:
            return await self._run_in_quota(request, table, rule)
        finally:
            self._in_flight -= 1

    async def _claim_due_trial(
        self, request: CallerRequest, fleet: Fleet
    ) -> TrialReport | None:
        """Return the trial as which a request runs, None if it is none."""
        if self._claim_trial is None:
            return None
        detector = self._crash_detector
        trial = detector.take_due_trial(
            request.fingerprint, request.arrived_at, fleet
        )
        if trial is None:
            return None
        claimed = detector.take_unused_trial(trial, request.arrived_at)
        if claimed or await self._claim_trial(trial):
            return trial
        return None

    def refuse_unrouted(self, request: CallerRequest) -> RequestResult | None:
        """Refuse a request without a route; return None if it has one.

        Nothing of its body is needed.
        """
        routed = self._find_route(request)
        return routed if isinstance(routed, Refused) else None

    def refuse_stopping(self, request: CallerRequest) -> RequestResult:
        """Refuse a request because the host is being stopped."""
        return self._refuse(
            request, GiveUpReason.STOPPING, STOPPING_RETRY_AFTER_S
        )

    async def _run_in_quota(
        self,
        request: CallerRequest,
        table: RoutingTable,
        rule: RouteRule,
    ) -> RequestResult:
        """Run a request if its account has not used up its quota.

        A request that ends without having run does not count.
        """
        account = request.account
        if account is None or account.rate <= 0:
            return await self._run(request, table, rule)
        match await self._quotas.admit(account):
            case OverQuota(retry_after_s=retry_after_s):
                return self._refuse(
                    request, GiveUpReason.OVER_QUOTA, retry_after_s
                )
            case Admission() as admission:
                result = await self._run(request, table, rule)
        if isinstance(result, Refused):
            self._quotas.put_back(admission)
        return result

    async def _run(
        self,
        request: CallerRequest,
        table: RoutingTable,
        rule: RouteRule,
    ) -> RequestResult:
        parts = self._build_parts(rule, table)
        times = self._run_times(
            rule, request, len(parts), limits_refusals=len(table.accounts) > 0
        )
        admitted: AdmittedRequest | Refused | None = None
        if self._waiting_line is not None and len(table.accounts):
            admitted = admit_request(
                self._waiting_line, request, rule, parts, times
            )
        if isinstance(admitted, Refused):
            return self._refuse(
                request, admitted.reason, admitted.retry_after_s
            )
        run = RequestRun(
            rule=rule,
            parts=parts,
            times=times,
            placement=self._placement,
            peers=self._peers,
            next_attempt=lambda: next(self._attempt_numbers),
            waiter=None if admitted is None else admitted.waiter,
        )
        result = await self._drive(request, table, rule, run, admitted)
        if admitted is not None:
            admitted.record_result(result, run)
        self._learn_overruns(run, rule)
        return result

    async def _drive(
        self,
        request: CallerRequest,
        table: RoutingTable,
        rule: RouteRule,
        run: RequestRun,
        admitted: AdmittedRequest | None,
    ) -> RequestResult:
        driver = RunDriver(
            run,
            lambda action: self._send(request, rule, action),
            lambda action: self._send_batch(request, rule, action),
        )
        if admitted is not None:
            admitted.waiter.call_when_woken(driver.wake)
        try:
            with self._runs.track(driver, rule.name, request.arrived_at):
                result = await driver.drive()
        except asyncio.CancelledError:
            run.cancel(time.monotonic())
            self._record_completion(request, rule, table, driver, 'caller_left')
            raise
        finally:
            driver.cancel_all()
            if admitted is not None:
                admitted.close()
        self._runs.record_result(request, rule.name, result)
        self._record_completion(request, rule, table, driver, result)
        return result

    def _learn_overruns(self, run: RequestRun, rule: RouteRule) -> None:
        """Learn how late an answer or a refusal is written that was due."""
        due_times = (
            (self._delivery_margin, run.partial_answer_due_at, 1),
            (self._refusal_margin, run.refusal_due_at, REFUSAL_MARGIN_SHARE),
        )
        for margin, due_at, share in due_times:
            if due_at is None:
                continue
            # Runs after this task has written the answer.
            asyncio.get_running_loop().call_soon(
                _record_overrun, margin, due_at, rule.objective_s * share
            )

    def _run_times(
        self,
        rule: RouteRule,
        request: CallerRequest,
        parts: int,
        *,
        limits_refusals: bool,
    ) -> RunTimes:
        timeout_s = rule.timeout_s
        if request.metadata.time_left_s is not None:
            timeout_s = min(timeout_s, request.metadata.time_left_s)
        times = RunTimes(
            started=request.arrived_at,
            objective=request.arrived_at
            + rule.objective_s
            - request.network_delay_s,
            deadline=request.arrived_at + max(0, timeout_s - DEADLINE_MARGIN_S),
            delivery_margin_s=self._delivery_margin.margin_s(
                parts, rule.objective_s
            ),
            network_delay_s=request.network_delay_s,
            refusal_margin_s=self._refusal_margin.margin_s(
                parts, rule.objective_s * REFUSAL_MARGIN_SHARE
            ),
            limits_refusals=limits_refusals,
        )
        return times.ended_by_stop(self._runs.ends_at)

    def _build_parts(
        self,
        rule: RouteRule,
        table: RoutingTable,
    ) -> tuple[PartRequest, ...]:
        match rule.destination:
            case ShardGroup(services=services):
                service_names = services
            case SingleService(name=name):
                service_names = (name,)
            case WeightedServices(choices=choices):
                service_names = (
                    self._weighted_services.next_service(rule.name, choices),
                )
        return tuple(
            self._build_part(name, rule, table) for name in service_names
        )

    def _build_part(
        self,
        name: str,
        rule: RouteRule,
        table: RoutingTable,
    ) -> PartRequest:
        budget = self._retry_budgets.get(name)
        if budget is None:
            budget = RetryBudget(
                self._budget_bounds,
                self._started_at,
                EvenShare(name, self._placement.location.name),
            )
            self._retry_budgets[name] = budget
        requirements = build_requirements(table, name, rule.name, rule.regions)
        return PartRequest(requirements, budget)

    async def _send(
        self,
        request: CallerRequest,
        rule: RouteRule,
        action: SendAttempt,
    ) -> AttemptOutcome:
        record = action.target.record
        sent_at = time.monotonic()
        if action.relay is not None:
            return await self._send_relayed(request, rule, action, action.relay)
        outcome = await self._sender.send(
            TargetCall(
                request_id=request.metadata.request_id,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                repeatable=rule.repeatable,
                target=record.identity,
                address=record.address,
                time_left_s=max(
                    MIN_ATTEMPT_TIMEOUT_S, action.deadline - sent_at
                ),
                fingerprint=request.fingerprint,
                route=rule.name,
                process=action.target.process,
            ),
        )
        self._log.record_attempt(request, action, outcome, sent_at)
        return outcome

    async def _send_relayed(
        self,
        request: CallerRequest,
        rule: RouteRule,
        action: SendAttempt,
        relay: HostRecord,
    ) -> AttemptOutcome:
        sent_at = time.monotonic()
        self._crash_detector.record_sent(request.fingerprint)
        outcome = await self._peer_client.relay(
            relay.peer_address,
            RelayRequest(
                number=0,
                request_id=request.metadata.request_id,
                route=rule.name,
                service=action.target.record.service,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                regions=tuple(rule.regions),
                repeatable=rule.repeatable,
                time_left_s=max(
                    MIN_ATTEMPT_TIMEOUT_S, action.deadline - sent_at
                ),
                repeat=action.repeat,
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
        gather_request = GatherRequest(
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
            time_left_s=max(MIN_ATTEMPT_TIMEOUT_S, action.deadline - now),
            repeat=action.repeat,
            fingerprint=request.fingerprint,
        )
        self._crash_detector.record_sent(request.fingerprint)
        address = action.peer.peer_address
        reply_stream = self._peer_client.gather(address, gather_request)
        async with contextlib.aclosing(reply_stream) as replies:
            async for outcome in replies:
                self._log.record_batch_reply(request, action, outcome, now)
                yield outcome

    def _record_completion(
        self,
        request: CallerRequest,
        rule: RouteRule,
        table: RoutingTable,
        driver: RunDriver,
        result: RequestResult | str,
    ) -> None:
        summary = {
            'hosts': len(self._placement.hosts),
            **driver.run.summary(),
        }
        self._log.record_completion(
            request,
            rule.name,
            table.version,
            result,
            summary,
            driver.timings,
        )

    def _find_route(
        self, request: CallerRequest
    ) -> tuple[RoutingTable, RouteRule] | Refused:
        """Return the table in force and the rule for a request.

        Refuse the request if there is none.
        """
        table = self._cluster_state.table
        if table is None:
            return self._refuse(
                request,
                GiveUpReason.NO_CONFIGURATION,
                NO_CONFIGURATION_RETRY_AFTER_S,
            )
        rule = table.find(request.host, request.path.partition('?')[0])
        if rule is None:
            return self._refuse(request, GiveUpReason.UNKNOWN_ROUTE, 0)
        return table, rule

    def _refuse(
        self,
        request: CallerRequest,
        reason: GiveUpReason,
        retry_after_s: float,
    ) -> Refused:
        result = Refused(reason, retry_after_s)
        self._log.record_refusal(request, result)
        return result


def _record_overrun(
    margin: DeliveryMargin, due_at: float, objective_s: float
) -> None:
    margin.record_overrun(time.monotonic() - due_at, objective_s)
