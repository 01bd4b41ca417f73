"""Tracks the shard requests that this entry host has in flight at owners.

Each shard request is one attempt and has a number that is unique on this
host. Owners answer with that number.
"""

import dataclasses
from collections.abc import Callable, Iterable

from oriolestage.core._effects import Outbox
from oriolestage.core._messages import CancelAttempts, ShardReplies, ShardReply
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.queries._outcomes import MayHaveRun, NotRun, Reason
from oriolestage.core.targets._owner_health import OwnerHealth
from oriolestage.core.targets._ownership import PeerMessenger
from oriolestage.core.targets._target_selector import TargetSelector

ReplyCallback = Callable[[ShardReply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    owner: str
    target: str
    callback: ReplyCallback


class AttemptTable:
    """Matches replies of owners to the attempts that wait for them."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        peers: PeerMessenger,
        selector: TargetSelector,
    ) -> None:
        """Start without attempts in flight."""
        self._outbox = outbox
        self._timers = timers
        self._peers = peers
        self._selector = selector
        self._attempts: dict[int, _Attempt] = {}
        self._health = OwnerHealth(parameters.silence_limit_s)
        self._last_number = 0
        self._late_replies = 0

    @property
    def late_replies(self) -> int:
        """Number of replies that arrived after their attempt had ended."""
        return self._late_replies

    def register(
        self,
        owner: str,
        target: str,
        callback: ReplyCallback,
    ) -> int:
        """Record a new attempt in flight and return its number."""
        self._last_number += 1
        self._attempts[self._last_number] = _Attempt(
            owner,
            target,
            callback,
        )
        self._selector.record_dispatch(target)
        self._health.record_sent(owner, self._timers.now)
        return self._last_number

    def on_reply(self, reply: ShardReply) -> None:
        """Pass a reply to the callback of its attempt; drop it if late."""
        attempt = self._attempts.pop(reply.attempt, None)
        if attempt is None:
            self._late_replies += 1
            return
        self._selector.record_end(attempt.target)
        self._selector.record_versions(
            attempt.target,
            reply.versions,
            self._timers.now,
        )
        self._outbox.run_safely('entry.reply', attempt.callback, reply)

    def on_replies(self, message: ShardReplies) -> None:
        """Handle a message of replies from an owner."""
        self._health.record_reply(message.sender)
        for reply in message.replies:
            self.on_reply(reply)

    def is_silent(self, owner: str) -> bool:
        """Return whether to avoid an owner because it has stopped replying."""
        return self._health.is_silent(owner, self._timers.now)

    def target_of(self, number: int) -> str:
        """Return the target of an attempt in flight."""
        return self._attempts[number].target

    def owner_of(self, number: int) -> str:
        """Return the owner that an attempt in flight was sent to."""
        return self._attempts[number].owner

    def cancel(self, numbers: Iterable[int]) -> None:
        """Stop waiting for attempts and send cancellations to their owners."""
        by_owner: dict[str, list[int]] = {}
        for number in numbers:
            attempt = self._attempts.pop(number, None)
            if attempt is None:
                continue
            self._selector.record_end(attempt.target)
            by_owner.setdefault(attempt.owner, []).append(number)
        for owner, attempts in by_owner.items():
            self._peers.send(
                owner,
                CancelAttempts(self._peers.local_name, tuple(attempts)),
            )

    def on_peer_lost(self, owner: str) -> None:
        """End all attempts at an owner whose connection broke.

        The owner may already have started them, so they end as
        ``MayHaveRun``.
        """
        for number, attempt in tuple(self._attempts.items()):
            if attempt.owner == owner:
                outcome = MayHaveRun(
                    Reason.PEER_LOST,
                    'entry.wait',
                    owner,
                    retry_after_ms=100,
                )
                self.on_reply(ShardReply(number, outcome))

    def on_not_sent(self, owner: str, numbers: Iterable[int]) -> None:
        """End attempts as ``NotRun`` because they never left this host."""
        for number in numbers:
            outcome = NotRun(
                Reason.PEER_LOST,
                'entry.connect',
                owner,
                retry_after_ms=100,
            )
            self.on_reply(ShardReply(number, outcome))
