"""Answers shard requests that came from entry hosts."""

from collections.abc import Callable, Sequence

from oriolestage.core._messages import ShardReplies, ShardReply
from oriolestage.core.configuration._configuration_keeper import (
    ConfigurationKeeper,
)
from oriolestage.core.queries._outcomes import NotRun, Reason, ShardOutcome
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._ownership import PeerMessenger


class ShardReplySender:
    """Sends outcomes of shard requests to the hosts that asked."""

    def __init__(
        self,
        peers: PeerMessenger,
        keeper: ConfigurationKeeper,
        versions_of: Callable[[str], tuple[int, ...]],
    ) -> None:
        """Tell the versions that a target serves with each reply."""
        self._peers = peers
        self._keeper = keeper
        self._versions_of = versions_of

    def build_refusal(
        self, task: ShardTask, reason: Reason, wait_ms: int
    ) -> NotRun:
        """Give a refusal of a shard request."""
        return NotRun(
            reason=reason,
            step='owner.admission',
            peer=task.entry.target,
            retry_after_ms=wait_ms,
            versions=self._versions_of(task.entry.target),
        )

    def refuse_queued(
        self, task: ShardTask, reason: Reason, wait_ms: int
    ) -> None:
        """Refuse a shard request that was queued."""
        refusal = self.build_refusal(task, reason, wait_ms)
        self.send_outcome(task, refusal, queued=True)

    def send_outcome(
        self,
        task: ShardTask,
        outcome: ShardOutcome,
        *,
        queued: bool,
    ) -> None:
        """Send the outcome of one shard request."""
        reply = self.build_reply(task, outcome, queued=queued)
        self.send(task.entry_host, (reply,))

    def build_reply(
        self,
        task: ShardTask,
        outcome: ShardOutcome,
        *,
        queued: bool = False,
    ) -> ShardReply:
        """Give the reply with an outcome."""
        return ShardReply(
            task.entry.attempt,
            outcome,
            self._versions_of(task.entry.target),
            queued,
        )

    def send(self, entry_host: str, replies: Sequence[ShardReply]) -> None:
        """Send replies to one host, if there are any."""
        if not replies:
            return
        message = ShardReplies(
            self._peers.local_name,
            tuple(replies),
            self._keeper.revision,
        )
        self._peers.send(entry_host, message)
