"""Acquires and releases targets as their owners change.

A new owner asks the former owner to release a target and waits for its
confirmation, or for a timeout. It then treats the target as cold, because it
cannot know how many requests of the former owner are still in flight.
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
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger
from oriolestage.core.targets._shard_replies import ShardReplySender
from oriolestage.core.targets._target_limiter import TargetLimiter
from oriolestage.core.targets._target_results import TargetStatus

#: Suggested retry delay after a refusal due to a change of owner, in ms.
OWNER_RETRY_MS = 20
#: Suggested retry delay when a target is leaving or not accepting, in ms.
UNAVAILABLE_RETRY_MS = 1000


class OwnedTargets:
    """Holds the targets that this host owns, with their limiters."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerMessenger,
        on_capacity: Callable[[TargetLimiter], None],
        on_reacquired: Callable[[TargetLimiter, TargetLimiter], None],
    ) -> None:
        """Create the collection without targets; ``refresh`` fills it.

        ``on_capacity`` is called when a target may take work.
        ``on_reacquired`` is called with the old and the new limiter of a target
        that this host released and owns again while calls are in flight.
        """
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._on_capacity = on_capacity
        self._on_reacquired = on_reacquired
        self._replies = ShardReplySender(peers, configuration, self.versions_of)
        self._limiters: dict[str, TargetLimiter] = {}
        # Limiters of released targets that still have calls in flight.
        self._draining: dict[str, TargetLimiter] = {}
        # Host that asked for a target, until the release is confirmed.
        self._release_requests: dict[str, str] = {}
        # Owner of each candidate target at the last refresh.
        self._last_owners: dict[str, str] = {}
        # Owned targets that the configuration let take work at the last
        # refresh.
        self._accepting: frozenset[str] = frozenset()

    @property
    def limiters(self) -> tuple[TargetLimiter, ...]:
        """Limiters of all owned targets."""
        return tuple(self._limiters.values())

    @property
    def replies(self) -> ShardReplySender:
        """Sender of replies to shard requests for owned targets."""
        return self._replies

    def find(self, name: str) -> TargetLimiter | None:
        """Return the limiter of a target, or None if it is not owned here."""
        return self._limiters.get(name)

    def versions_of(self, name: str) -> tuple[int, ...]:
        """Return the index versions of a target, empty if not owned here."""
        limiter = self._limiters.get(name)
        return () if limiter is None else limiter.versions

    def on_target_idle(self, name: str) -> None:
        """Confirm the release of a target after its last call ended."""
        self._draining.pop(name, None)
        self._confirm_release(name)

    def refresh(self) -> None:
        """Acquire and release targets after a change of view.

        Called when the membership or the configuration changed. A host that is
        not alive in its own view (it is leaving) owns nothing.
        """
        local_member = self._membership.member(self._peers.local_name)
        may_own = (
            local_member is not None and local_member.state is MemberState.ALIVE
        )
        owned: set[str] = set()
        owners_before = self._last_owners
        self._last_owners = {}
        for target in self._ownership.candidate_targets():
            owner = self._ownership.owner_of(target)
            self._last_owners[target.name] = owner
            if may_own and owner == self._peers.local_name:
                owned.add(target.name)
                before = owners_before.get(target.name, '')
                self._outbox.run_safely(
                    'owner.acquire', self._acquire, target, before
                )
        for name in tuple(self._limiters):
            if name not in owned:
                self._outbox.run_safely('owner.release', self._release, name)
        self._outbox.run_safely(
            'owner.accepting', self._apply_accepting_changes
        )

    def release_all(self, reason: str) -> None:
        """Release all targets; the next refresh acquires them as cold.

        ``reason`` is written to the log.
        """
        self._outbox.log('ownership_dropped', step='owner', reason=reason)
        for name in tuple(self._limiters):
            self._outbox.run_safely('owner.release', self._release, name)

    def _acquire(self, target: Target, owner_before: str) -> None:
        limiter = self._limiters.get(target.name)
        if limiter is not None:
            limiter.target = target
            return
        limiter = TargetLimiter(target, self._parameters)
        draining = self._draining.pop(target.name, None)
        if draining is not None:
            limiter.in_flight = draining.in_flight
            self._on_reacquired(draining, limiter)
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
            lambda: self._finish_acquisition(target.name, limiter),
        )

    def _finish_acquisition(self, name: str, limiter: TargetLimiter) -> None:
        if (
            self._limiters.get(name) is not limiter
            or limiter.state != 'acquiring'
        ):
            return
        limiter.fire('acquired')
        self._on_capacity(limiter)

    def _release(self, name: str) -> None:
        limiter = self._limiters.pop(name)
        for task in limiter.queue.drain():
            self._replies.refuse_queued(task, Reason.NOT_OWNER, OWNER_RETRY_MS)
        if limiter.in_flight:
            self._draining[name] = limiter
        self._confirm_release(name)

    def on_acquire(self, request: AcquireTargets) -> None:
        """Handle another host's request to release targets to it.

        The release is confirmed once no call is in flight.
        """
        for name in request.targets:
            target = self._configuration.index.target(name)
            owned_here = target is not None and (
                self._ownership.owner_of(target) == self._peers.local_name
            )
            self._release_requests[name] = request.sender
            if owned_here and name in self._limiters:
                # In this host's view it is still the owner: confirm once its
                # view agrees with that of the asking host.
                continue
            self._confirm_release(name)

    def _confirm_release(self, name: str) -> None:
        if name in self._limiters or name in self._draining:
            return
        successor = self._release_requests.pop(name, '')
        if successor:
            self._peers.send(
                successor,
                TargetsReleased(self._peers.local_name, (name,)),
            )

    def on_released(self, message: TargetsReleased) -> None:
        """Start using targets that their former owner has released."""
        for name in message.targets:
            limiter = self._limiters.get(name)
            if limiter is not None:
                self._finish_acquisition(name, limiter)

    def _apply_accepting_changes(self) -> None:
        accepting = frozenset(
            name
            for name in self._limiters
            if self._configuration.index.may_take_work(name)
        )
        for name in accepting - self._accepting:
            self._limiters[name].record_returned()
        for name in self._limiters.keys() - accepting:
            limiter = self._limiters[name]
            for task in limiter.queue.drain():
                self._replies.refuse_queued(
                    task, Reason.NOT_ACCEPTING, UNAVAILABLE_RETRY_MS
                )
        self._accepting = accepting

    def on_listed(self, name: str, *, leaving: bool) -> None:
        """Apply whether the platform's host list shows a target as leaving."""
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
        """Probe the leaving targets, to notice when they run again."""
        for limiter in self._limiters.values():
            if limiter.state == 'leaving':
                self._outbox.add(ProbeTarget(limiter.target))

    def on_probe_result(self, name: str, target_status: TargetStatus) -> None:
        """Apply what the status page of a leaving target reported."""
        limiter = self._limiters.get(name)
        if limiter is not None and limiter.state == 'leaving':
            limiter.record_status(target_status, self._timers.now)
