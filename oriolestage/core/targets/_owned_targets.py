"""Which targets this host owns, and how they change hands.

A new owner asks the former one to release a target and starts it as a cold
one, because it cannot know what is still in flight.
"""

from collections.abc import Callable

from oriolestage.core._effects import Outbox, ProbeTarget
from oriolestage.core._messages import (
    AcquireTargets,
    MemberState,
    TargetsReleased,
)
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._outcomes import Reason
from oriolestage.core.targets._ownership import OwnershipView, PeerPort
from oriolestage.core.targets._shard_replies import ShardReplySender
from oriolestage.core.targets._target_gate import TargetGate
from oriolestage.core.targets._target_results import TargetSigns

#: Suggested wait after a refusal that a change of owners caused, in ms.
OWNER_RETRY_MS = 20
#: Suggested wait when a target leaves or is out, in ms.
OUT_RETRY_MS = 1000


class OwnedTargets:
    """Takes targets up and gives them up as the view changes."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerPort,
        on_room: Callable[[TargetGate], None],
        on_taken_back: Callable[[TargetGate, TargetGate], None],
    ) -> None:
        """Own nothing at first.

        ``on_room`` is called when a target may take work, ``on_taken_back``
        with the old and the new gate of a target that comes back while calls
        are in flight.
        """
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._on_room = on_room
        self._on_taken_back = on_taken_back
        self._replies = ShardReplySender(peers, configuration, self.versions_of)
        self._gates: dict[str, TargetGate] = {}
        self._released: dict[str, TargetGate] = {}
        self._release_wanted: dict[str, str] = {}
        # Owners in the last view, of targets that this host may own.
        self._owners: dict[str, str] = {}
        self._serving: frozenset[str] = frozenset()

    @property
    def gates(self) -> tuple[TargetGate, ...]:
        """The gates of all owned targets."""
        return tuple(self._gates.values())

    @property
    def replies(self) -> ShardReplySender:
        """Sends replies with the versions of the owned targets."""
        return self._replies

    def find(self, name: str) -> TargetGate | None:
        """Give the gate of an owned target."""
        return self._gates.get(name)

    def versions_of(self, name: str) -> tuple[int, ...]:
        """Give the versions that an owned target serves."""
        gate = self._gates.get(name)
        return () if gate is None else gate.versions

    def note_idle(self, name: str) -> None:
        """Confirm the release of a target whose last call has ended."""
        self._released.pop(name, None)
        self._confirm_release(name)

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
            self._on_taken_back(held, gate)
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

    def _acquired(self, name: str, gate: TargetGate) -> None:
        if self._gates.get(name) is not gate or gate.state != 'acquiring':
            return
        gate.fire('acquired')
        self._on_room(gate)

    def _give_up(self, name: str) -> None:
        gate = self._gates.pop(name)
        for task in gate.queue.drain():
            self._replies.refuse(task, Reason.NOT_OWNER, OWNER_RETRY_MS)
        if gate.in_flight:
            self._released[name] = gate
        self._confirm_release(name)

    def on_acquire(self, request: AcquireTargets) -> None:
        """Release targets to their new owner once they are idle."""
        for name in request.targets:
            target = self._configuration.index.target(name)
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
            if self._configuration.index.may_take_work(name)
        )
        for name in serving - self._serving:
            self._gates[name].note_returned()
        for name in self._gates.keys() - serving:
            gate = self._gates[name]
            for task in gate.queue.drain():
                self._replies.refuse(task, Reason.NOT_ACCEPTING, OUT_RETRY_MS)
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
            self._replies.refuse(task, Reason.NOT_ACCEPTING, OUT_RETRY_MS)

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
