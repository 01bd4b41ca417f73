"""Runs queries: fan-out, retries, hedges, one snapshot, early answers."""

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
from oriolestage.core.queries._early_ends import (
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
    REDISPATCH_FLOOR_S,
    ShardDispatcher,
)
from oriolestage.core.queries._shard_sender import ShardSender
from oriolestage.core.queries._snapshots import SnapshotKeeper
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._target_knowledge import TargetKnowledge

#: Time by which the entry answers ahead of the deadline, in seconds.
ANSWER_MARGIN_S = 0.002
#: Wait before a shard is retried after its target was lost, in seconds.
SUSPECT_WAIT_S = 0.05


class QueryRunner:
    """Keeps all queries that came in at this host."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        configuration: ConfigurationTracker,
        crashes: CrashRegister,
        knowledge: TargetKnowledge,
        attempts: AttemptTable,
        sender: ShardSender,
    ) -> None:
        """Start without queries."""
        self._outbox = outbox
        self._timers = timers
        self._configuration = configuration
        self._crashes = crashes
        self._knowledge = knowledge
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
            on_wait_over=self._on_wait_over,
        )
        self._snapshots = SnapshotKeeper(
            timers,
            configuration,
            knowledge,
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
        """Shard requests that the queries needed, one for each shard."""
        return self._needed

    @property
    def hedged(self) -> int:
        """Shard requests sent as hedges."""
        return self._dispatcher.hedged

    @property
    def retried(self) -> int:
        """Shard requests sent again after the first may have run."""
        return self._retried

    def start(self, request: CallerRequest, route: Route) -> None:
        """Begin a query; its answer comes as an effect."""
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
            self._budget.note_needed()
        self._dispatcher.dispatch(query, self._first_wave(query))
        self._check(query)

    def cancel(self, request_id: str) -> None:
        """Drop a query whose caller has gone."""
        query = self._queries.pop(request_id, None)
        if query is None:
            return
        query.ended = True
        self._attempts.cancel(query.in_flight)

    def _first_wave(self, query: Query) -> list[ShardState]:
        # A request that already cost a target is tried on one shard alone.
        if self._crashes.losses(query.fingerprint):
            query.held_back = True
            return query.shards[:1]
        return query.shards

    def _is_suspect(self, query: Query) -> bool:
        return self._crashes.losses(query.fingerprint) > 0

    def _on_reply(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        reply: ShardReply,
    ) -> None:
        shard.attempts.discard(reply.attempt)
        self._budget.note_answer(queued=reply.queued)
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
        self._check(query)

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
            self._dispatcher.dispatch_later(query, shard, REDISPATCH_FLOOR_S)
            return
        shard.answer = answer
        self._crashes.note_survived(query.fingerprint)
        self._attempts.cancel(shard.attempts)
        shard.attempts.clear()
        latency_s = self._timers.now - query.started_at
        if shard.dispatches == 1:
            self._dispatcher.note_latency(query.route.group, latency_s)
            self._knowledge.note_latency(target.name, latency_s)
        self._release_rest(query)

    def _release_rest(self, query: Query) -> None:
        if not query.held_back:
            return
        query.held_back = False
        fresh = [
            shard
            for shard in query.shards
            if not shard.dispatches and not shard.waiting
        ]
        if fresh:
            self._dispatcher.dispatch(query, fresh)

    def _on_not_run(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        refusal: NotRun,
    ) -> None:
        wait_s = refusal.retry_after_ms / 1000
        if refusal.reason is Reason.QUARANTINED:
            self._give_up_all(query, refusal.retry_after_ms)
            return
        if refusal.reason is Reason.SNAPSHOT_UNAVAILABLE:
            self._snapshots.restart_if_needed(query, shard)
            return
        until = self._timers.now + wait_s
        if refusal.reason is Reason.OVERLOADED:
            self._knowledge.note_overloaded(target.name, until)
            if self._end_if_overloaded(query, [shard]):
                return
        else:
            self._knowledge.note_unavailable(target.name, until)
        if not shard.attempts:
            self._dispatcher.dispatch_again(query, shard)

    def _on_may_have_run(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
        failure: MayHaveRun,
    ) -> None:
        lost = failure.reason is Reason.TARGET_LOST
        if lost:
            self._crashes.note_loss(query.fingerprint, target.name)
        if shard.attempts or not self._budget.take():
            return
        self._retried += 1
        if lost and self._is_suspect(query):
            # Other shards may yet show that the request is harmless.
            self._dispatcher.dispatch_later(query, shard, SUSPECT_WAIT_S)
            return
        self._dispatcher.dispatch_again(query, shard)

    def _on_wait_over(self, query: Query, shard: ShardState) -> None:
        quarantine_s = self._crashes.quarantine_left_s(query.fingerprint)
        if quarantine_s > 0:
            self._give_up_all(query, int(quarantine_s * 1000))
            return
        self._dispatcher.dispatch(query, [shard])
        self._check(query)

    def _check(self, query: Query) -> None:
        if query.ended or not query.settled:
            return
        if self._snapshots.settle(query) and not query.settled:
            return
        self._finish(query)

    def _give_up_all(self, query: Query, retry_after_ms: int) -> None:
        self._end(query, quarantine_outcome(query, retry_after_ms))

    def _end_if_overloaded(
        self,
        query: Query,
        shards: Iterable[ShardState],
    ) -> bool:
        """End a query at once if a shard has no target with room."""
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
        self._attempts.cancel(query.in_flight)
        self._outbox.add(AnswerCaller(query.request.request_id, outcome))
