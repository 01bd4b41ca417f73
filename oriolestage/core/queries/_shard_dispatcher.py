"""Sends the shards of queries: the choice of targets, hedges and waits."""

from collections.abc import Callable, Iterable

from oriolestage.core._messages import ShardEntry, ShardReply
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._extra_load import ExtraLoadBudget, HedgeDelay
from oriolestage.core.queries._outcomes import NotRun, Reason
from oriolestage.core.queries._query import Query, ShardState
from oriolestage.core.queries._shard_sender import Dispatch, ShardSender
from oriolestage.core.targets._crashes import CrashRegister

#: Shortest wait before a shard is dispatched again, in seconds.
REDISPATCH_FLOOR_S = 0.005
#: Suggested wait when no target of a shard may take work, in milliseconds.
NO_TARGET_RETRY_MS = 1000

#: Takes the reply to a shard request of a query at a target.
OnReply = Callable[[Query, ShardState, Target, ShardReply], None]


class ShardDispatcher:
    """Sends shards to targets for the queries of this host."""

    def __init__(
        self,
        parameters: Parameters,
        timers: Timers,
        configuration: ConfigurationTracker,
        crashes: CrashRegister,
        attempts: AttemptTable,
        sender: ShardSender,
        budget: ExtraLoadBudget,
        on_reply: OnReply,
        on_wait_over: Callable[[Query, ShardState], None],
    ) -> None:
        """Hand replies to ``on_reply`` and shards to send again back."""
        self._parameters = parameters
        self._timers = timers
        self._configuration = configuration
        self._crashes = crashes
        self._attempts = attempts
        self._sender = sender
        self._budget = budget
        self._on_reply = on_reply
        self._on_wait_over = on_wait_over
        self._hedge_delays: dict[str, HedgeDelay] = {}
        self._hedged = 0

    @property
    def hedged(self) -> int:
        """Shard requests sent as hedges."""
        return self._hedged

    def note_latency(self, group: str, latency_s: float) -> None:
        """Take in the latency of a shard that was sent once."""
        self._delay_of(group).note_latency(latency_s)

    def dispatch(
        self,
        query: Query,
        shards: Iterable[ShardState],
    ) -> None:
        """Send each shard to a target, or wait until one may take it."""
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
            delay = HedgeDelay(self._parameters.min_hedge_delay_s)
            self._hedge_delays[group] = delay
        return delay

    def _hedge(self, query: Query, shard: ShardState) -> None:
        waiting_for_one = len(shard.attempts) == 1
        if query.ended or shard.answer is not None or not waiting_for_one:
            return
        if self._budget.overloaded or self._crashes.losses(query.fingerprint):
            return
        target = self._choose(query, shard)
        if target is None or not self._budget.take():
            return
        self._hedged += 1
        entry = self._register(query, shard, target)
        self._sender.send(_dispatch_of(query), [entry])

    def dispatch_again(self, query: Query, shard: ShardState) -> None:
        """Send a shard again, unless it was sent often enough."""
        if shard.dispatches >= self._parameters.attempts_per_shard:
            return
        self.dispatch(query, [shard])

    def _wait_or_give_up(self, query: Query, shard: ShardState) -> None:
        if shard.attempts:
            return
        candidates = self._configuration.index.serving_targets_of(shard.service)
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
        self.dispatch_later(query, shard, at - self._timers.now)

    def _unavailable(self, shard: ShardState, at: float) -> NotRun:
        wait_s = min(at - self._timers.now, NO_TARGET_RETRY_MS / 1000)
        return NotRun(
            Reason.NO_TARGET,
            'entry.dispatch',
            shard.service,
            retry_after_ms=int(wait_s * 1000),
        )

    def dispatch_later(
        self,
        query: Query,
        shard: ShardState,
        delay_s: float,
    ) -> None:
        """Send a shard again after a while."""
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
        self._on_wait_over(query, shard)


def _dispatch_of(query: Query) -> Dispatch:
    return Dispatch(
        query.request,
        query.fingerprint,
        query.version,
        query.deadline,
        idempotent=True,
    )
