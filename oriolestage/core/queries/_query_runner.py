"""Runs queries: fan-out, retries, hedges, one snapshot, early answers."""

from collections.abc import Iterable

from oriolestage.core._effects import AnswerCaller, Outbox
from oriolestage.core._messages import ShardEntry, ShardReply
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import (
    AnswerPolicy,
    Route,
    Target,
)
from oriolestage.core.configuration._configuration_keeper import (
    ConfigurationKeeper,
)
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._extra_load import ExtraLoadBudget, HedgeDelay
from oriolestage.core.queries._outcomes import (
    Answered,
    CallerOutcome,
    MayHaveRun,
    NotRun,
    QueryAnswer,
    Reason,
)
from oriolestage.core.queries._query import Query, ShardState
from oriolestage.core.queries._shard_sender import Dispatch, ShardSender
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._target_knowledge import TargetKnowledge

#: Times that a query may start again on another snapshot.
RESTART_LIMIT = 2
#: Shortest wait before a shard is dispatched again, in seconds.
REDISPATCH_FLOOR_S = 0.005
#: Time by which the entry answers ahead of the deadline, in seconds.
ANSWER_MARGIN_S = 0.002
#: Wait before a shard is retried after its target was lost, in seconds.
SUSPECT_WAIT_S = 0.05
#: Suggested wait when no target of a shard may take work, in milliseconds.
NO_TARGET_RETRY_MS = 1000


class QueryRunner:
    """Keeps all queries that came in at this host."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        keeper: ConfigurationKeeper,
        crashes: CrashRegister,
        knowledge: TargetKnowledge,
        attempts: AttemptTable,
        sender: ShardSender,
    ) -> None:
        """Start without queries."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._keeper = keeper
        self._crashes = crashes
        self._knowledge = knowledge
        self._attempts = attempts
        self._sender = sender
        self._budget = ExtraLoadBudget(parameters)
        self._hedge_delays: dict[str, HedgeDelay] = {}
        self._queries: dict[str, Query] = {}
        self._needed = 0
        self._hedged = 0
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
        return self._hedged

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
            self._keeper.index.services_of(route.group),
            now,
            now + timeout_ms / 1000 - ANSWER_MARGIN_S,
        )
        query.version = self._best_version(query)
        self._queries[request.request_id] = query
        self._timers.call_at(
            query.deadline,
            lambda: self._finish(query),
        )
        if route.policy is AnswerPolicy.LATENCY:
            answer_by = now + route.answer_by_ms / 1000 - ANSWER_MARGIN_S
            self._timers.call_at(answer_by, lambda: self._finish(query))
        if self._end_if_overloaded(query, query.shards):
            return
        for _ in query.shards:
            self._needed += 1
            self._budget.note_needed()
        self._dispatch_shards(query, self._first_wave(query))
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

    def _best_version(self, query: Query) -> int:
        """Give the newest version that most shards can serve; 0 is any."""
        now = self._timers.now
        servable = [
            self._knowledge.servable(
                self._keeper.index.serving_targets_of(shard.service),
                now,
            )
            for shard in query.shards
        ]
        candidates = query.answered_versions().union(*servable)
        best = 0
        best_shards = 0
        for version in sorted(candidates, reverse=True):
            shards = sum(
                not versions or version in versions for versions in servable
            )
            if shards > best_shards:
                best = version
                best_shards = shards
        return best

    # Sending.

    def _dispatch_shards(
        self,
        query: Query,
        shards: Iterable[ShardState],
    ) -> None:
        entries: list[ShardEntry] = []
        for shard in shards:
            target = self._choose(query, shard)
            if target is None:
                self._wait_or_give_up(query, shard)
                continue
            entries.append(self._register(query, shard, target))
        self._sender.send(_dispatch_of(query), entries)

    def _choose(self, query: Query, shard: ShardState) -> Target | None:
        busy = frozenset(
            self._attempts.target_of(number) for number in shard.attempts
        )
        return self._sender.choose(
            shard.service,
            query.version,
            busy,
            frozenset(shard.tried),
        )

    def _register(
        self,
        query: Query,
        shard: ShardState,
        target: Target,
    ) -> ShardEntry:
        entry = self._sender.register(
            target,
            lambda reply: self._on_reply(query, shard, target, reply),
        )
        shard.attempts.add(entry.attempt)
        shard.tried.add(target.name)
        shard.dispatches += 1
        if shard.dispatches == 1:
            self._timers.call_after(
                self._delay_of(query.route.group).delay_s,
                lambda: self._hedge(query, shard),
            )
        return entry

    def _delay_of(self, group: str) -> HedgeDelay:
        delay = self._hedge_delays.get(group)
        if delay is None:
            delay = HedgeDelay(self._parameters.hedge_floor_s)
            self._hedge_delays[group] = delay
        return delay

    def _hedge(self, query: Query, shard: ShardState) -> None:
        waiting_for_one = len(shard.attempts) == 1
        if query.ended or shard.answer is not None or not waiting_for_one:
            return
        if self._budget.overloaded or self._is_suspect(query):
            return
        target = self._choose(query, shard)
        if target is None or not self._budget.take():
            return
        self._hedged += 1
        entry = self._register(query, shard, target)
        self._sender.send(_dispatch_of(query), [entry])

    def _is_suspect(self, query: Query) -> bool:
        return self._crashes.losses(query.fingerprint) > 0

    # Replies.

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
            self._dispatch_later(query, shard, REDISPATCH_FLOOR_S)
            return
        shard.answer = answer
        self._crashes.note_survived(query.fingerprint)
        self._attempts.cancel(shard.attempts)
        shard.attempts.clear()
        latency_s = self._timers.now - query.started_at
        if shard.dispatches == 1:
            self._delay_of(query.route.group).note_latency(latency_s)
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
            self._dispatch_shards(query, fresh)

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
            self._restart_if_needed(query, shard)
            return
        until = self._timers.now + wait_s
        if refusal.reason is Reason.OVERLOADED:
            self._knowledge.note_overloaded(target.name, until)
            if self._end_if_overloaded(query, [shard]):
                return
        else:
            self._knowledge.note_unavailable(target.name, until)
        if not shard.attempts:
            self._dispatch_again(query, shard)

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
            self._dispatch_later(query, shard, SUSPECT_WAIT_S)
            return
        self._dispatch_again(query, shard)

    def _dispatch_again(self, query: Query, shard: ShardState) -> None:
        if shard.dispatches >= self._parameters.attempts_per_shard:
            return
        self._dispatch_shards(query, [shard])

    def _wait_or_give_up(self, query: Query, shard: ShardState) -> None:
        if shard.attempts:
            return
        candidates = self._keeper.index.serving_targets_of(shard.service)
        at = self._sender.available_at(shard.service, query.version)
        if not candidates:
            shard.failure = NotRun(
                Reason.NO_TARGET,
                'entry.dispatch',
                shard.service,
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
            return
        if at >= query.deadline:
            if shard.failure is None:
                shard.failure = self._unavailable(shard, at)
            return
        self._dispatch_later(query, shard, at - self._timers.now)

    def _unavailable(self, shard: ShardState, at: float) -> NotRun:
        wait_s = min(at - self._timers.now, NO_TARGET_RETRY_MS / 1000)
        return NotRun(
            Reason.NO_TARGET,
            'entry.dispatch',
            shard.service,
            retry_after_ms=int(wait_s * 1000),
        )

    def _dispatch_later(
        self,
        query: Query,
        shard: ShardState,
        delay_s: float,
    ) -> None:
        if shard.waiting:
            return
        if shard.dispatches >= self._parameters.attempts_per_shard:
            return
        shard.waiting = True
        self._timers.call_after(
            max(REDISPATCH_FLOOR_S, delay_s),
            lambda: self._end_wait(query, shard),
        )

    def _end_wait(self, query: Query, shard: ShardState) -> None:
        shard.waiting = False
        if query.ended or shard.answer is not None:
            return
        quarantine_s = self._crashes.quarantine_left_s(query.fingerprint)
        if quarantine_s > 0:
            self._give_up_all(query, int(quarantine_s * 1000))
            return
        self._dispatch_shards(query, [shard])
        self._check(query)

    # Snapshots.

    def _restart_if_needed(self, query: Query, shard: ShardState) -> None:
        candidates = self._keeper.index.serving_targets_of(shard.service)
        for target in candidates:
            if self._knowledge.may_serve(
                target.name,
                query.version,
                self._timers.now,
            ):
                self._dispatch_again(query, shard)
                return
        version = self._best_version(query)
        if version == query.version or not self._may_restart(query):
            return
        self._restart(query, version)

    def _may_restart(self, query: Query) -> bool:
        return query.restarts < RESTART_LIMIT

    def _restart(self, query: Query, version: int) -> None:
        query.restarts += 1
        query.version = version
        again: list[ShardState] = []
        for shard in query.shards:
            if shard.answer is not None and shard.answer.version == version:
                continue
            self._attempts.cancel(shard.attempts)
            shard.attempts.clear()
            query.ask_again(shard)
            if not shard.waiting:
                again.append(shard)
        self._dispatch_shards(query, again)

    def _settle_snapshot(self, query: Query) -> bool:
        """Ask again where answers do not fit; tell whether that was done."""
        if not self._may_restart(query):
            return False
        if len(query.answered_versions()) > 1:
            version = self._best_version(query)
            if version:
                self._restart(query, version)
                return True
        if query.is_torn():
            self._ask_older_partitions_again(query)
            return True
        return False

    def _ask_older_partitions_again(self, query: Query) -> None:
        query.restarts += 1
        newest = query.newest_partition_revision()
        again: list[ShardState] = []
        for shard in query.shards:
            answer = shard.answer
            if answer is None or answer.partition_revision == newest:
                continue
            query.ask_again(shard)
            again.append(shard)
        self._dispatch_shards(query, again)

    # Ending.

    def _check(self, query: Query) -> None:
        if query.ended or not query.settled:
            return
        if self._settle_snapshot(query) and not query.settled:
            return
        self._finish(query)

    def _give_up_all(self, query: Query, retry_after_ms: int) -> None:
        refusal = MayHaveRun if query.ran_somewhere() else NotRun
        self._end(
            query,
            refusal(
                Reason.QUARANTINED,
                'entry.dispatch',
                query.route.group,
                retry_after_ms=retry_after_ms,
            ),
        )

    def _end_if_overloaded(
        self,
        query: Query,
        shards: Iterable[ShardState],
    ) -> bool:
        """End a query at once if a shard has no target with room.

        What is left of the targets' time then goes to queries that can still
        be whole, and the caller hears at once when to come back.
        """
        for shard in shards:
            wait_s = self._sender.overloaded_for(shard.service, query.version)
            if wait_s <= 0 or shard.attempts:
                continue
            refusal = MayHaveRun if query.ran_somewhere() else NotRun
            shard.failure = refusal(
                Reason.OVERLOADED,
                'entry.admission',
                shard.service,
                retry_after_ms=int(wait_s * 1000) + 1,
            )
            outcome = query.outcome()
            answered = isinstance(outcome, QueryAnswer)
            self._end(query, outcome if answered else shard.failure)
            return True
        return False

    def _finish(self, query: Query) -> None:
        if query.ended:
            return
        self._end(query, query.outcome())

    def _end(self, query: Query, outcome: CallerOutcome) -> None:
        query.ended = True
        self._queries.pop(query.request.request_id, None)
        self._attempts.cancel(query.in_flight)
        self._outbox.add(AnswerCaller(query.request.request_id, outcome))


def _dispatch_of(query: Query) -> Dispatch:
    return Dispatch(
        query.request,
        query.fingerprint,
        query.version,
        query.deadline,
        idempotent=True,
    )
