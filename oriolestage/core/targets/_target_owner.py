"""The owner of targets: queues, limits and calls for each owned target.

One host owns a target, so slots, connections and warm-up are counted in one
place. A new owner asks the former one to release a target and starts it as a
cold one, because it cannot know what is still in flight.
"""

import dataclasses
from collections.abc import Callable, Sequence

from oriolestage.core._effects import (
    CallTarget,
    CancelTargetCall,
    Outbox,
    ProbeTarget,
)
from oriolestage.core._messages import (
    AcquireTargets,
    CancelAttempts,
    MemberState,
    ShardBatch,
    ShardReplies,
    ShardReply,
    TargetsReleased,
)
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.configuration._configuration_keeper import (
    ConfigurationKeeper,
)
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    ShardOutcome,
)
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._ownership import OwnershipView, PeerPort
from oriolestage.core.targets._target_gate import TargetGate
from oriolestage.core.targets._target_results import (
    TargetAnswered,
    TargetConnectionLost,
    TargetFailed,
    TargetNotReached,
    TargetRefused,
    TargetResult,
    TargetSigns,
    TargetTimedOut,
)

#: Time kept back for the way home of an answer, in seconds.
HOP_MARGIN_S = 0.005
#: Time that a target has to give up a request after its deadline, in ms.
TARGET_PATIENCE_MS = 150
#: Suggested wait after a refusal that a change of owners caused, in ms.
OWNER_RETRY_MS = 20
#: Suggested wait when a target leaves or is out, in ms.
OUT_RETRY_MS = 1000
#: Suggested wait after an unexpected failure, in ms.
FAILURE_RETRY_MS = 100


@dataclasses.dataclass(slots=True)
class _Call:
    task: ShardTask
    gate: TargetGate
    sent_at: float
    queued: bool
    #: True when the entry host no longer waits for the answer.
    abandoned: bool = False


class TargetOwner:
    """Admits shard requests to the targets that this host owns."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
        keeper: ConfigurationKeeper,
        ownership: OwnershipView,
        peers: PeerPort,
        crashes: CrashRegister,
        may_start: Callable[[], bool],
    ) -> None:
        """Own nothing at first.

        ``may_start`` tells whether new work may be sent at all.
        """
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._keeper = keeper
        self._ownership = ownership
        self._peers = peers
        self._crashes = crashes
        self._may_start = may_start
        self._gates: dict[str, TargetGate] = {}
        self._released: dict[str, TargetGate] = {}
        self._release_wanted: dict[str, str] = {}
        # Owners in the last view, of targets that this host may own.
        self._owners: dict[str, str] = {}
        self._calls: dict[int, _Call] = {}
        self._call_number = 0
        self._serving: frozenset[str] = frozenset()

    @property
    def gates(self) -> tuple[TargetGate, ...]:
        """The gates of all owned targets."""
        return tuple(self._gates.values())

    @property
    def calls_in_flight(self) -> int:
        """Number of calls to targets that have not ended."""
        return len(self._calls)

    # Ownership.

    def refresh(self) -> None:
        """Take up and give up targets after a change of view."""
        me = self._membership.member(self._peers.me)
        may_own = me is not None and me.state is MemberState.ALIVE
        owned: set[str] = set()
        before = self._owners
        self._owners = {}
        for target in self._ownership.nearby_targets():
            owner = self._ownership.owner_of(target)
            self._owners[target.name] = owner
            if may_own and owner == self._peers.me:
                owned.add(target.name)
                self._take_up(target, before.get(target.name, ''))
        for name in tuple(self._gates):
            if name not in owned:
                self._give_up(name)
        self._notice_returned_targets()

    def drop_all(self, reason: str) -> None:
        """Give up all targets, to take them up again as cold ones."""
        self._outbox.log('ownership_dropped', step='owner', reason=reason)
        for name in tuple(self._gates):
            self._give_up(name)

    def _take_up(self, target: Target, owner_before: str) -> None:
        gate = self._gates.get(target.name)
        if gate is not None:
            gate.target = target
            return
        gate = TargetGate(target, self._parameters)
        held = self._released.pop(target.name, None)
        if held is not None:
            gate.in_flight = held.in_flight
            self._rebind_calls(held, gate)
        self._gates[target.name] = gate
        former = owner_before
        if former in {'', self._peers.me}:
            former = self._ownership.owner_without_me(target)
        member = self._membership.member(former)
        if member is None or member.state >= MemberState.DEAD:
            gate.fire('acquired')
            return
        self._peers.send(
            former,
            AcquireTargets(self._peers.me, (target.name,)),
        )
        self._timers.call_after(
            self._parameters.takeover_wait_s,
            lambda: self._acquired(target.name, gate),
        )

    def _rebind_calls(self, held: TargetGate, gate: TargetGate) -> None:
        for call in self._calls.values():
            if call.gate is held:
                call.gate = gate

    def _acquired(self, name: str, gate: TargetGate) -> None:
        if self._gates.get(name) is not gate or gate.state != 'acquiring':
            return
        gate.fire('acquired')
        self._dispatch(gate)

    def _give_up(self, name: str) -> None:
        gate = self._gates.pop(name)
        for task in gate.queue.drain():
            self._refuse(task, Reason.NOT_OWNER, OWNER_RETRY_MS)
        if gate.in_flight:
            self._released[name] = gate
        self._confirm_release(name)

    def on_acquire(self, request: AcquireTargets) -> None:
        """Release targets to their new owner once they are idle."""
        for name in request.targets:
            target = self._keeper.index.target(name)
            mine = target is not None and (
                self._ownership.owner_of(target) == self._peers.me
            )
            self._release_wanted[name] = request.sender
            if mine and name in self._gates:
                # Confirmed once this host's view agrees with the asker's.
                continue
            self._confirm_release(name)

    def _confirm_release(self, name: str) -> None:
        if name in self._gates or name in self._released:
            return
        successor = self._release_wanted.pop(name, '')
        if successor:
            self._peers.send(
                successor,
                TargetsReleased(self._peers.me, (name,)),
            )

    def on_released(self, message: TargetsReleased) -> None:
        """Start work on targets that their former owner released."""
        for name in message.targets:
            gate = self._gates.get(name)
            if gate is not None:
                self._acquired(name, gate)

    def _notice_returned_targets(self) -> None:
        serving = frozenset(
            name
            for name in self._gates
            if self._keeper.index.may_take_work(name)
        )
        for name in serving - self._serving:
            self._gates[name].note_returned()
        for name in self._gates.keys() - serving:
            gate = self._gates[name]
            for task in gate.queue.drain():
                self._refuse(task, Reason.NOT_ACCEPTING, OUT_RETRY_MS)
        self._serving = serving

    def on_listed(self, name: str, *, leaving: bool) -> None:
        """Take in whether the host list shows a target leaving."""
        gate = self._gates.get(name)
        if gate is None:
            return
        if not leaving:
            gate.fire('returned')
            return
        if gate.state == 'leaving':
            return
        gate.fire('leaving_seen')
        for task in gate.queue.drain():
            self._refuse(task, Reason.NOT_ACCEPTING, OUT_RETRY_MS)

    def probe_leaving(self) -> None:
        """Look whether a target that was leaving runs again."""
        for gate in self._gates.values():
            if gate.state == 'leaving':
                self._outbox.add(ProbeTarget(gate.target))

    def on_probe_result(self, name: str, signs: TargetSigns) -> None:
        """Take in what the status page of a target told."""
        gate = self._gates.get(name)
        if gate is not None and gate.state == 'leaving':
            gate.note_signs(signs, self._timers.now)

    # Admission.

    def on_batch(self, batch: ShardBatch) -> None:
        """Admit, queue or refuse each shard request of a batch."""
        timeout_s = batch.timeout_ms / 1000 - HOP_MARGIN_S
        deadline = self._timers.now + timeout_s
        replies: list[ShardReply] = []
        for entry in batch.entries:
            task = ShardTask(batch.sender, entry, batch, deadline)
            refusal = self._refusal_for(task)
            if refusal is None:
                refusal = self._admit(task)
            if refusal is not None:
                replies.append(
                    ShardReply(
                        entry.attempt,
                        refusal,
                        self._versions(entry.target),
                    ),
                )
        self._reply(batch.sender, replies)

    def on_cancel(self, message: CancelAttempts) -> None:
        """Withdraw queued requests and give up those in flight."""
        wanted = set(message.attempts)
        for gate in self._gates.values():
            if not len(gate.queue):
                continue
            for attempt in message.attempts:
                gate.queue.remove(message.sender, attempt)
        for number, call in self._calls.items():
            if call.task.entry_host != message.sender or call.abandoned:
                continue
            if call.task.entry.attempt in wanted:
                call.abandoned = True
                self._outbox.add(CancelTargetCall(number))

    def _refusal_for(self, task: ShardTask) -> NotRun | None:
        name = task.entry.target
        gate = self._gates.get(name)
        if not self._may_start():
            return self._not_run(
                task,
                Reason.STALE_CONFIGURATION,
                OUT_RETRY_MS,
            )
        if gate is None:
            return self._not_run(task, Reason.NOT_OWNER, OWNER_RETRY_MS)
        quarantine_s = self._crashes.quarantine_left_s(task.batch.fingerprint)
        if quarantine_s > 0:
            wait_ms = int(quarantine_s * 1000)
            return self._not_run(task, Reason.QUARANTINED, wait_ms)
        if not self._keeper.index.may_take_work(name):
            return self._not_run(task, Reason.NOT_ACCEPTING, OUT_RETRY_MS)
        return self._refusal_by_state(task, gate)

    def _refusal_by_state(
        self,
        task: ShardTask,
        gate: TargetGate,
    ) -> NotRun | None:
        now = self._timers.now
        match gate.state:
            case 'acquiring':
                return self._not_run(task, Reason.ACQUIRING, OWNER_RETRY_MS)
            case 'leaving':
                return self._not_run(task, Reason.NOT_ACCEPTING, OUT_RETRY_MS)
            case 'lost' if now < gate.lost_until:
                wait_ms = int((gate.lost_until - now) * 1000) + 1
                return self._not_run(task, Reason.TARGET_LOST, wait_ms)
            case 'lost':
                gate.fire('probe_due')
        if not gate.may_serve(task.batch.version, now):
            return self._not_run(
                task,
                Reason.SNAPSHOT_UNAVAILABLE,
                OWNER_RETRY_MS,
            )
        return None

    def _admit(self, task: ShardTask) -> NotRun | None:
        gate = self._gates[task.entry.target]
        if gate.has_room and not len(gate.queue):
            self._call(gate, task, queued=False)
            return None
        wait_s = gate.expected_wait_s()
        in_time = self._timers.now + wait_s <= task.deadline
        if in_time and gate.queue.offer(task):
            return None
        wait_ms = int(wait_s * 1000) + 1
        return self._not_run(task, Reason.OVERLOADED, wait_ms)

    def _dispatch(self, gate: TargetGate) -> None:
        while gate.has_room:
            task = gate.queue.take()
            if task is None:
                return
            refusal = self._late_refusal(task)
            if refusal is None:
                self._call(gate, task, queued=True)
                continue
            self._reply_one(task, refusal, queued=True)

    def _late_refusal(self, task: ShardTask) -> NotRun | None:
        if self._timers.now >= task.deadline:
            return self._not_run(task, Reason.DEADLINE, 0)
        return self._refusal_for(task)

    def _call(self, gate: TargetGate, task: ShardTask, *, queued: bool) -> None:
        self._call_number += 1
        gate.in_flight += 1
        self._calls[self._call_number] = _Call(
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
                patience_ms=timeout_ms + TARGET_PATIENCE_MS,
            ),
        )

    # Results.

    def on_target_result(self, number: int, outcome: TargetResult) -> None:
        """Take in how a call ended and send what waits."""
        call = self._calls.pop(number, None)
        if call is None:
            return
        gate = call.gate
        gate.in_flight -= 1
        shard_outcome = self._take_result(call, outcome)
        if not call.abandoned:
            self._reply_one(call.task, shard_outcome, queued=call.queued)
        name = gate.target.name
        if self._gates.get(name) is gate:
            self._after_call(gate)
        elif not gate.in_flight:
            self._released.pop(name, None)
            self._confirm_release(name)

    def _after_call(self, gate: TargetGate) -> None:
        if gate.state in {'leaving', 'lost'}:
            for task in gate.queue.drain():
                refusal = self._refusal_for(task)
                if refusal is not None:
                    self._reply_one(task, refusal, queued=True)
                elif not gate.queue.offer(task):
                    self._refuse(task, Reason.OVERLOADED, FAILURE_RETRY_MS)
            return
        self._dispatch(gate)

    def _take_result(self, call: _Call, outcome: TargetResult) -> ShardOutcome:
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
                return self._not_run(task, Reason.TARGET_LOST, backoff_ms)
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

    def _take_refusal(self, call: _Call, why: str, wait_ms: int) -> NotRun:
        if why == 'version':
            return self._not_run(
                call.task,
                Reason.SNAPSHOT_UNAVAILABLE,
                OWNER_RETRY_MS,
            )
        if call.gate.state != 'leaving':
            call.gate.note_refusal()
        return self._not_run(
            call.task,
            Reason.TARGET_REFUSED,
            max(wait_ms, OWNER_RETRY_MS),
        )

    def _note_crash(self, call: _Call) -> None:
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

    # Replies.

    def _versions(self, target: str) -> tuple[int, ...]:
        gate = self._gates.get(target)
        return () if gate is None else gate.versions

    def _not_run(self, task: ShardTask, reason: Reason, wait_ms: int) -> NotRun:
        return NotRun(
            reason=reason,
            step='owner.admission',
            peer=task.entry.target,
            retry_after_ms=wait_ms,
            versions=self._versions(task.entry.target),
        )

    def _may_have_run(self, call: _Call, reason: Reason) -> MayHaveRun:
        return MayHaveRun(
            reason=reason,
            step='target.response',
            peer=call.task.entry.target,
            retry_after_ms=FAILURE_RETRY_MS,
        )

    def _refuse(self, task: ShardTask, reason: Reason, wait_ms: int) -> None:
        refusal = self._not_run(task, reason, wait_ms)
        self._reply_one(task, refusal, queued=True)

    def _reply_one(
        self,
        task: ShardTask,
        outcome: ShardOutcome,
        *,
        queued: bool,
    ) -> None:
        reply = ShardReply(
            task.entry.attempt,
            outcome,
            self._versions(task.entry.target),
            queued,
        )
        self._reply(task.entry_host, (reply,))

    def _reply(self, entry_host: str, replies: Sequence[ShardReply]) -> None:
        if not replies:
            return
        message = ShardReplies(
            self._peers.me,
            tuple(replies),
            self._keeper.revision,
        )
        self._peers.send(entry_host, message)
