"""What every gossip message carries: news, revisions and crashes."""

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
from oriolestage.core.membership._member_table import MemberTable
from oriolestage.core.membership._news import NewsQueue

#: Age sent when the store was never seen, in milliseconds.
NEVER_SEEN_AGE_MS = 3_600_000


class GossipHeaders:
    """Writes the headers of messages and takes over those of others."""

    def __init__(
        self,
        parameters: Parameters,
        timers: Timers,
        freshness: Freshness,
        table: MemberTable,
        contact: Callable[[str], None],
    ) -> None:
        """Call ``contact`` with the address of a host to get to know."""
        self._timers = timers
        self._freshness = freshness
        self._table = table
        self._contact = contact
        self._acquainted: dict[str, int] = {}
        #: Requests that lost targets, to be told to others.
        self.crashes: NewsQueue[CrashMark] = NewsQueue(
            parameters.updates_per_probe,
        )
        #: Newest revision of the configuration here.
        self.revision = 0

    def acquaint(self, name: str, incarnation: int) -> None:
        """Note that a member knows this host."""
        self._acquainted[name] = incarnation

    def write(self, receiver: str) -> GossipHeader:
        """Give the header of a message to a member."""
        age_s = min(
            self._freshness.store_age_s(self._timers.now),
            NEVER_SEEN_AGE_MS / 1000,
        )
        return GossipHeader(
            sender=self._table.me.name,
            incarnation=self._table.me.incarnation,
            revision=self.revision,
            store_age_ms=int(age_s * 1000),
            members=self._pick_news(receiver),
            crashes=tuple(self.crashes.take()),
        )

    def take(self, header: GossipHeader) -> bool:
        """Merge a header; tell whether its sender is a known member."""
        for member in header.members:
            self._table.merge_one(member)
        sender = self._table.get(header.sender)
        unknown = sender is None or sender.incarnation < header.incarnation
        if unknown and sender is not None:
            self._contact(sender.gossip_address)
        return sender is not None

    def _pick_news(self, receiver: str) -> tuple[Member, ...]:
        picked: list[Member] = []
        receiver_news = self._table[receiver]
        if receiver_news.state >= MemberState.SUSPECT:
            picked.append(receiver_news)
        if self._acquainted.get(receiver) != receiver_news.incarnation:
            picked.append(self._table.me)
        for name in self._table.news.take(len(picked), without=receiver):
            picked.append(self._table[name])
        return tuple(picked)
