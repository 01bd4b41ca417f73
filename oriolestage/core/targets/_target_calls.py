"""The calls to owned targets, and what their results mean."""

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
from oriolestage.core.targets._target_gate import TargetGate
from oriolestage.core.targets._target_results import (
    TargetAnswered,
    TargetConnectionLost,
    TargetFailed,
    TargetNotReached,
    TargetRefused,
    TargetResult,
    TargetTimedOut,
)

#: Time that a target has to give up a request after its deadline, in ms.
TARGET_PATIENCE_MS = 150
#: Suggested wait after an unexpected failure, in ms.
FAILURE_RETRY_MS = 100


@dataclasses.dataclass(slots=True)
class Call:
    """One shard request at a target."""

    task: ShardTask
    gate: TargetGate
    sent_at: float
    queued: bool
    #: True when the entry host no longer waits for the answer.
    abandoned: bool = False


class TargetCalls:
    """Sends calls and answers the entry hosts with their results."""

    def __init__(
        self,
        outbox: Outbox,
        timers: Timers,
        crashes: CrashRegister,
        replies: ShardReplySender,
    ) -> None:
        """Start without calls."""
        self._outbox = outbox
        self._timers = timers
        self._crashes = crashes
        self._replies = replies
        self._calls: dict[int, Call] = {}
        self._call_number = 0

    @property
    def in_flight(self) -> int:
        """Number of calls to targets that have not ended."""
        return len(self._calls)

    def rebind(self, held: TargetGate, gate: TargetGate) -> None:
        """Count the calls of an old gate at the new one."""
        for call in self._calls.values():
            if call.gate is held:
                call.gate = gate

    def cancel(self, message: CancelAttempts) -> None:
        """Give up the calls of attempts that no one waits for."""
        wanted = set(message.attempts)
        for number, call in self._calls.items():
            if call.task.entry_host != message.sender or call.abandoned:
                continue
            if call.task.entry.attempt in wanted:
                call.abandoned = True
                self._outbox.add(CancelTargetCall(number))

    def start(self, gate: TargetGate, task: ShardTask, *, queued: bool) -> None:
        """Send a shard request to a target."""
        self._call_number += 1
        gate.in_flight += 1
        self._calls[self._call_number] = Call(
            task,
            gate,
            self._timers.now,
            queued,
        )
        left_s = task.deadline - self._timers.now
        timeout_ms = max(1, int(left_s * 1000))
        self._outbox.add(
            CallTarget(
                call=self._call_number,
                target=gate.target,
                request_id=task.batch.request_id,
                route=task.batch.route,
                body=task.batch.body,
                version=task.batch.version,
                timeout_ms=timeout_ms,
                call_timeout_ms=timeout_ms + TARGET_PATIENCE_MS,
            ),
        )

    def end(self, number: int, outcome: TargetResult) -> TargetGate | None:
        """Answer with the result of a call; give the gate that has room."""
        call = self._calls.pop(number, None)
        if call is None:
            return None
        call.gate.in_flight -= 1
        shard_outcome = self._outcome_of(call, outcome)
        if not call.abandoned:
            self._replies.reply_one(
                call.task,
                shard_outcome,
                queued=call.queued,
            )
        return call.gate

    def _outcome_of(self, call: Call, outcome: TargetResult) -> ShardOutcome:
        gate = call.gate
        task = call.task
        match outcome:
            case TargetAnswered(signs=signs):
                gate.note_signs(signs, self._timers.now)
                gate.note_success(self._timers.now - call.sent_at)
                self._crashes.note_survived(task.batch.fingerprint)
                return Answered(
                    outcome.version,
                    outcome.covered,
                    outcome.partition_revision,
                    outcome.rows,
                )
            case TargetRefused(signs=signs, why=why, retry_after_ms=wait_ms):
                gate.note_signs(signs, self._timers.now)
                return self._take_refusal(call, why, wait_ms)
            case TargetNotReached():
                self._lost(gate, 'target.connect')
                backoff_ms = int((gate.lost_until - self._timers.now) * 1000)
                return self._replies.not_run(
                    task, Reason.TARGET_LOST, backoff_ms
                )
            case TargetConnectionLost():
                self._note_crash(call)
                return self._may_have_run(call, Reason.TARGET_LOST)
            case TargetTimedOut():
                return self._may_have_run(call, Reason.TARGET_TIMEOUT)
            case TargetFailed(detail=detail):
                self._outbox.log(
                    'target_failed',
                    step='target.response',
                    peer=gate.target.name,
                    request=task.batch.request_id,
                    detail=detail,
                )
                return self._may_have_run(call, Reason.TARGET_ERROR)

    def _take_refusal(self, call: Call, why: str, wait_ms: int) -> NotRun:
        if why == 'version':
            return self._replies.not_run(
                call.task,
                Reason.SNAPSHOT_UNAVAILABLE,
                OWNER_RETRY_MS,
            )
        if call.gate.state != 'leaving':
            call.gate.note_refusal()
        return self._replies.not_run(
            call.task,
            Reason.TARGET_REFUSED,
            max(wait_ms, OWNER_RETRY_MS),
        )

    def _note_crash(self, call: Call) -> None:
        if call.abandoned:
            return
        gate = call.gate
        self._lost(gate, 'target.response')
        self._crashes.note_loss(
            call.task.batch.fingerprint,
            gate.target.name,
        )

    def _lost(self, gate: TargetGate, step: str) -> None:
        gate.note_lost(self._timers.now)
        self._outbox.log(
            'target_lost',
            step=step,
            peer=gate.target.name,
        )

    def _may_have_run(self, call: Call, reason: Reason) -> MayHaveRun:
        return MayHaveRun(
            reason=reason,
            step='target.response',
            peer=call.task.entry.target,
            retry_after_ms=FAILURE_RETRY_MS,
        )
