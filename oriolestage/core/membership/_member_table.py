"""The members that a host knows, their states and suspicions."""

from collections import Counter
from collections.abc import Callable

import msgspec

from oriolestage.core._effects import Outbox
from oriolestage.core._messages import Member, MemberState
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.membership._news import NewsQueue


class MemberTable:
    """Keeps the newest state of each member.

    A suspected member counts as dead once its suspicion is over. This host
    refutes what others wrongly say of it by raising its incarnation.
    """

    def __init__(
        self,
        identity: Identity,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        on_refuted: Callable[[], None],
    ) -> None:
        """Start with this host as the only member."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._on_refuted = on_refuted
        self._me = Member(
            name=identity.name,
            gossip_address=identity.gossip_address,
            data_address=identity.data_address,
            data_centre=identity.data_centre,
            incarnation=identity.incarnation,
        )
        self._members: dict[str, Member] = {identity.name: self._me}
        # Counted here because every request asks for a majority.
        self._state_counts = Counter((MemberState.ALIVE,))
        #: Names of members whose state has to be told to others.
        self.news: NewsQueue[str] = NewsQueue(parameters.updates_per_probe)
        self._suspected_until: dict[str, float] = {}
        self._version = 0

    @property
    def me(self) -> Member:
        """What this host says of itself."""
        return self._me

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

    def __len__(self) -> int:
        """Give the number of members, removed ones included."""
        return len(self._members)

    def __getitem__(self, name: str) -> Member:
        """Give a member that is known."""
        return self._members[name]

    def get(self, name: str) -> Member | None:
        """Give what is known of a member."""
        return self._members.get(name)

    def in_states(self, *states: MemberState) -> list[Member]:
        """Give the members that are in one of the states."""
        return [
            member
            for member in self._members.values()
            if member.state in states
        ]

    def prolong_suspicions(self) -> None:
        """Let all suspicions begin anew."""
        for name in self._suspected_until:
            self._suspected_until[name] = (
                self._timers.now + self._parameters.suspicion_s
            )

    def merge_one(self, update: Member) -> None:
        """Take over news about a member, if it is newer."""
        if update.name == self._me.name:
            self._refute(update)
            return
        known = self._members.get(update.name)
        if known is not None and not _overrides(update, known):
            return
        if known is None and update.state >= MemberState.DEAD:
            return
        self.store(update)

    def _refute(self, update: Member) -> None:
        wrong = update.state > self._me.state
        if not wrong or update.incarnation < self._me.incarnation:
            return
        self._outbox.log(
            'suspicion_refuted',
            step='membership',
            state=update.state.name,
        )
        self.replace_me(self._me.state, update.incarnation + 1)
        self._on_refuted()

    def replace_me(self, state: MemberState, incarnation: int) -> None:
        """Change what this host says of itself."""
        self._me = msgspec.structs.replace(
            self._me,
            state=state,
            incarnation=incarnation,
        )
        self.store(self._me)

    def store(self, member: Member) -> None:
        """Keep a member's new state and spread it."""
        known = self._members.get(member.name)
        self._members[member.name] = member
        self._state_counts[member.state] += 1
        if known is not None:
            self._state_counts[known.state] -= 1
        self.news.add(member.name, len(self._members))
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
        """Forget dead members that the host list no longer holds."""
        for member in tuple(self._members.values()):
            if member.state is not MemberState.DEAD or member.name in listed:
                continue
            removed = msgspec.structs.replace(
                member,
                state=MemberState.REMOVED,
            )
            self.store(removed)


def _overrides(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state
