"""Chooses targets for shard requests and sends these to the targets' owners.

Used for queries and for commands.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from oriolestage.core._messages import ShardBatch, ShardEntry
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._attempts import AttemptTable, ReplyCallback
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger
from oriolestage.core.targets._target_selector import TargetSelector

_NO_TARGETS: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What all shard requests that are sent together have in common."""

    request: CallerRequest
    fingerprint: int
    #: Index version to read, or 0 for the newest.
    version: int
    #: When the caller is answered at the latest, in seconds of core time.
    deadline: float
    #: False when the work must not be started twice.
    idempotent: bool


class ShardSender:
    """Sends the shard requests of this entry host to owners of targets."""

    def __init__(
        self,
        timers: Timers,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerMessenger,
        selector: TargetSelector,
        attempts: AttemptTable,
    ) -> None:
        """Record all attempts in ``attempts``, which receives their replies."""
        self._timers = timers
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._selector = selector
        self._attempts = attempts

    def choose(
        self,
        service: str,
        version: int,
        busy: frozenset[str] = _NO_TARGETS,
        tried: frozenset[str] = _NO_TARGETS,
    ) -> Target | None:
        """Return an available target of a service, or None.

        Never returns one of ``busy``. Falls back to targets in ``tried`` and
        then to targets of silent owners only when there is no other.
        """
        candidates = self._configuration.index.serving_targets_of(service)
        silent = self._targets_of_silent_owners(candidates)
        for avoided in (busy | tried | silent, busy | silent, busy):
            target = self._selector.choose(
                candidates,
                version,
                self._timers.now,
                avoided,
            )
            if target is not None:
                return target
        return None

    def available_at(self, service: str, version: int) -> float:
        """Return the earliest time at which a target of a service is available.

        The time is infinite when no target may serve ``version``.
        """
        return self._selector.available_at(
            self._configuration.index.serving_targets_of(service),
            version,
            self._timers.now,
        )

    def overloaded_for_s(self, service: str, version: int) -> float:
        """Return for how many seconds all targets stay overloaded, or 0."""
        return self._selector.overloaded_for_s(
            self._configuration.index.serving_targets_of(service),
            version,
            self._timers.now,
        )

    def register(self, target: Target, callback: ReplyCallback) -> ShardEntry:
        """Record an attempt at a target; ``callback`` gets its reply."""
        owner = self._ownership.owner_of(target)
        number = self._attempts.register(owner, target.name, callback)
        return ShardEntry(number, target.name)

    def send(self, dispatch: Dispatch, entries: Iterable[ShardEntry]) -> None:
        """Send registered attempts, in one batch for each owner."""
        by_owner: dict[str, list[ShardEntry]] = {}
        for entry in entries:
            owner = self._attempts.owner_of(entry.attempt)
            by_owner.setdefault(owner, []).append(entry)
        for owner, batch in by_owner.items():
            self._send_batch(dispatch, owner, batch)

    def _send_batch(
        self,
        dispatch: Dispatch,
        owner: str,
        entries: Sequence[ShardEntry],
    ) -> None:
        request = dispatch.request
        remaining_s = dispatch.deadline - self._timers.now
        batch = ShardBatch(
            sender=self._peers.local_name,
            request_id=request.request_id,
            caller=request.caller,
            fingerprint=dispatch.fingerprint,
            route=request.route,
            body=request.body,
            version=dispatch.version,
            timeout_ms=max(1, int(remaining_s * 1000)),
            idempotent=dispatch.idempotent,
            entries=tuple(entries),
            revision=self._configuration.revision,
        )
        if not self._peers.send(owner, batch):
            numbers = [entry.attempt for entry in entries]
            self._attempts.on_not_sent(owner, numbers)

    def _targets_of_silent_owners(
        self,
        candidates: Sequence[Target],
    ) -> frozenset[str]:
        return frozenset(
            target.name
            for target in candidates
            if self._attempts.is_silent(self._ownership.owner_of(target))
        )
