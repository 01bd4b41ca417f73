"""Sends the shards of queries to targets, with hedges and delayed retries."""

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

#: Minimum delay before a shard is sent again, in seconds.
MIN_REDISPATCH_DELAY_S = 0.005
#: Retry delay suggested when no target accepts work, in milliseconds; also
#: the upper bound of the suggested delay until a target is available.
NO_TARGET_RETRY_MS = 1000

#: Handles the reply to an attempt of a shard at a target.
OnReply = Callable[[Query, ShardState, Target, ShardReply], None]


class ShardDispatcher:
    """Chooses targets for the shards of queries and sends them."""

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
        on_retry_due: Callable[[Query, ShardState], None],
    ) -> None:
        """Start without shards in flight.

        ``on_reply`` gets the reply to each attempt. ``on_retry_due`` gets each
        shard that ``dispatch_later`` delayed, once it is due.
        """
        self._parameters = parameters
        self._timers = timers
        self._configuration = configuration
        self._crashes = crashes
        self._attempts = attempts
        self._sender = sender
        self._budget = budget
        self._on_reply = on_reply
        self._on_retry_due = on_retry_due
        self._hedge_delays: dict[str, HedgeDelay] = {}
        self._hedge_count = 0

    @property
    def hedged(self) -> int:
        """Number of shard requests sent as hedges."""
        return self._hedge_count

    def record_latency(self, group: str, latency_s: float) -> None:
        """Record the latency of a shard that was sent only once."""
        self._hedge_delay_of(group).record_latency(latency_s)

    def dispatch_first(self, query: Query) -> None:
        """Send all shards of a query, or its canary if it is suspect.

        After a target was lost while it ran this request, one shard is sent
        first: if the request makes targets crash, it loses one target instead
        of one in each shard.
        """
        if self._crashes.crash_count(query.fingerprint):
            query.canary_pending = True
            self.dispatch(query, query.shards[:1])
            return
        self.dispatch(query, query.shards)

    def dispatch_next_canary(self, query: Query) -> bool:
        """Send the next shard alone after a canary that no target ran.

        Return whether the query goes on.
        """
        while query.canary_pending and query.settled and not query.ended:
            shard = query.next_canary()
            if shard is None:
                return False
            self.dispatch(query, [shard])
        return query.ended or not query.settled

    def dispatch_after_canary(self, query: Query) -> None:
        """Send the shards that waited for the answer of the canary."""
        if not query.canary_pending:
            return
        query.canary_pending = False
        remaining = [
            shard
            for shard in query.shards
            if not shard.dispatches and not shard.waiting
        ]
        if remaining:
            self.dispatch(query, remaining)

    def dispatch(
        self,
        query: Query,
        shards: Iterable[ShardState],
    ) -> None:
        """Send each shard to a target, or schedule it for when one is free."""
        entries: list[ShardEntry] = []
        for shard in shards:
            target = self._choose(query, shard)
            if target is None:
                self._wait_or_fail(query, shard)
                continue
            entries.append(self._register(query, shard, target))
        self._sender.send(_dispatch_of(query), entries)

    def _choose(self, query: Query, shard: ShardState) -> Target | None:
        busy_targets = frozenset(
            self._attempts.target_of(number) for number in shard.attempts
        )
        return self._sender.choose(
            shard.service,
            query.version,
            busy_targets,
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
                self._hedge_delay_of(query.route.group).delay_s,
                lambda: self._hedge(query, shard),
            )
        return entry

    def _hedge_delay_of(self, group: str) -> HedgeDelay:
        delay = self._hedge_delays.get(group)
        if delay is None:
            delay = HedgeDelay(self._parameters.min_hedge_delay_s)
            self._hedge_delays[group] = delay
        return delay

    def _hedge(self, query: Query, shard: ShardState) -> None:
        one_attempt = len(shard.attempts) == 1
        if query.ended or shard.answer is not None or not one_attempt:
            return
        if self._budget.hedging_suspended or self._crashes.crash_count(
            query.fingerprint
        ):
            return
        target = self._choose(query, shard)
        if target is None or not self._budget.try_acquire():
            return
        self._hedge_count += 1
        entry = self._register(query, shard, target)
        self._sender.send(_dispatch_of(query), [entry])

    def dispatch_again(self, query: Query, shard: ShardState) -> None:
        """Send a shard again unless it has used up its attempts."""
        if shard.dispatches >= self._parameters.attempts_per_shard:
            return
        self.dispatch(query, [shard])

    def _wait_or_fail(self, query: Query, shard: ShardState) -> None:
        if shard.attempts:
            return
        candidates = self._configuration.index.serving_targets_of(shard.service)
        available_at = self._sender.available_at(shard.service, query.version)
        if not candidates:
            shard.failure = NotRun(
                Reason.NO_TARGET,
                'entry.dispatch',
                shard.service,
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
            return
        if available_at >= query.deadline:
            if shard.failure is None:
                shard.failure = self._no_target_until(shard, available_at)
            return
        self.dispatch_later(query, shard, available_at - self._timers.now)

    def _no_target_until(
        self, shard: ShardState, available_at: float
    ) -> NotRun:
        wait_s = min(available_at - self._timers.now, NO_TARGET_RETRY_MS / 1000)
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
        """Schedule a shard to be sent again after a delay.

        Does nothing if it is already scheduled or has used up its attempts.
        """
        if shard.waiting:
            return
        if shard.dispatches >= self._parameters.attempts_per_shard:
            return
        shard.waiting = True
        self._timers.call_after(
            max(MIN_REDISPATCH_DELAY_S, delay_s),
            lambda: self._on_delay_over(query, shard),
        )

    def _on_delay_over(self, query: Query, shard: ShardState) -> None:
        shard.waiting = False
        if query.ended or shard.answer is not None:
            return
        self._on_retry_due(query, shard)


def _dispatch_of(query: Query) -> Dispatch:
    return Dispatch(
        query.request,
        query.fingerprint,
        query.version,
        query.deadline,
        idempotent=True,
    )
