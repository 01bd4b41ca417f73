"""Headers of gossip messages: member updates, revision and crashes."""

from collections.abc import Callable

from oriolestage.core._messages import (
    CrashMark,
    GossipHeader,
    Member,
    MemberState,
)
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._freshness import Freshness
from oriolestage.core.membership._gossip_queue import GossipQueue
from oriolestage.core.membership._member_table import MemberTable

#: Largest age of the last contact with the store that a header carries, in
#: milliseconds. It is also sent if there was no contact yet.
NEVER_SEEN_AGE_MS = 3_600_000


class GossipHeaders:
    """Builds headers for other members and merges those received."""

    def __init__(
        self,
        parameters: Parameters,
        timers: Timers,
        freshness: Freshness,
        table: MemberTable,
        contact: Callable[[str], None],
    ) -> None:
        """Create headers for this host.

        ``contact`` is called with the gossip address of a host whose current
        incarnation is not known here.
        """
        self._timers = timers
        self._freshness = freshness
        self._table = table
        self._contact = contact
        # Incarnation of each member that is known to have this host as member.
        self._known_by: dict[str, int] = {}
        #: Crashes of targets that still have to be sent to other members.
        self.crashes: GossipQueue[CrashMark] = GossipQueue(
            parameters.updates_per_probe,
        )
        #: Configuration revision in force at this host.
        self.revision = 0

    def record_known_by(self, name: str, incarnation: int) -> None:
        """Record that an incarnation of a member knows this host."""
        self._known_by[name] = incarnation

    def build(self, receiver: str) -> GossipHeader:
        """Return the header of a message to a member.

        Raises ``KeyError`` if the member is not in the table.
        """
        age_s = min(
            self._freshness.store_age_s(self._timers.now),
            NEVER_SEEN_AGE_MS / 1000,
        )
        return GossipHeader(
            sender=self._table.local_member.name,
            incarnation=self._table.local_member.incarnation,
            revision=self.revision,
            store_age_ms=int(age_s * 1000),
            members=self._pick_updates(receiver),
            crashes=tuple(self.crashes.take()),
        )

    def merge(self, header: GossipHeader) -> bool:
        """Merge the updates of a header; return whether its sender is known.

        A sender with a newer incarnation than the known one is contacted.
        """
        for member in header.members:
            self._table.merge_one(member)
        sender = self._table.get(header.sender)
        unknown = sender is None or sender.incarnation < header.incarnation
        if unknown and sender is not None:
            self._contact(sender.gossip_address)
        return sender is not None

    def _pick_updates(self, receiver: str) -> tuple[Member, ...]:
        picked: list[Member] = []
        receiver_member = self._table[receiver]
        if receiver_member.state >= MemberState.SUSPECT:
            picked.append(receiver_member)
        if self._known_by.get(receiver) != receiver_member.incarnation:
            picked.append(self._table.local_member)
        for name in self._table.outgoing_updates.take(
            len(picked), excluding=receiver
        ):
            picked.append(self._table[name])
        return tuple(picked)
