"""Admission control for the targets that this host owns.

A target is owned by one host at a time, so its slots, connections and slow
start are tracked in one place.
"""

from collections.abc import Callable

from oriolestage.core._effects import Outbox
from oriolestage.core._messages import CancelAttempts, ShardBatch, ShardReply
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._outcomes import (
    MayHaveRun,
    NotRun,
    Reason,
    ShardOutcome,
)
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._owned_targets import (
    OWNER_RETRY_MS,
    UNAVAILABLE_RETRY_MS,
    OwnedTargets,
)
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger
from oriolestage.core.targets._target_calls import FAILURE_RETRY_MS, TargetCalls
from oriolestage.core.targets._target_limiter import TargetLimiter
from oriolestage.core.targets._target_results import TargetResult

#: Part of the timeout that is reserved for sending the reply, in seconds.
REPLY_MARGIN_S = 0.005


class TargetOwner:
    """Sends, queues or refuses shard requests for owned targets."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerMessenger,
        crashes: CrashRegister,
        may_start: Callable[[], bool],
    ) -> None:
        """Create an owner without targets.

        ``may_start`` returns whether new work may be sent to targets at all.
        """
        self._timers = timers
        self._configuration = configuration
        self._crashes = crashes
        self._may_start = may_start
        self._outbox = outbox
        self._owned = OwnedTargets(
            parameters,
            outbox,
            timers,
            membership,
            configuration,
            ownership,
            peers,
            on_capacity=self._dispatch,
            on_reacquired=self._move_calls,
        )
        self._replies = self._owned.replies
        self._calls = TargetCalls(outbox, timers, crashes, self._replies)

    @property
    def owned(self) -> OwnedTargets:
        """The targets that this host owns."""
        return self._owned

    @property
    def calls_in_flight(self) -> int:
        """Number of calls to targets that have not ended."""
        return self._calls.in_flight

    def on_batch(self, batch: ShardBatch) -> None:
        """Send, queue or refuse each shard request of a batch."""
        timeout_s = batch.timeout_ms / 1000 - REPLY_MARGIN_S
        deadline = self._timers.now + timeout_s
        replies: list[ShardReply] = []
        for entry in batch.entries:
            task = ShardTask(batch.sender, entry, batch, deadline)
            try:
                refusal = self._start_or_refuse(task)
            except Exception as error:
                self._outbox.log_failure('owner.admission', error)
                refusal = MayHaveRun(
                    Reason.TARGET_ERROR, 'owner.admission', entry.target
                )
            if refusal is not None:
                replies.append(self._replies.build_reply(task, refusal))
        self._replies.send(batch.sender, replies)

    def on_cancel(self, message: CancelAttempts) -> None:
        """Drop queued requests and cancel those in flight."""
        for limiter in self._owned.limiters:
            if not len(limiter.queue):
                continue
            for attempt in message.attempts:
                limiter.queue.remove(message.sender, attempt)
        self._calls.cancel(message)

    def on_target_result(self, number: int, outcome: TargetResult) -> None:
        """Handle the result of a call and send queued requests."""
        limiter = self._calls.end(number, outcome)
        if limiter is None:
            return
        name = limiter.target.name
        if self._owned.find(name) is limiter:
            self._after_call(limiter)
        elif not limiter.in_flight:
            self._owned.on_target_idle(name)

    def _start_or_refuse(self, task: ShardTask) -> ShardOutcome | None:
        """Send or queue a shard request, or return why it is refused."""
        refusal = self._refusal_for(task)
        limiter = self._owned.find(task.entry.target)
        if refusal is None and limiter is not None:
            return self._admit(task, limiter)
        return refusal

    def _refusal_for(self, task: ShardTask) -> NotRun | None:
        name = task.entry.target
        limiter = self._owned.find(name)
        if not self._may_start():
            return self._replies.build_refusal(
                task,
                Reason.STALE_CONFIGURATION,
                UNAVAILABLE_RETRY_MS,
            )
        if limiter is None:
            return self._replies.build_refusal(
                task, Reason.NOT_OWNER, OWNER_RETRY_MS
            )
        quarantine_s = self._crashes.refuse_for_s(task.batch.fingerprint)
        if quarantine_s > 0:
            wait_ms = int(quarantine_s * 1000)
            return self._replies.build_refusal(
                task, Reason.QUARANTINED, wait_ms
            )
        if not self._configuration.index.may_take_work(name):
            return self._replies.build_refusal(
                task, Reason.NOT_ACCEPTING, UNAVAILABLE_RETRY_MS
            )
        return self._refusal_by_state(task, limiter)

    def _refusal_by_state(
        self,
        task: ShardTask,
        limiter: TargetLimiter,
    ) -> NotRun | None:
        now = self._timers.now
        match limiter.state:
            case 'acquiring':
                return self._replies.build_refusal(
                    task, Reason.ACQUIRING, OWNER_RETRY_MS
                )
            case 'leaving':
                return self._replies.build_refusal(
                    task, Reason.NOT_ACCEPTING, UNAVAILABLE_RETRY_MS
                )
            case 'lost' if now < limiter.lost_until:
                wait_ms = int((limiter.lost_until - now) * 1000) + 1
                return self._replies.build_refusal(
                    task, Reason.TARGET_LOST, wait_ms
                )
            case 'lost':
                limiter.fire('probe_due')
        if not limiter.may_serve(task.batch.version, now):
            return self._replies.build_refusal(
                task,
                Reason.SNAPSHOT_UNAVAILABLE,
                OWNER_RETRY_MS,
            )
        return None

    def _admit(self, task: ShardTask, limiter: TargetLimiter) -> NotRun | None:
        if limiter.has_capacity and not len(limiter.queue):
            self._calls.start(limiter, task, queued=False)
            return None
        wait_s = limiter.expected_wait_s()
        in_time = self._timers.now + wait_s <= task.deadline
        if in_time and limiter.queue.offer(task):
            return None
        wait_ms = int(wait_s * 1000) + 1
        return self._replies.build_refusal(task, Reason.OVERLOADED, wait_ms)

    def _dispatch(self, limiter: TargetLimiter) -> None:
        while limiter.has_capacity:
            task = limiter.queue.take()
            if task is None:
                return
            refusal = self._refusal_when_dequeued(task)
            if refusal is None:
                self._calls.start(limiter, task, queued=True)
                continue
            self._replies.send_outcome(task, refusal, queued=True)

    def _refusal_when_dequeued(self, task: ShardTask) -> NotRun | None:
        if self._timers.now >= task.deadline:
            return self._replies.build_refusal(task, Reason.DEADLINE, 0)
        return self._refusal_for(task)

    def _after_call(self, limiter: TargetLimiter) -> None:
        if limiter.state in {'leaving', 'lost'}:
            for task in limiter.queue.drain():
                refusal = self._refusal_for(task)
                if refusal is not None:
                    self._replies.send_outcome(task, refusal, queued=True)
                elif not limiter.queue.offer(task):
                    self._replies.refuse_queued(
                        task, Reason.OVERLOADED, FAILURE_RETRY_MS
                    )
            return
        self._dispatch(limiter)

    def _move_calls(self, old: TargetLimiter, limiter: TargetLimiter) -> None:
        self._calls.move_calls(old, limiter)
