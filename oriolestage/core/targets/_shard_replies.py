"""Answers shard requests that came from entry hosts."""

from collections.abc import Callable, Sequence

from oriolestage.core._messages import ShardReplies, ShardReply
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._outcomes import NotRun, Reason, ShardOutcome
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._ownership import PeerPort


class ShardReplySender:
    """Sends outcomes of shard requests to the hosts that asked."""

    def __init__(
        self,
        peers: PeerPort,
        configuration: ConfigurationTracker,
        versions_of: Callable[[str], tuple[int, ...]],
    ) -> None:
        """Tell the versions that a target serves with each reply."""
        self._peers = peers
        self._configuration = configuration
        self._versions_of = versions_of

    def not_run(self, task: ShardTask, reason: Reason, wait_ms: int) -> NotRun:
        """Give a refusal of a shard request."""
        return NotRun(
            reason=reason,
            step='owner.admission',
            peer=task.entry.target,
            retry_after_ms=wait_ms,
            versions=self._versions_of(task.entry.target),
        )

    def refuse(self, task: ShardTask, reason: Reason, wait_ms: int) -> None:
        """Refuse a shard request that was queued."""
        refusal = self.not_run(task, reason, wait_ms)
        self.reply_one(task, refusal, queued=True)

    def reply_one(
        self,
        task: ShardTask,
        outcome: ShardOutcome,
        *,
        queued: bool,
    ) -> None:
        """Send the outcome of one shard request."""
        reply = self.reply_to(task, outcome, queued=queued)
        self.send(task.entry_host, (reply,))

    def reply_to(
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
            self._peers.me,
            tuple(replies),
            self._configuration.revision,
        )
        self._peers.send(entry_host, message)
