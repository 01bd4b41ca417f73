"""Membership and failure detection by gossip, in the style of SWIM.

In each period a host probes one member, going through all members in random
order, so the load of a host does not grow with the fleet. If a probe is not
acknowledged, a few other members probe on behalf of the host before the member
is suspected, so a link that is cut in one direction does not eject a healthy
host. A suspected member refutes the suspicion by raising its incarnation.
Updates about members are piggybacked on probes.
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
    """This host's view of which hosts are alive."""

    def __init__(
        self,
        identity: Identity,
        parameters: Parameters,
        randomness: random.Random,
        outbox: Outbox,
        timers: Timers,
        freshness: Freshness,
    ) -> None:
        """Create a view with this host as its only member."""
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
        """Name, addresses and data centre of this host."""
        return self._identity

    @property
    def revision(self) -> int:
        """Configuration revision in force here, sent with each probe."""
        return self._headers.revision

    @revision.setter
    def revision(self, revision: int) -> None:
        self._headers.revision = revision

    @property
    def version(self) -> int:
        """A counter that grows with each change of a member's state."""
        return self._table.version

    @property
    def members(self) -> tuple[Member, ...]:
        """All members that are not removed, including this host."""
        return self._table.members

    @property
    def fleet_size(self) -> int:
        """Number of hosts of which a majority is needed."""
        return self._table.fleet_size

    @property
    def alive_count(self) -> int:
        """Number of hosts that are alive in this view, including this one."""
        return self._table.alive_count

    def member(self, name: str) -> Member | None:
        """Return a member, or None if it is unknown."""
        return self._table.get(name)

    def eligible_owners(self) -> list[Member]:
        """Return the members that may own targets.

        Suspected members keep their targets until they are declared dead.
        """
        return self._table.in_states(MemberState.ALIVE, MemberState.SUSPECT)

    def start(self) -> None:
        """Start probing other members."""
        self._prober.start()

    def contact(self, gossip_address: str) -> None:
        """Introduce this host to another one and ask for its members."""
        self._outbox.add(
            SendGossip(
                gossip_address,
                SyncRequest(self._table.local_member, self.revision),
            ),
        )

    def send_to(self, member: Member, message: GossipMessage) -> None:
        """Send a gossip message to a member."""
        self._outbox.add(SendGossip(member.gossip_address, message))

    def leave(self) -> None:
        """Announce that this host is leaving for a planned stop."""
        self._table.update_local_member(
            MemberState.LEAVING, self._table.local_member.incarnation + 1
        )
        self.announce(self._parameters.announce_fanout * 2)

    def on_pause(self) -> None:
        """Avoid suspicions that are only due to a pause of this process.

        Outstanding probes are dropped, and the timeouts of suspicions restart.
        """
        self._prober.forget_all()
        self._table.restart_suspicions()
        self.announce(self._parameters.announce_fanout)

    def spread_crash(self, mark: CrashMark) -> None:
        """Queue the crash of a target for gossip, unless already queued."""
        if not self._headers.crashes.is_pending(mark):
            self._headers.crashes.add(mark, len(self._table))

    def announce(self, fanout: int) -> None:
        """Probe ``fanout`` random members at once, to spread updates fast."""
        for name in self._prober.random_member_names(fanout):
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
        """Mark dead members that the host list does not name as removed."""
        self._table.remove_absent(listed)

    def merge(self, members: Iterable[Member]) -> None:
        """Apply updates about members."""
        for member in members:
            self._table.merge_one(member)

    def _on_ping(self, ping: Ping) -> None:
        if not self._headers.merge(ping.header):
            return
        sender = self._table[ping.header.sender]
        ack = Ack(
            self._headers.build(sender.name),
            ping.sequence,
            self._table.local_member.name,
        )
        self._outbox.add(SendGossip(sender.gossip_address, ack))

    def _on_ack(self, ack: Ack) -> None:
        probe = self._prober.pop(ack.sequence)
        known = self._headers.merge(ack.header)
        if probe is None:
            return
        if ack.header.sender == ack.subject:
            self._headers.record_known_by(ack.subject, ack.header.incarnation)
            self._freshness.record_peer_answer(
                probe.sent_at,
                ack.header.store_age_ms / 1000,
            )
        if not known or not probe.relayed_for:
            return
        requester = self._table.get(probe.relayed_for)
        if requester is None:
            return
        relayed = Ack(
            self._headers.build(requester.name),
            probe.relayed_sequence,
            ack.subject,
        )
        self._outbox.add(SendGossip(requester.gossip_address, relayed))

    def _on_ping_request(self, request: PingRequest) -> None:
        if not self._headers.merge(request.header):
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
        known = self._table.get(request.member.name)
        if known is not None and known.state >= MemberState.SUSPECT:
            self._table.outgoing_updates.add(known.name, len(self._table))
        reply = SyncReply(
            self._table.local_member.name, self.members, self.revision
        )
        self._outbox.add(SendGossip(request.member.gossip_address, reply))
