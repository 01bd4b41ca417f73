"""Dispatches messages between hosts to the components that handle them."""

from oriolestage.core._messages import (
    Ack,
    AcquireTargets,
    CancelAttempts,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ConfigurationReply,
    ConfigurationRequest,
    DataMessage,
    GossipMessage,
    Ping,
    PingRequest,
    RevisionQuery,
    RevisionReport,
    ShardBatch,
    ShardReplies,
    SyncReply,
    SyncRequest,
    TargetLeaving,
    TargetsReleased,
)
from oriolestage.core._node_parts import NodeParts


class MessageRouter:
    """Dispatches gossip and data messages by type."""

    def __init__(self, parts: NodeParts) -> None:
        """Dispatch to the components in ``parts``."""
        self._parts = parts

    def on_gossip(self, message: GossipMessage) -> None:
        """Handle a gossip message from another host."""
        parts = self._parts
        match message:
            case Ping() | Ack() | PingRequest():
                parts.membership.on_message(message)
                parts.crashes.on_crash_marks(message.header.crashes)
                parts.configuration.on_peer_revision(
                    message.header.sender,
                    message.header.revision,
                )
            case SyncRequest() | SyncReply():
                parts.membership.on_message(message)
                if isinstance(message, SyncReply):
                    parts.configuration.on_peer_revision(
                        message.sender,
                        message.revision,
                    )
            case ConfigurationRequest():
                parts.configuration.on_request(message)
            case ConfigurationReply():
                parts.configuration.on_reply(message)
            case RevisionQuery(sender=sender, sequence=sequence):
                self._report_revision(sender, sequence)
            case RevisionReport():
                parts.revision_polls.on_report(message)

    def on_data(self, message: DataMessage) -> None:
        """Handle a data message from another host, or from this one."""
        parts = self._parts
        match message:
            case ShardBatch():
                self._check_peer_revision(message)
                parts.owner.on_batch(message)
            case ShardReplies():
                self._check_peer_revision(message)
                parts.attempts.on_replies(message)
            case CancelAttempts():
                parts.owner.on_cancel(message)
            case AcquireTargets():
                parts.owner.owned.on_acquire(message)
            case TargetsReleased():
                parts.owner.owned.on_released(message)
            case TargetLeaving(target=target, leaving=leaving):
                parts.owner.owned.on_listed(target, leaving=leaving)
            case ClaimRequest():
                parts.keys.on_claim(message)
            case ClaimReply():
                parts.command_runner.on_claim_reply(message)
            case ClaimResult():
                parts.keys.on_result(message)

    def on_data_not_sent(self, peer: str, message: DataMessage) -> None:
        """Handle a data message that certainly did not reach its peer.

        Ends the shard requests of a batch as not run and retries a claim;
        other messages are ignored.
        """
        match message:
            case ShardBatch(entries=entries):
                self._parts.attempts.on_not_sent(
                    peer,
                    [entry.attempt for entry in entries],
                )
            case ClaimRequest(claim=claim):
                self._parts.command_runner.on_claim_not_sent(claim)

    def _check_peer_revision(self, message: ShardBatch | ShardReplies) -> None:
        self._parts.configuration.on_peer_revision(
            message.sender,
            message.revision,
        )

    def _report_revision(self, sender: str, sequence: int) -> None:
        parts = self._parts
        member = parts.membership.member(sender)
        if member is None:
            return
        report = RevisionReport(
            parts.identity.name,
            sequence,
            parts.configuration.revision,
        )
        parts.membership.send_to(member, report)
