"""Membership by random probing, at a constant cost for each host.

Each period a host probes one member, in shuffled rounds. An unanswered probe
is relayed by a few others before the member is suspected, so a link cut in one
direction does not eject a healthy host. A suspected member refutes by raising
its incarnation. News about members rides on probes.
"""

import random
from collections.abc import Iterable

from oriolestage.core._effects import Outbox, SendGossip
from oriolestage.core._messages import (
    Ack,
    CrashMark,
    GossipMessage,
    Member,
    MemberState,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
)
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._freshness import Freshness
from oriolestage.core.membership._gossip_headers import GossipHeaders
from oriolestage.core.membership._member_table import MemberTable
from oriolestage.core.membership._prober import Prober


class Membership:
    """Keeps the view of which hosts are alive."""

    def __init__(
        self,
        identity: Identity,
        parameters: Parameters,
        randomness: random.Random,
        outbox: Outbox,
        timers: Timers,
        freshness: Freshness,
    ) -> None:
        """Start with this host as the only member."""
        self._identity = identity
        self._parameters = parameters
        self._outbox = outbox
        self._freshness = freshness
        self._table = MemberTable(
            identity,
            parameters,
            outbox,
            timers,
            on_refuted=lambda: self.announce(parameters.announce_fanout),
        )
        self._headers = GossipHeaders(
            parameters,
            timers,
            freshness,
            self._table,
            self.contact,
        )
        self._prober = Prober(
            parameters,
            randomness,
            outbox,
            timers,
            self._table,
            self._headers,
        )

    @property
    def identity(self) -> Identity:
        """Who this host is."""
        return self._identity

    @property
    def revision(self) -> int:
        """Newest revision of the configuration here, told to others."""
        return self._headers.revision

    @revision.setter
    def revision(self, revision: int) -> None:
        self._headers.revision = revision

    @property
    def version(self) -> int:
        """A number that grows with every change of the view."""
        return self._table.version

    @property
    def members(self) -> tuple[Member, ...]:
        """All members that are not removed, this host included."""
        return self._table.members

    @property
    def fleet_size(self) -> int:
        """Hosts that count for a majority."""
        return self._table.fleet_size

    @property
    def alive_count(self) -> int:
        """Hosts that are alive in this view, this one included."""
        return self._table.alive_count

    def member(self, name: str) -> Member | None:
        """Give what is known of a member."""
        return self._table.get(name)

    def owning_members(self) -> list[Member]:
        """Give the members that may own targets."""
        return self._table.in_states(MemberState.ALIVE, MemberState.SUSPECT)

    def start(self) -> None:
        """Begin probing."""
        self._prober.start()

    def contact(self, gossip_address: str) -> None:
        """Introduce this host to the one at ``gossip_address``."""
        self._outbox.add(
            SendGossip(
                gossip_address, SyncRequest(self._table.me, self.revision)
            ),
        )

    def reply_to(self, member: Member, message: GossipMessage) -> None:
        """Send a gossip message to a member."""
        self._outbox.add(SendGossip(member.gossip_address, message))

    def leave(self) -> None:
        """Announce that this host finishes its work and stops."""
        self._table.replace_me(
            MemberState.LEAVING, self._table.me.incarnation + 1
        )
        self.announce(self._parameters.announce_fanout * 2)

    def on_pause(self) -> None:
        """Forget what a pause of this process made look like silence."""
        self._prober.forget_all()
        self._table.prolong_suspicions()
        self.announce(self._parameters.announce_fanout)

    def spread_crash(self, mark: CrashMark) -> None:
        """Tell all members that a request lost a target."""
        if not self._headers.crashes.holds(mark):
            self._headers.crashes.add(mark, len(self._table))

    def announce(self, fanout: int) -> None:
        """Probe several members at once, so that news travels fast."""
        for name in self._prober.random_names(fanout):
            self._prober.ping(name)

    def on_message(self, message: GossipMessage) -> None:
        """Handle a membership message."""
        match message:
            case Ping():
                self._on_ping(message)
            case Ack():
                self._on_ack(message)
            case PingRequest():
                self._on_ping_request(message)
            case SyncRequest():
                self._on_sync_request(message)
            case SyncReply():
                self.merge(message.members)

    def remove_absent(self, listed: frozenset[str]) -> None:
        """Forget dead members that the host list no longer holds."""
        self._table.remove_absent(listed)

    def merge(self, members: Iterable[Member]) -> None:
        """Take over news about members."""
        for member in members:
            self._table.merge_one(member)

    def _on_ping(self, ping: Ping) -> None:
        if not self._headers.take(ping.header):
            return
        sender = self._table[ping.header.sender]
        ack = Ack(
            self._headers.write(sender.name),
            ping.sequence,
            self._table.me.name,
        )
        self._outbox.add(SendGossip(sender.gossip_address, ack))

    def _on_ack(self, ack: Ack) -> None:
        probe = self._prober.take(ack.sequence)
        known = self._headers.take(ack.header)
        if probe is None:
            return
        if ack.header.sender == ack.subject:
            self._headers.acquaint(ack.subject, ack.header.incarnation)
            self._freshness.record_peer_answer(
                probe.sent_at,
                ack.header.store_age_ms / 1000,
            )
        if not known or not probe.relayed_for:
            return
        asker = self._table.get(probe.relayed_for)
        if asker is None:
            return
        relayed = Ack(
            self._headers.write(asker.name),
            probe.relayed_sequence,
            ack.subject,
        )
        self._outbox.add(SendGossip(asker.gossip_address, relayed))

    def _on_ping_request(self, request: PingRequest) -> None:
        if not self._headers.take(request.header):
            return
        if self._table.get(request.subject) is None:
            return
        self._prober.ping(
            request.subject,
            request.header.sender,
            request.sequence,
        )

    def _on_sync_request(self, request: SyncRequest) -> None:
        self._table.merge_one(request.member)
        known = self._table[request.member.name]
        if known.state >= MemberState.SUSPECT:
            self._table.news.add(known.name, len(self._table))
        reply = SyncReply(self._table.me.name, self.members, self.revision)
        self._outbox.add(SendGossip(request.member.gossip_address, reply))
