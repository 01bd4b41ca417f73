"""Membership by random probing, at a constant cost for each host.

Each period a host probes one member, in shuffled rounds. An unanswered probe
is relayed by a few others before the member is suspected, so a link cut in one
direction does not eject a healthy host. A suspected member refutes by raising
its incarnation. News about members rides on probes.
"""

import dataclasses
import random
from collections import Counter
from collections.abc import Iterable

import msgspec

from oriolestage.core._effects import Outbox, SendGossip
from oriolestage.core._messages import (
    Ack,
    CrashMark,
    GossipHeader,
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
from oriolestage.core.membership._news import NewsQueue

#: Age sent when the store was never seen, in milliseconds.
NEVER_SEEN_AGE_MS = 3_600_000


@dataclasses.dataclass(slots=True)
class _Probe:
    subject: str
    sent_at: float
    #: Set when this host probes on behalf of another one.
    relayed_for: str = ''
    relayed_sequence: int = 0


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
        self._random = randomness
        self._outbox = outbox
        self._timers = timers
        self._freshness = freshness
        self._self = Member(
            name=identity.name,
            gossip_address=identity.gossip_address,
            data_address=identity.data_address,
            data_centre=identity.data_centre,
            incarnation=identity.incarnation,
        )
        self._members: dict[str, Member] = {identity.name: self._self}
        # Counted here because every request asks for a majority.
        self._state_counts = Counter((MemberState.ALIVE,))
        self._news: NewsQueue[str] = NewsQueue(parameters.news_per_probe)
        self._crashes: NewsQueue[CrashMark] = NewsQueue(
            parameters.news_per_probe,
        )
        self._round: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._acquainted: dict[str, int] = {}
        self._suspected_until: dict[str, float] = {}
        self._sequence = 0
        self._version = 0
        self.revision = 0

    @property
    def identity(self) -> Identity:
        """Who this host is."""
        return self._identity

    @property
    def version(self) -> int:
        """A number that grows with every change of the view."""
        return self._version

    @property
    def members(self) -> tuple[Member, ...]:
        """All members that are not removed, this host included."""
        return tuple(
            member
            for member in self._members.values()
            if member.state is not MemberState.REMOVED
        )

    @property
    def fleet_size(self) -> int:
        """Hosts that count for a majority."""
        not_counted = (MemberState.LEAVING, MemberState.REMOVED)
        gone = sum(self._state_counts[state] for state in not_counted)
        return len(self._members) - gone

    @property
    def alive_count(self) -> int:
        """Hosts that are alive in this view, this one included."""
        return self._state_counts[MemberState.ALIVE]

    def member(self, name: str) -> Member | None:
        """Give what is known of a member."""
        return self._members.get(name)

    def owning_members(self) -> list[Member]:
        """Give the members that may own targets."""
        return [
            member
            for member in self._members.values()
            if member.state in {MemberState.ALIVE, MemberState.SUSPECT}
        ]

    def start(self) -> None:
        """Begin probing."""
        now = self._timers.now
        offset = self._random.random() * self._parameters.probe_period_s
        self._timers.call_at(now + offset, self._probe_next)
        self._timers.call_at(
            now + self._parameters.dead_probe_period_s,
            self._probe_dead,
        )

    def contact(self, gossip_address: str) -> None:
        """Introduce this host to the one at ``gossip_address``."""
        self._outbox.add(
            SendGossip(gossip_address, SyncRequest(self._self, self.revision)),
        )

    def reply_to(self, member: Member, message: GossipMessage) -> None:
        """Send a gossip message to a member."""
        self._outbox.add(SendGossip(member.gossip_address, message))

    def leave(self) -> None:
        """Announce that this host finishes its work and stops."""
        self._replace_self(MemberState.LEAVING, self._self.incarnation + 1)
        self.announce(self._parameters.announce_fanout * 2)

    def on_pause(self) -> None:
        """Forget what a pause of this process made look like silence."""
        self._probes.clear()
        for name in self._suspected_until:
            self._suspected_until[name] = (
                self._timers.now + self._parameters.suspicion_s
            )
        self.announce(self._parameters.announce_fanout)

    def spread_crash(self, mark: CrashMark) -> None:
        """Tell all members that a request lost a target."""
        if not self._crashes.holds(mark):
            self._crashes.add(mark, len(self._members))

    def announce(self, fanout: int) -> None:
        """Probe several members at once, so that news travels fast."""
        for name in self._random_names(fanout):
            self._send_ping(name)

    def _random_names(self, count: int, without: str = '') -> list[str]:
        names = [
            member.name
            for member in self._members.values()
            if member.state < MemberState.DEAD
            and member.name not in {self._self.name, without}
        ]
        return self._random.sample(names, min(count, len(names)))

    # Messages.

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

    def merge(self, members: Iterable[Member]) -> None:
        """Take over news about members."""
        for member in members:
            self._merge_one(member)

    def remove_absent(self, listed: frozenset[str]) -> None:
        """Forget dead members that the host list no longer holds."""
        for member in tuple(self._members.values()):
            if member.state is not MemberState.DEAD or member.name in listed:
                continue
            removed = msgspec.structs.replace(
                member,
                state=MemberState.REMOVED,
            )
            self._store(removed)

    def _merge_one(self, update: Member) -> None:
        if update.name == self._self.name:
            self._refute(update)
            return
        known = self._members.get(update.name)
        if known is not None and not _overrides(update, known):
            return
        if known is None and update.state >= MemberState.DEAD:
            return
        self._store(update)

    def _refute(self, update: Member) -> None:
        wrong = update.state > self._self.state
        if not wrong or update.incarnation < self._self.incarnation:
            return
        self._outbox.log(
            'suspicion_refuted',
            step='membership',
            state=update.state.name,
        )
        self._replace_self(self._self.state, update.incarnation + 1)
        self.announce(self._parameters.announce_fanout)

    def _replace_self(self, state: MemberState, incarnation: int) -> None:
        self._self = msgspec.structs.replace(
            self._self,
            state=state,
            incarnation=incarnation,
        )
        self._store(self._self)

    def _store(self, member: Member) -> None:
        known = self._members.get(member.name)
        self._members[member.name] = member
        self._state_counts[member.state] += 1
        if known is not None:
            self._state_counts[known.state] -= 1
        self._news.add(member.name, len(self._members))
        if known is not None and known.state is member.state:
            return
        self._version += 1
        self._outbox.log(
            'member_state',
            step='membership',
            peer=member.name,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )
        self._suspected_until.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            until = self._timers.now + self._parameters.suspicion_s
            self._suspected_until[member.name] = until
            self._timers.call_at(until, lambda: self._end_suspicion(member))

    def _end_suspicion(self, suspected: Member) -> None:
        name = suspected.name
        if self._members[name] != suspected:
            return
        until = self._suspected_until[name]
        if self._timers.now < until:
            self._timers.call_at(
                until,
                lambda: self._end_suspicion(suspected),
            )
            return
        self._store(
            msgspec.structs.replace(suspected, state=MemberState.DEAD),
        )

    # Probing.

    def _probe_next(self) -> None:
        now = self._timers.now
        self._timers.call_at(
            now + self._parameters.probe_period_s,
            self._probe_next,
        )
        self._forget_old_probes(now)
        while self._round:
            subject = self._round.pop()
            member = self._members.get(subject)
            if member is None or member.state >= MemberState.DEAD:
                continue
            self._probe(subject)
            return
        self._round = self._random_names(len(self._members))
        if self._round:
            self._probe(self._round.pop())

    def _forget_old_probes(self, now: float) -> None:
        horizon = now - 2 * self._parameters.freshness_limit_s
        for sequence, probe in tuple(self._probes.items()):
            if probe.sent_at >= horizon:
                break
            self._probes.pop(sequence)

    def _probe(self, subject: str) -> None:
        now = self._timers.now
        sequence = self._send_ping(subject)
        self._timers.call_at(
            now + self._parameters.probe_timeout_s,
            lambda: self._relay_probe(sequence),
        )
        self._timers.call_at(
            now + self._parameters.probe_period_s,
            lambda: self._end_probe(sequence),
        )

    def _probe_dead(self) -> None:
        now = self._timers.now
        self._timers.call_at(
            now + self._parameters.dead_probe_period_s,
            self._probe_dead,
        )
        dead = [
            member
            for member in self._members.values()
            if member.state is MemberState.DEAD
        ]
        if dead:
            member = self._random.choice(dead)
            self._news.add(member.name, len(self._members))
            self._send_ping(member.name)

    def _send_ping(
        self,
        subject: str,
        relayed_for: str = '',
        relayed_sequence: int = 0,
    ) -> int:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(
            subject,
            self._timers.now,
            relayed_for,
            relayed_sequence,
        )
        member = self._members[subject]
        ping = Ping(self._header(subject), self._sequence, relayed_for)
        self._outbox.add(SendGossip(member.gossip_address, ping))
        return self._sequence

    def _relay_probe(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None:
            return
        relays = self._random_names(
            self._parameters.relay_count,
            without=probe.subject,
        )
        for name in relays:
            request = PingRequest(
                self._header(name),
                sequence,
                probe.subject,
            )
            self._outbox.add(
                SendGossip(self._members[name].gossip_address, request),
            )

    def _end_probe(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None:
            return
        member = self._members.get(probe.subject)
        if member is None or member.state >= MemberState.SUSPECT:
            return
        if member.state is MemberState.LEAVING:
            # It said that it goes, so it no longer counts for a majority.
            self._store(
                msgspec.structs.replace(member, state=MemberState.REMOVED),
            )
            return
        self._store(
            msgspec.structs.replace(member, state=MemberState.SUSPECT),
        )

    def _on_ping(self, ping: Ping) -> None:
        if not self._take_header(ping.header):
            return
        sender = self._members[ping.header.sender]
        ack = Ack(
            self._header(sender.name),
            ping.sequence,
            self._self.name,
        )
        self._outbox.add(SendGossip(sender.gossip_address, ack))

    def _on_ack(self, ack: Ack) -> None:
        probe = self._probes.pop(ack.sequence, None)
        known = self._take_header(ack.header)
        if probe is None:
            return
        if ack.header.sender == ack.subject:
            self._acquainted[ack.subject] = ack.header.incarnation
            self._freshness.note_peer_answer(
                probe.sent_at,
                ack.header.store_age_ms / 1000,
            )
        if not known or not probe.relayed_for:
            return
        asker = self._members.get(probe.relayed_for)
        if asker is None:
            return
        relayed = Ack(
            self._header(asker.name),
            probe.relayed_sequence,
            ack.subject,
        )
        self._outbox.add(SendGossip(asker.gossip_address, relayed))

    def _on_ping_request(self, request: PingRequest) -> None:
        if not self._take_header(request.header):
            return
        if request.subject not in self._members:
            return
        self._send_ping(
            request.subject,
            request.header.sender,
            request.sequence,
        )

    def _on_sync_request(self, request: SyncRequest) -> None:
        self._merge_one(request.member)
        known = self._members[request.member.name]
        if known.state >= MemberState.SUSPECT:
            self._news.add(known.name, len(self._members))
        reply = SyncReply(self._self.name, self.members, self.revision)
        self._outbox.add(SendGossip(request.member.gossip_address, reply))

    def _header(self, receiver: str) -> GossipHeader:
        age_s = min(
            self._freshness.store_age_s(self._timers.now),
            NEVER_SEEN_AGE_MS / 1000,
        )
        return GossipHeader(
            sender=self._self.name,
            incarnation=self._self.incarnation,
            revision=self.revision,
            store_age_ms=int(age_s * 1000),
            members=self._pick_news(receiver),
            crashes=tuple(self._crashes.take()),
        )

    def _take_header(self, header: GossipHeader) -> bool:
        """Merge a header; tell whether its sender is a known member."""
        self.merge(header.members)
        sender = self._members.get(header.sender)
        unknown = sender is None or sender.incarnation < header.incarnation
        if unknown and sender is not None:
            self.contact(sender.gossip_address)
        return sender is not None

    def _pick_news(self, receiver: str) -> tuple[Member, ...]:
        picked: list[Member] = []
        receiver_news = self._members[receiver]
        if receiver_news.state >= MemberState.SUSPECT:
            picked.append(receiver_news)
        if self._acquainted.get(receiver) != receiver_news.incarnation:
            picked.append(self._self)
        for name in self._news.take(len(picked), without=receiver):
            picked.append(self._members[name])
        return tuple(picked)


def _overrides(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state
