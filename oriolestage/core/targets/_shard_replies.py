"""Sends replies to shard requests of entry hosts."""

from collections.abc import Callable, Sequence

from oriolestage.core._messages import ShardReplies, ShardReply
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._outcomes import NotRun, Reason, ShardOutcome
from oriolestage.core.targets._fair_queue import ShardTask
from oriolestage.core.targets._ownership import PeerMessenger


class ShardReplySender:
    """Sends outcomes of shard requests to the hosts that sent them."""

    def __init__(
        self,
        peers: PeerMessenger,
        configuration: ConfigurationTracker,
        versions_of: Callable[[str], tuple[int, ...]],
    ) -> None:
        """Create a sender.

        ``versions_of`` returns the index versions that a target serves; each
        reply carries them.
        """
        self._peers = peers
        self._configuration = configuration
        self._versions_of = versions_of

    def build_refusal(
        self, task: ShardTask, reason: Reason, wait_ms: int
    ) -> NotRun:
        """Return the refusal of a shard request that was not run.

        ``wait_ms`` is the suggested retry delay.
        """
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
        """Send the refusal of a shard request that was queued."""
        refusal = self.build_refusal(task, reason, wait_ms)
        self.send_outcome(task, refusal, queued=True)

    def send_outcome(
        self,
        task: ShardTask,
        outcome: ShardOutcome,
        *,
        queued: bool,
    ) -> None:
        """Send the outcome of one shard request to its entry host."""
        reply = self.build_reply(task, outcome, queued=queued)
        self.send(task.entry_host, (reply,))

    def build_reply(
        self,
        task: ShardTask,
        outcome: ShardOutcome,
        *,
        queued: bool = False,
    ) -> ShardReply:
        """Return the reply that carries the outcome of a shard request.

        ``queued`` tells that the target had no free slot at once.
        """
        return ShardReply(
            task.entry.attempt,
            outcome,
            self._versions_of(task.entry.target),
            queued,
        )

    def send(self, entry_host: str, replies: Sequence[ShardReply]) -> None:
        """Send replies to one host in one message, if there are any."""
        if not replies:
            return
        message = ShardReplies(
            self._peers.local_name,
            tuple(replies),
            self._configuration.revision,
        )
        self._peers.send(entry_host, message)
