"""Shard requests that this host sent to owners and has no outcome for."""

import dataclasses
from collections.abc import Callable, Iterable

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
    """Matches replies of owners to the requests they answer."""

    def __init__(
        self,
        parameters: Parameters,
        timers: Timers,
        peers: PeerMessenger,
        selector: TargetSelector,
    ) -> None:
        """Start without requests in flight."""
        self._timers = timers
        self._peers = peers
        self._selector = selector
        self._attempts: dict[int, _Attempt] = {}
        self._health = OwnerHealth(parameters.silence_limit_s)
        self._number = 0
        self._late_replies = 0

    @property
    def late_replies(self) -> int:
        """Replies that came after their request was given up."""
        return self._late_replies

    def register(
        self,
        owner: str,
        target: str,
        callback: ReplyCallback,
    ) -> int:
        """Give a new request its number."""
        self._number += 1
        self._attempts[self._number] = _Attempt(
            owner,
            target,
            callback,
        )
        self._selector.record_dispatch(target)
        self._health.record_sent(owner, self._timers.now)
        return self._number

    def on_reply(self, reply: ShardReply) -> None:
        """Hand a reply to whoever waits for it; drop late ones."""
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
        attempt.callback(reply)

    def on_replies(self, message: ShardReplies) -> None:
        """Take the replies of an owner."""
        self._health.record_reply(message.sender)
        for reply in message.replies:
            self.on_reply(reply)

    def is_silent(self, owner: str) -> bool:
        """Tell whether an owner takes requests and does not reply."""
        return self._health.is_silent(owner, self._timers.now)

    def target_of(self, number: int) -> str:
        """Give the target of a request in flight."""
        return self._attempts[number].target

    def owner_of(self, number: int) -> str:
        """Give the owner that a request in flight goes to."""
        return self._attempts[number].owner

    def cancel(self, numbers: Iterable[int]) -> None:
        """Give up requests and tell their owners so."""
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
        """End all requests at an owner whose connection broke."""
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
        """End requests that never left this host."""
        for number in numbers:
            outcome = NotRun(
                Reason.PEER_LOST,
                'entry.connect',
                owner,
                retry_after_ms=100,
            )
            self.on_reply(ShardReply(number, outcome))
