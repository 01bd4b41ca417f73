"""Calls to owned targets and the outcomes that follow from them."""

import dataclasses

from oriolestage.core._effects import CallTarget, CancelTargetCall, Outbox
from oriolestage.core._messages import CancelAttempts
from oriolestage.core._timers import Timers
from oriolestage.core.queries._outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    ShardOutcome,
)
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._owned_targets import OWNER_RETRY_MS
from oriolestage.core.targets._shard_replies import ShardReplySender
from oriolestage.core.targets._target_limiter import TargetLimiter
from oriolestage.core.targets._target_results import (
    TargetAnswered,
    TargetConnectionLost,
    TargetFailed,
    TargetNotReached,
    TargetRefused,
    TargetResult,
    TargetTimedOut,
)

#: Time that a target gets to abort a request after its timeout, in ms. A call
#: without an answer keeps its slot until then.
TARGET_TIMEOUT_GRACE_MS = 150
#: Suggested retry delay after an unexpected failure, in ms.
FAILURE_RETRY_MS = 100


@dataclasses.dataclass(slots=True)
class ActiveCall:
    """One shard request in flight at a target."""

    task: ShardTask
    limiter: TargetLimiter
    sent_at: float
    queued: bool
    #: True when the entry host no longer waits for the answer. The call
    #: still counts as in flight until it ends.
    abandoned: bool = False


class TargetCalls:
    """Sends shard requests to targets and their outcomes to entry hosts."""

    def __init__(
        self,
        outbox: Outbox,
        timers: Timers,
        crashes: CrashRegister,
        replies: ShardReplySender,
    ) -> None:
        """Create a table without calls."""
        self._outbox = outbox
        self._timers = timers
        self._crashes = crashes
        self._replies = replies
        self._calls: dict[int, ActiveCall] = {}
        self._call_number = 0

    @property
    def in_flight(self) -> int:
        """Number of calls to targets that have not ended."""
        return len(self._calls)

    def move_calls(self, old: TargetLimiter, limiter: TargetLimiter) -> None:
        """Assign the calls of a target's old limiter to its new one."""
        for call in self._calls.values():
            if call.limiter is old:
                call.limiter = limiter

    def cancel(self, message: CancelAttempts) -> None:
        """Cancel the calls of attempts that their entry host withdrew."""
        cancelled = set(message.attempts)
        for number, call in self._calls.items():
            if call.task.entry_host != message.sender or call.abandoned:
                continue
            if call.task.entry.attempt in cancelled:
                call.abandoned = True
                self._outbox.add(CancelTargetCall(number))

    def start(
        self, limiter: TargetLimiter, task: ShardTask, *, queued: bool
    ) -> None:
        """Send a shard request to a target.

        ``queued`` tells whether the request had to wait in the queue.
        """
        self._call_number += 1
        limiter.in_flight += 1
        self._calls[self._call_number] = ActiveCall(
            task,
            limiter,
            self._timers.now,
            queued,
        )
        remaining_s = task.deadline - self._timers.now
        timeout_ms = max(1, int(remaining_s * 1000))
        self._outbox.add(
            CallTarget(
                call=self._call_number,
                target=limiter.target,
                request_id=task.batch.request_id,
                route=task.batch.route,
                body=task.batch.body,
                version=task.batch.version,
                timeout_ms=timeout_ms,
                call_timeout_ms=timeout_ms + TARGET_TIMEOUT_GRACE_MS,
            ),
        )

    def end(self, number: int, outcome: TargetResult) -> TargetLimiter | None:
        """Finish a call and send its outcome to the entry host.

        Return the limiter that has a slot free again, or None for an unknown
        call.
        """
        call = self._calls.pop(number, None)
        if call is None:
            return None
        call.limiter.in_flight -= 1
        shard_outcome = self._outcome_of(call, outcome)
        if not call.abandoned:
            self._replies.send_outcome(
                call.task,
                shard_outcome,
                queued=call.queued,
            )
        return call.limiter

    def _outcome_of(
        self, call: ActiveCall, outcome: TargetResult
    ) -> ShardOutcome:
        limiter = call.limiter
        task = call.task
        match outcome:
            case TargetAnswered(target_status=target_status):
                limiter.record_status(target_status, self._timers.now)
                limiter.record_success(self._timers.now - call.sent_at)
                self._crashes.record_answered(task.batch.fingerprint)
                return Answered(
                    outcome.version,
                    outcome.covered,
                    outcome.partition_revision,
                    outcome.rows,
                )
            case TargetRefused(
                target_status=target_status, why=why, retry_after_ms=wait_ms
            ):
                limiter.record_status(target_status, self._timers.now)
                return self._handle_refusal(call, why, wait_ms)
            case TargetNotReached():
                self._record_lost(limiter, 'target.connect')
                backoff_ms = int((limiter.lost_until - self._timers.now) * 1000)
                return self._replies.build_refusal(
                    task, Reason.TARGET_LOST, backoff_ms
                )
            case TargetConnectionLost():
                self._record_crash(call)
                return self._may_have_run(call, Reason.TARGET_LOST)
            case TargetTimedOut():
                return self._may_have_run(call, Reason.TARGET_TIMEOUT)
            case TargetFailed(detail=detail):
                self._outbox.log(
                    'target_failed',
                    step='target.response',
                    peer=limiter.target.name,
                    request=task.batch.request_id,
                    detail=detail,
                )
                return self._may_have_run(call, Reason.TARGET_ERROR)

    def _handle_refusal(
        self, call: ActiveCall, why: str, wait_ms: int
    ) -> NotRun:
        if why == 'version':
            return self._replies.build_refusal(
                call.task,
                Reason.SNAPSHOT_UNAVAILABLE,
                OWNER_RETRY_MS,
            )
        if call.limiter.state != 'leaving':
            call.limiter.record_refusal()
        return self._replies.build_refusal(
            call.task,
            Reason.TARGET_REFUSED,
            max(wait_ms, OWNER_RETRY_MS),
        )

    def _record_crash(self, call: ActiveCall) -> None:
        if call.abandoned:
            return
        limiter = call.limiter
        self._record_lost(limiter, 'target.response')
        self._crashes.record_crash(
            call.task.batch.fingerprint,
            limiter.target.name,
        )

    def _record_lost(self, limiter: TargetLimiter, step: str) -> None:
        limiter.record_lost(self._timers.now)
        self._outbox.log(
            'target_lost',
            step=step,
            peer=limiter.target.name,
        )

    def _may_have_run(self, call: ActiveCall, reason: Reason) -> MayHaveRun:
        return MayHaveRun(
            reason=reason,
            step='target.response',
            peer=call.task.entry.target,
            retry_after_ms=FAILURE_RETRY_MS,
        )
