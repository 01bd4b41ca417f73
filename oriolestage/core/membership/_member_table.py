"""Table of the known members, with their states and suspicions."""

from collections import Counter
from collections.abc import Callable

import msgspec

from oriolestage.core._effects import Outbox
from oriolestage.core._field_types import MAX_COUNT
from oriolestage.core._messages import Member, MemberState
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.membership._gossip_queue import GossipQueue


class MemberTable:
    """Holds the newest known state of each member.

    A suspected member is declared dead when its suspicion times out. This host
    refutes a wrong state that others report of it by raising its incarnation.
    """

    def __init__(
        self,
        identity: Identity,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        on_refuted: Callable[[], None],
    ) -> None:
        """Create a table with this host as its only member.

        ``on_refuted`` is called after this host has raised its incarnation to
        refute a wrong state.
        """
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._on_refuted = on_refuted
        self._local_member = Member(
            name=identity.name,
            gossip_address=identity.gossip_address,
            data_address=identity.data_address,
            data_centre=identity.data_centre,
            incarnation=identity.incarnation,
        )
        self._members: dict[str, Member] = {identity.name: self._local_member}
        # Kept as counters because each request checks for a majority.
        self._state_counts = Counter((MemberState.ALIVE,))
        #: Names of members whose state still has to be sent to others.
        self.outgoing_updates: GossipQueue[str] = GossipQueue(
            parameters.updates_per_probe
        )
        self._suspected_until: dict[str, float] = {}
        self._version = 0

    @property
    def local_member(self) -> Member:
        """The entry of this host."""
        return self._local_member

    @property
    def version(self) -> int:
        """A counter that grows with each change of a member's state."""
        return self._version

    @property
    def members(self) -> tuple[Member, ...]:
        """All members that are not removed, including this host."""
        return tuple(
            member
            for member in self._members.values()
            if member.state is not MemberState.REMOVED
        )

    @property
    def fleet_size(self) -> int:
        """Number of hosts of which a majority is needed.

        Leaving and removed members do not count; suspected and dead ones do.
        """
        excluded_states = (MemberState.LEAVING, MemberState.REMOVED)
        excluded = sum(self._state_counts[state] for state in excluded_states)
        return len(self._members) - excluded

    @property
    def alive_count(self) -> int:
        """Number of hosts that are alive in this view, including this one."""
        return self._state_counts[MemberState.ALIVE]

    def __len__(self) -> int:
        """Return the number of members, including removed ones."""
        return len(self._members)

    def __getitem__(self, name: str) -> Member:
        """Return a member; raise ``KeyError`` if it is unknown."""
        return self._members[name]

    def get(self, name: str) -> Member | None:
        """Return a member, or None if it is unknown."""
        return self._members.get(name)

    def in_states(self, *states: MemberState) -> list[Member]:
        """Return the members that are in one of the given states."""
        return [
            member
            for member in self._members.values()
            if member.state in states
        ]

    def restart_suspicions(self) -> None:
        """Restart the timeouts of all suspicions."""
        for name in self._suspected_until:
            self._suspected_until[name] = (
                self._timers.now + self._parameters.suspicion_s
            )

    def merge_one(self, update: Member) -> None:
        """Apply an update about a member if it supersedes the known state.

        An unknown member that is already dead or removed is not added.
        """
        if update.name == self._local_member.name:
            self._refute(update)
            return
        known = self._members.get(update.name)
        if known is not None and not _supersedes(update, known):
            return
        if known is None and update.state >= MemberState.DEAD:
            return
        self.store(update)

    def _refute(self, update: Member) -> None:
        contradicts = update.state > self._local_member.state
        if (
            not contradicts
            or update.incarnation < self._local_member.incarnation
        ):
            return
        if update.incarnation >= MAX_COUNT:
            # No host would accept a higher incarnation.
            return
        self._outbox.log(
            'suspicion_refuted',
            step='membership',
            state=update.state.name,
        )
        self.update_local_member(
            self._local_member.state, update.incarnation + 1
        )
        self._on_refuted()

    def update_local_member(self, state: MemberState, incarnation: int) -> None:
        """Change the state and incarnation of this host and spread them."""
        self._local_member = msgspec.structs.replace(
            self._local_member,
            state=state,
            incarnation=incarnation,
        )
        self.store(self._local_member)

    def store(self, member: Member) -> None:
        """Store a new state of a member and queue it for gossip.

        A suspected member gets a timeout after which it is declared dead.
        """
        known = self._members.get(member.name)
        self._members[member.name] = member
        self._state_counts[member.state] += 1
        if known is not None:
            self._state_counts[known.state] -= 1
        self.outgoing_updates.add(member.name, len(self._members))
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
        self.store(
            msgspec.structs.replace(suspected, state=MemberState.DEAD),
        )

    def remove_absent(self, listed: frozenset[str]) -> None:
        """Mark dead members that the host list does not name as removed.

        Removed members no longer count for a majority.
        """
        for member in tuple(self._members.values()):
            if member.state is not MemberState.DEAD or member.name in listed:
                continue
            removed = msgspec.structs.replace(
                member,
                state=MemberState.REMOVED,
            )
            self.store(removed)


def _supersedes(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state
