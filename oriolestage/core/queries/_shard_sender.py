"""Chooses targets for shard requests and sends them to their owners.

Queries and commands share this part of an entry host.
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
from oriolestage.core.targets._ownership import OwnershipView, PeerPort
from oriolestage.core.targets._target_knowledge import TargetKnowledge

_NOBODY: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What all shard requests of one batch have in common."""

    request: CallerRequest
    fingerprint: int
    #: Index version to read, or 0 for the newest.
    version: int
    #: When the answer is no longer of use, in core time.
    deadline: float
    idempotent: bool


class ShardSender:
    """Sends shard requests of this host."""

    def __init__(
        self,
        timers: Timers,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerPort,
        knowledge: TargetKnowledge,
        attempts: AttemptTable,
    ) -> None:
        """Use what this host knows of targets and owners."""
        self._timers = timers
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._knowledge = knowledge
        self._attempts = attempts

    def choose(
        self,
        service: str,
        version: int,
        busy: frozenset[str] = _NOBODY,
        tried: frozenset[str] = _NOBODY,
    ) -> Target | None:
        """Choose a target of a service, none that is busy for the request.

        Targets that were tried, and those of owners that do not reply, are
        taken only when there is no other.
        """
        candidates = self._configuration.index.serving_targets_of(service)
        silent = self._targets_of_silent_owners(candidates)
        for avoided in (busy | tried | silent, busy | silent, busy):
            target = self._knowledge.choose(
                candidates,
                version,
                self._timers.now,
                avoided,
            )
            if target is not None:
                return target
        return None

    def available_at(self, service: str, version: int) -> float:
        """Give the earliest time at which a target may take work."""
        return self._knowledge.available_at(
            self._configuration.index.serving_targets_of(service),
            version,
            self._timers.now,
        )

    def overloaded_for(self, service: str, version: int) -> float:
        """Give the seconds for which no target has room, or 0."""
        return self._knowledge.overloaded_for(
            self._configuration.index.serving_targets_of(service),
            version,
            self._timers.now,
        )

    def register(self, target: Target, callback: ReplyCallback) -> ShardEntry:
        """Give a shard request its number; ``callback`` gets its reply."""
        owner = self._ownership.owner_of(target)
        number = self._attempts.register(owner, target.name, callback)
        return ShardEntry(number, target.name)

    def send(self, dispatch: Dispatch, entries: Iterable[ShardEntry]) -> None:
        """Send registered requests, one batch for each owner."""
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
        left_s = dispatch.deadline - self._timers.now
        batch = ShardBatch(
            sender=self._peers.me,
            request_id=request.request_id,
            caller=request.caller,
            fingerprint=dispatch.fingerprint,
            route=request.route,
            body=request.body,
            version=dispatch.version,
            timeout_ms=max(1, int(left_s * 1000)),
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
