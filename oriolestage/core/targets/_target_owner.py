"""The owner of targets: admits shard requests to the targets owned here.

One host owns a target, so slots, connections and warm-up are counted in one
place.
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
from oriolestage.core.queries._outcomes import NotRun, Reason
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._owned_targets import (
    OUT_RETRY_MS,
    OWNER_RETRY_MS,
    OwnedTargets,
)
from oriolestage.core.targets._ownership import OwnershipView, PeerPort
from oriolestage.core.targets._target_calls import FAILURE_RETRY_MS, TargetCalls
from oriolestage.core.targets._target_gate import TargetGate
from oriolestage.core.targets._target_results import TargetResult

#: Time kept back for the way home of an answer, in seconds.
HOP_MARGIN_S = 0.005


class TargetOwner:
    """Admits shard requests to the targets that this host owns."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerPort,
        crashes: CrashRegister,
        may_start: Callable[[], bool],
    ) -> None:
        """Own nothing at first.

        ``may_start`` tells whether new work may be sent at all.
        """
        self._timers = timers
        self._configuration = configuration
        self._crashes = crashes
        self._may_start = may_start
        self._owned = OwnedTargets(
            parameters,
            outbox,
            timers,
            membership,
            configuration,
            ownership,
            peers,
            on_room=self._dispatch,
            on_taken_back=self._rebind,
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
        """Admit, queue or refuse each shard request of a batch."""
        timeout_s = batch.timeout_ms / 1000 - HOP_MARGIN_S
        deadline = self._timers.now + timeout_s
        replies: list[ShardReply] = []
        for entry in batch.entries:
            task = ShardTask(batch.sender, entry, batch, deadline)
            refusal = self._refusal_for(task)
            gate = self._owned.find(entry.target)
            if refusal is None and gate is not None:
                refusal = self._admit(task, gate)
            if refusal is not None:
                replies.append(self._replies.reply_to(task, refusal))
        self._replies.send(batch.sender, replies)

    def on_cancel(self, message: CancelAttempts) -> None:
        """Withdraw queued requests and give up those in flight."""
        for gate in self._owned.gates:
            if not len(gate.queue):
                continue
            for attempt in message.attempts:
                gate.queue.remove(message.sender, attempt)
        self._calls.cancel(message)

    def on_target_result(self, number: int, outcome: TargetResult) -> None:
        """Take in how a call ended and send what waits."""
        gate = self._calls.end(number, outcome)
        if gate is None:
            return
        name = gate.target.name
        if self._owned.find(name) is gate:
            self._after_call(gate)
        elif not gate.in_flight:
            self._owned.note_idle(name)

    def _refusal_for(self, task: ShardTask) -> NotRun | None:
        name = task.entry.target
        gate = self._owned.find(name)
        if not self._may_start():
            return self._replies.not_run(
                task,
                Reason.STALE_CONFIGURATION,
                OUT_RETRY_MS,
            )
        if gate is None:
            return self._replies.not_run(task, Reason.NOT_OWNER, OWNER_RETRY_MS)
        quarantine_s = self._crashes.quarantine_left_s(task.batch.fingerprint)
        if quarantine_s > 0:
            wait_ms = int(quarantine_s * 1000)
            return self._replies.not_run(task, Reason.QUARANTINED, wait_ms)
        if not self._configuration.index.may_take_work(name):
            return self._replies.not_run(
                task, Reason.NOT_ACCEPTING, OUT_RETRY_MS
            )
        return self._refusal_by_state(task, gate)

    def _refusal_by_state(
        self,
        task: ShardTask,
        gate: TargetGate,
    ) -> NotRun | None:
        now = self._timers.now
        match gate.state:
            case 'acquiring':
                return self._replies.not_run(
                    task, Reason.ACQUIRING, OWNER_RETRY_MS
                )
            case 'leaving':
                return self._replies.not_run(
                    task, Reason.NOT_ACCEPTING, OUT_RETRY_MS
                )
            case 'lost' if now < gate.lost_until:
                wait_ms = int((gate.lost_until - now) * 1000) + 1
                return self._replies.not_run(task, Reason.TARGET_LOST, wait_ms)
            case 'lost':
                gate.fire('probe_due')
        if not gate.may_serve(task.batch.version, now):
            return self._replies.not_run(
                task,
                Reason.SNAPSHOT_UNAVAILABLE,
                OWNER_RETRY_MS,
            )
        return None

    def _admit(self, task: ShardTask, gate: TargetGate) -> NotRun | None:
        if gate.has_room and not len(gate.queue):
            self._calls.start(gate, task, queued=False)
            return None
        wait_s = gate.expected_wait_s()
        in_time = self._timers.now + wait_s <= task.deadline
        if in_time and gate.queue.offer(task):
            return None
        wait_ms = int(wait_s * 1000) + 1
        return self._replies.not_run(task, Reason.OVERLOADED, wait_ms)

    def _dispatch(self, gate: TargetGate) -> None:
        while gate.has_room:
            task = gate.queue.take()
            if task is None:
                return
            refusal = self._late_refusal(task)
            if refusal is None:
                self._calls.start(gate, task, queued=True)
                continue
            self._replies.reply_one(task, refusal, queued=True)

    def _late_refusal(self, task: ShardTask) -> NotRun | None:
        if self._timers.now >= task.deadline:
            return self._replies.not_run(task, Reason.DEADLINE, 0)
        return self._refusal_for(task)

    def _after_call(self, gate: TargetGate) -> None:
        if gate.state in {'leaving', 'lost'}:
            for task in gate.queue.drain():
                refusal = self._refusal_for(task)
                if refusal is not None:
                    self._replies.reply_one(task, refusal, queued=True)
                elif not gate.queue.offer(task):
                    self._replies.refuse(
                        task, Reason.OVERLOADED, FAILURE_RETRY_MS
                    )
            return
        self._dispatch(gate)

    def _rebind(self, held: TargetGate, gate: TargetGate) -> None:
        self._calls.rebind(held, gate)
