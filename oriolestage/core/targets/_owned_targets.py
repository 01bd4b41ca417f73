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
from oriolestage.core.configuration._configuration_keeper import (
    ConfigurationKeeper,
)
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._outcomes import Reason
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger
from oriolestage.core.targets._shard_replies import ShardReplySender
from oriolestage.core.targets._target_limiter import TargetLimiter
from oriolestage.core.targets._target_results import TargetStatus

#: Suggested wait after a refusal that a change of owners caused, in ms.
OWNER_RETRY_MS = 20
#: Suggested wait when a target leaves or is out, in ms.
UNAVAILABLE_RETRY_MS = 1000


class OwnedTargets:
    """Takes targets up and gives them up as the view changes."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
        keeper: ConfigurationKeeper,
        ownership: OwnershipView,
        peers: PeerMessenger,
        on_capacity: Callable[[TargetLimiter], None],
        on_reacquired: Callable[[TargetLimiter, TargetLimiter], None],
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
        self._keeper = keeper
        self._ownership = ownership
        self._peers = peers
        self._on_room = on_capacity
        self._on_taken_back = on_reacquired
        self._replies = ShardReplySender(peers, keeper, self.versions_of)
        self._limiters: dict[str, TargetLimiter] = {}
        self._released: dict[str, TargetLimiter] = {}
        self._release_wanted: dict[str, str] = {}
        # Owners in the last view, of targets that this host may own.
        self._owners: dict[str, str] = {}
        self._serving: frozenset[str] = frozenset()

    @property
    def limiters(self) -> tuple[TargetLimiter, ...]:
        """The gates of all owned targets."""
        return tuple(self._limiters.values())

    @property
    def replies(self) -> ShardReplySender:
        """Sends replies with the versions of the owned targets."""
        return self._replies

    def find(self, name: str) -> TargetLimiter | None:
        """Give the gate of an owned target."""
        return self._limiters.get(name)

    def versions_of(self, name: str) -> tuple[int, ...]:
        """Give the versions that an owned target serves."""
        limiter = self._limiters.get(name)
        return () if limiter is None else limiter.versions

    def on_target_idle(self, name: str) -> None:
        """Confirm the release of a target whose last call has ended."""
        self._released.pop(name, None)
        self._confirm_release(name)

    def refresh(self) -> None:
        """Take up and give up targets after a change of view."""
        local_name = self._membership.member(self._peers.local_name)
        may_own = (
            local_name is not None and local_name.state is MemberState.ALIVE
        )
        owned: set[str] = set()
        before = self._owners
        self._owners = {}
        for target in self._ownership.candidate_targets():
            owner = self._ownership.owner_of(target)
            self._owners[target.name] = owner
            if may_own and owner == self._peers.local_name:
                owned.add(target.name)
                self._take_up(target, before.get(target.name, ''))
        for name in tuple(self._limiters):
            if name not in owned:
                self._give_up(name)
        self._notice_returned_targets()

    def release_all(self, reason: str) -> None:
        """Give up all targets, to take them up again as cold ones."""
        self._outbox.log('ownership_dropped', step='owner', reason=reason)
        for name in tuple(self._limiters):
            self._give_up(name)

    def _take_up(self, target: Target, owner_before: str) -> None:
        limiter = self._limiters.get(target.name)
        if limiter is not None:
            limiter.target = target
            return
        limiter = TargetLimiter(target, self._parameters)
        held = self._released.pop(target.name, None)
        if held is not None:
            limiter.in_flight = held.in_flight
            self._on_taken_back(held, limiter)
        self._limiters[target.name] = limiter
        former = owner_before
        if former in {'', self._peers.local_name}:
            former = self._ownership.owner_without_this_host(target)
        member = self._membership.member(former)
        if member is None or member.state >= MemberState.DEAD:
            limiter.fire('acquired')
            return
        self._peers.send(
            former,
            AcquireTargets(self._peers.local_name, (target.name,)),
        )
        self._timers.call_after(
            self._parameters.takeover_wait_s,
            lambda: self._acquired(target.name, limiter),
        )

    def _acquired(self, name: str, limiter: TargetLimiter) -> None:
        if (
            self._limiters.get(name) is not limiter
            or limiter.state != 'acquiring'
        ):
            return
        limiter.fire('acquired')
        self._on_room(limiter)

    def _give_up(self, name: str) -> None:
        limiter = self._limiters.pop(name)
        for task in limiter.queue.drain():
            self._replies.refuse_queued(task, Reason.NOT_OWNER, OWNER_RETRY_MS)
        if limiter.in_flight:
            self._released[name] = limiter
        self._confirm_release(name)

    def on_acquire(self, request: AcquireTargets) -> None:
        """Release targets to their new owner once they are idle."""
        for name in request.targets:
            target = self._keeper.index.target(name)
            mine = target is not None and (
                self._ownership.owner_of(target) == self._peers.local_name
            )
            self._release_wanted[name] = request.sender
            if mine and name in self._limiters:
                # Confirmed once this host's view agrees with the asker's.
                continue
            self._confirm_release(name)

    def _confirm_release(self, name: str) -> None:
        if name in self._limiters or name in self._released:
            return
        successor = self._release_wanted.pop(name, '')
        if successor:
            self._peers.send(
                successor,
                TargetsReleased(self._peers.local_name, (name,)),
            )

    def on_released(self, message: TargetsReleased) -> None:
        """Start work on targets that their former owner released."""
        for name in message.targets:
            limiter = self._limiters.get(name)
            if limiter is not None:
                self._acquired(name, limiter)

    def _notice_returned_targets(self) -> None:
        serving = frozenset(
            name
            for name in self._limiters
            if self._keeper.index.may_take_work(name)
        )
        for name in serving - self._serving:
            self._limiters[name].record_returned()
        for name in self._limiters.keys() - serving:
            limiter = self._limiters[name]
            for task in limiter.queue.drain():
                self._replies.refuse_queued(
                    task, Reason.NOT_ACCEPTING, UNAVAILABLE_RETRY_MS
                )
        self._serving = serving

    def on_listed(self, name: str, *, leaving: bool) -> None:
        """Take in whether the host list shows a target leaving."""
        limiter = self._limiters.get(name)
        if limiter is None:
            return
        if not leaving:
            limiter.fire('returned')
            return
        if limiter.state == 'leaving':
            return
        limiter.fire('leaving_seen')
        for task in limiter.queue.drain():
            self._replies.refuse_queued(
                task, Reason.NOT_ACCEPTING, UNAVAILABLE_RETRY_MS
            )

    def probe_leaving(self) -> None:
        """Look whether a target that was leaving runs again."""
        for limiter in self._limiters.values():
            if limiter.state == 'leaving':
                self._outbox.add(ProbeTarget(limiter.target))

    def on_probe_result(self, name: str, target_status: TargetStatus) -> None:
        """Take in what the status page of a target told."""
        limiter = self._limiters.get(name)
        if limiter is not None and limiter.state == 'leaving':
            limiter.record_status(target_status, self._timers.now)
