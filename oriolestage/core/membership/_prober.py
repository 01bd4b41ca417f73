"""Probes members in random order and suspects those without an answer."""

import dataclasses
import random

import msgspec

from oriolestage.core._effects import Outbox, SendGossip
from oriolestage.core._messages import MemberState, Ping, PingRequest
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.membership._gossip_headers import GossipHeaders
from oriolestage.core.membership._member_table import MemberTable


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe that has not been acknowledged yet."""

    subject: str
    sent_at: float
    #: Name of the member on whose behalf this host probes, or empty.
    relayed_for: str = ''
    relayed_sequence: int = 0


class Prober:
    """Sends probes and keeps track of those without an acknowledgement."""

    def __init__(
        self,
        parameters: Parameters,
        randomness: random.Random,
        outbox: Outbox,
        timers: Timers,
        table: MemberTable,
        headers: GossipHeaders,
    ) -> None:
        """Create a prober without outstanding probes."""
        self._parameters = parameters
        self._random = randomness
        self._outbox = outbox
        self._timers = timers
        self._table = table
        self._headers = headers
        self._unprobed: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._sequence = 0

    def pop(self, sequence: int) -> Probe | None:
        """Remove and return an outstanding probe; None if there is none."""
        return self._probes.pop(sequence, None)

    def forget_all(self) -> None:
        """Forget all outstanding probes, so that none leads to a suspicion."""
        self._probes.clear()

    def start(self) -> None:
        """Start the periodic probes, at a random offset in the period."""
        now = self._timers.now
        offset = self._random.random() * self._parameters.probe_period_s
        self._timers.call_at(now + offset, self._probe_next)
        self._timers.call_at(
            now + self._parameters.dead_probe_period_s,
            self._probe_dead,
        )

    def random_member_names(self, count: int, excluding: str = '') -> list[str]:
        """Return up to ``count`` random members that are not dead.

        This host and ``excluding`` are left out.
        """
        names = [
            member.name
            for member in self._table.members
            if member.state < MemberState.DEAD
            and member.name not in {self._table.local_member.name, excluding}
        ]
        return self._random.sample(names, min(count, len(names)))

    def _probe_next(self) -> None:
        now = self._timers.now
        self._timers.call_at(
            now + self._parameters.probe_period_s,
            self._probe_next,
        )
        self._forget_old_probes(now)
        while self._unprobed:
            subject = self._unprobed.pop()
            member = self._table.get(subject)
            if member is None or member.state >= MemberState.DEAD:
                continue
            self._probe(subject)
            return
        self._unprobed = self.random_member_names(len(self._table))
        if self._unprobed:
            self._probe(self._unprobed.pop())

    def _forget_old_probes(self, now: float) -> None:
        oldest_kept = now - 2 * self._parameters.freshness_limit_s
        for sequence, probe in tuple(self._probes.items()):
            if probe.sent_at >= oldest_kept:
                break
            self._probes.pop(sequence)

    def _probe(self, subject: str) -> None:
        now = self._timers.now
        sequence = self.ping(subject)
        self._timers.call_at(
            now + self._parameters.probe_timeout_s,
            lambda: self._request_relays(sequence),
        )
        self._timers.call_at(
            now + self._parameters.probe_period_s,
            lambda: self._suspect_unacknowledged(sequence),
        )

    def _probe_dead(self) -> None:
        now = self._timers.now
        self._timers.call_at(
            now + self._parameters.dead_probe_period_s,
            self._probe_dead,
        )
        dead = self._table.in_states(MemberState.DEAD)
        if dead:
            member = self._random.choice(dead)
            self._table.outgoing_updates.add(member.name, len(self._table))
            self.ping(member.name)

    def ping(
        self,
        subject: str,
        relayed_for: str = '',
        relayed_sequence: int = 0,
    ) -> int:
        """Probe a member and return the sequence number of the probe.

        ``relayed_for`` and ``relayed_sequence`` name the member on whose behalf
        this host probes, and the number of that member's probe.
        """
        self._sequence += 1
        self._probes[self._sequence] = Probe(
            subject,
            self._timers.now,
            relayed_for,
            relayed_sequence,
        )
        member = self._table[subject]
        ping = Ping(self._headers.build(subject), self._sequence, relayed_for)
        self._outbox.add(SendGossip(member.gossip_address, ping))
        return self._sequence

    def _request_relays(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None:
            return
        relays = self.random_member_names(
            self._parameters.relay_count,
            excluding=probe.subject,
        )
        for name in relays:
            request = PingRequest(
                self._headers.build(name),
                sequence,
                probe.subject,
            )
            self._outbox.add(
                SendGossip(self._table[name].gossip_address, request),
            )

    def _suspect_unacknowledged(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None:
            return
        member = self._table.get(probe.subject)
        if member is None or member.state >= MemberState.SUSPECT:
            return
        if member.state is MemberState.LEAVING:
            # It had announced its stop, so it no longer counts for a majority.
            self._table.store(
                msgspec.structs.replace(member, state=MemberState.REMOVED),
            )
            return
        self._table.store(
            msgspec.structs.replace(member, state=MemberState.SUSPECT),
        )
