"""Runs queries, which read all shards of a group and may be retried.

Starts each query, handles the outcomes of its shards, and answers the caller
once all shards are settled, at the deadline, or early on overload or
quarantine.
"""

from collections.abc import Iterable

from oriolestage.core._effects import AnswerCaller, Outbox
from oriolestage.core._messages import ShardReply
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import (
    AnswerPolicy,
    Route,
    Target,
)
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._early_termination import (
    overload_outcome,
    quarantine_outcome,
)
from oriolestage.core.queries._extra_load import ExtraLoadBudget
from oriolestage.core.queries._outcomes import (
    Answered,
    CallerOutcome,
    MayHaveRun,
    NotRun,
    Reason,
)
from oriolestage.core.queries._query import Query, ShardState
from oriolestage.core.queries._shard_dispatcher import (
    MIN_REDISPATCH_DELAY_S,
    ShardDispatcher,
)
from oriolestage.core.queries._shard_sender import ShardSender
from oriolestage.core.queries._snapshots import SnapshotCoordinator
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._target_selector import TargetSelector

#: How long before the deadline the caller is answered, in seconds.
ANSWER_MARGIN_S = 0.002
#: Delay before a shard is retried after its target was lost, in seconds.
SUSPECT_RETRY_DELAY_S = 0.05


class QueryRunner:
    """Runs all queries that arrived at this entry host."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        configuration: ConfigurationTracker,
        crashes: CrashRegister,
        selector: TargetSelector,
        attempts: AttemptTable,
        sender: ShardSender,
    ) -> None:
        """Start without queries."""
        self._outbox = outbox
        self._timers = timers
        self._configuration = configuration
        self._crashes = crashes
        self._selector = selector
        self._attempts = attempts
        self._sender = sender
        self._budget = ExtraLoadBudget(parameters)
        self._dispatcher = ShardDispatcher(
            parameters,
            timers,
            configuration,
            crashes,
            attempts,
            sender,
            self._budget,
            on_reply=self._on_reply,
            on_retry_due=self._on_retry_due,
        )
        self._snapshots = SnapshotCoordinator(
            timers,
            configuration,
            selector,
            attempts,
            self._dispatcher,
        )
        self._queries: dict[str, Query] = {}
        self._needed = 0
        self._retried = 0

    @property
    def in_flight(self) -> int:
        """Number of queries that have no answer yet."""
        return len(self._queries)

    @property
    def needed(self) -> int:
        """Number of shard requests that queries needed, one for each shard."""
        return self._needed

    @property
    def hedged(self) -> int:
        """Number of shard requests sent as hedges."""
        return self._dispatcher.hedged

    @property
    def retried(self) -> int:
        """Number of retries after an attempt that may have run."""
        return self._retried

    def start(self, request: CallerRequest, route: Route) -> None:
        """Start a query; its answer follows as an ``AnswerCaller`` effect."""
        now = self._timers.now
        timeout_ms = min(request.timeout_ms, route.timeout_ms)
        query = Query(
            request,
            route,
            self._configuration.index.services_of(route.group),
            now,
            now + timeout_ms / 1000 - ANSWER_MARGIN_S,
        )
        query.version = self._snapshots.best_version(query)
        self._queries[request.request_id] = query
        self._timers.call_at(query.deadline, lambda: self._finish(query))
        if route.policy is AnswerPolicy.LATENCY:
            answer_by = now + route.answer_by_ms / 1000 - ANSWER_MARGIN_S
            self._timers.call_at(answer_by, lambda: self._finish(query))
        if self._end_if_overloaded(query, query.shards):
            return
        for _ in query.shards:
            self._needed += 1
            self._budget.record_needed()
        self._dispatcher.dispatch_first(query)
        self._finish_if_settled(query)

    def cancel(self, request_id: str) -> None:
        """Cancel a query whose caller has disconnected."""
        query = self._queries.pop(request_id, None)
        if query is None:
            return
        query.ended = True
        self._attempts.cancel(query.attempts_in_flight)

    def _is_suspect(self, query: Query) -> bool:
        return self._crashes.crash_count(query.fingerprint) > 0

    def _on_reply(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        reply: ShardReply,
    ) -> None:
        shard.attempts.discard(reply.attempt)
        self._budget.record_answer(queued=reply.queued)
        if query.ended or shard.answer is not None:
            return
        match reply.outcome:
            case Answered():
                self._on_answer(query, shard, target, reply.outcome)
            case NotRun():
                shard.failure = reply.outcome
                self._on_not_run(query, shard, target, reply.outcome)
            case MayHaveRun():
                shard.failure = reply.outcome
                shard.may_have_run = True
                self._on_may_have_run(query, shard, target, reply.outcome)
        self._finish_if_settled(query)

    def _on_answer(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        answer: Answered,
    ) -> None:
        if query.version and answer.version != query.version:
            self._outbox.log(
                'answer_of_other_version',
                step='entry.merge',
                peer=target.name,
                request=query.request.request_id,
                version=answer.version,
            )
            shard.may_have_run = True
            self._dispatcher.dispatch_later(
                query, shard, MIN_REDISPATCH_DELAY_S
            )
            return
        shard.answer = answer
        self._crashes.record_answered(query.fingerprint)
        self._attempts.cancel(shard.attempts)
        shard.attempts.clear()
        latency_s = self._timers.now - query.started_at
        if shard.dispatches == 1:
            self._dispatcher.record_latency(query.route.group, latency_s)
            self._selector.record_latency(target.name, latency_s)
        self._dispatcher.dispatch_after_canary(query)

    def _on_not_run(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        refusal: NotRun,
    ) -> None:
        wait_s = refusal.retry_after_ms / 1000
        if refusal.reason is Reason.QUARANTINED:
            self._end_quarantined(query, refusal.retry_after_ms)
            return
        if refusal.reason is Reason.SNAPSHOT_UNAVAILABLE:
            self._snapshots.restart_if_needed(query, shard)
            return
        available_at = self._timers.now + wait_s
        if refusal.reason is Reason.OVERLOADED:
            self._selector.record_overloaded(target.name, available_at)
            if self._end_if_overloaded(query, [shard]):
                return
        else:
            self._selector.record_unavailable(target.name, available_at)
        if not shard.attempts:
            self._dispatcher.dispatch_again(query, shard)

    def _on_may_have_run(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        failure: MayHaveRun,
    ) -> None:
        target_lost = failure.reason is Reason.TARGET_LOST
        if target_lost:
            self._crashes.record_crash(query.fingerprint, target.name)
        if shard.attempts or not self._budget.try_acquire():
            return
        self._retried += 1
        if target_lost and self._is_suspect(query):
            # Leave time for an answer of another shard, which shows that the
            # request does not make targets crash.
            self._dispatcher.dispatch_later(query, shard, SUSPECT_RETRY_DELAY_S)
            return
        self._dispatcher.dispatch_again(query, shard)

    def _on_retry_due(self, query: Query, shard: ShardState) -> None:
        quarantine_s = self._crashes.quarantine_left_s(query.fingerprint)
        if quarantine_s > 0:
            self._end_quarantined(query, int(quarantine_s * 1000))
            return
        self._dispatcher.dispatch(query, [shard])
        self._finish_if_settled(query)

    def _finish_if_settled(self, query: Query) -> None:
        if query.ended or not query.settled:
            return
        if self._dispatcher.dispatch_next_canary(query):
            return
        if self._snapshots.reread_mixed(query) and not query.settled:
            return
        self._finish(query)

    def _end_quarantined(self, query: Query, retry_after_ms: int) -> None:
        self._end(query, quarantine_outcome(query, retry_after_ms))

    def _end_if_overloaded(
        self,
        query: Query,
        shards: Iterable[ShardState],
    ) -> bool:
        """End a query if a shard has only overloaded targets.

        Return whether the query was ended.
        """
        outcome = overload_outcome(query, shards, self._sender)
        if outcome is None:
            return False
        self._end(query, outcome)
        return True

    def _finish(self, query: Query) -> None:
        if query.ended:
            return
        self._end(query, query.outcome())

    def _end(self, query: Query, outcome: CallerOutcome) -> None:
        query.ended = True
        self._queries.pop(query.request.request_id, None)
        self._attempts.cancel(query.attempts_in_flight)
        self._outbox.add(AnswerCaller(query.request.request_id, outcome))
