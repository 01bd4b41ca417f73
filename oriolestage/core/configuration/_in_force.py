"""Finds out at how many hosts a revision is in force."""

import dataclasses
from collections.abc import Callable

import msgspec

from oriolestage.core._effects import Outbox, SendGossip
from oriolestage.core._messages import (
    MemberState,
    RevisionQuery,
    RevisionReport,
)
from oriolestage.core._timers import Timers
from oriolestage.core.membership._membership import Membership

#: Time between two rounds of questions, in seconds.
POLL_PERIOD_S = 0.2
#: Time between two rounds in a large fleet, for each host, in seconds.
POLL_PERIOD_PER_HOST_S = 0.002


class InForceReport(msgspec.Struct, frozen=True):
    """How far a revision has come."""

    revision: int
    #: Hosts at which it is in force.
    in_force: tuple[str, ...]
    #: Hosts that answered with an older revision.
    behind: tuple[str, ...]
    #: Hosts that did not answer.
    not_heard_from: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Tell whether every host reported the revision."""
        return not self.behind and not self.not_heard_from


@dataclasses.dataclass(slots=True)
class _RevisionPoll:
    revision: int
    deadline: float
    callback: Callable[[InForceReport], None]
    reported: dict[str, int] = dataclasses.field(default_factory=dict)


class RevisionPolls:
    """Asks every member for its revision while an operator waits."""

    def __init__(
        self,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
    ) -> None:
        """Start without surveys."""
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._polls: dict[int, _RevisionPoll] = {}
        self._number = 0

    def start(
        self,
        revision: int,
        wait_s: float,
        callback: Callable[[InForceReport], None],
    ) -> None:
        """Report once all members have the revision, or after ``wait_s``."""
        self._number += 1
        poll = _RevisionPoll(revision, self._timers.now + wait_s, callback)
        self._polls[self._number] = poll
        self._ask(self._number)

    def on_report(self, report: RevisionReport) -> None:
        """Take in the revision of a member."""
        poll = self._polls.get(report.sequence)
        if poll is not None:
            poll.reported[report.sender] = report.revision

    def _ask(self, number: int) -> None:
        poll = self._polls[number]
        me = self._membership.identity.name
        poll.reported[me] = self._membership.revision
        report = self._summary(poll)
        if report.complete or self._timers.now >= poll.deadline:
            self._polls.pop(number)
            poll.callback(report)
            return
        waiting = {*report.behind, *report.not_heard_from}
        for member in self._membership.members:
            if member.name in waiting and member.name != me:
                query = RevisionQuery(me, number)
                self._outbox.add(SendGossip(member.gossip_address, query))
        round_s = POLL_PERIOD_S + POLL_PERIOD_PER_HOST_S * len(waiting)
        self._timers.call_after(round_s, lambda: self._ask(number))

    def _summary(self, poll: _RevisionPoll) -> InForceReport:
        in_force: list[str] = []
        behind: list[str] = []
        missing: list[str] = []
        for member in self._membership.members:
            if member.state is MemberState.REMOVED:
                continue
            revision = poll.reported.get(member.name)
            if revision is None:
                missing.append(member.name)
            elif revision >= poll.revision:
                in_force.append(member.name)
            else:
                behind.append(member.name)
        return InForceReport(
            poll.revision,
            tuple(sorted(in_force)),
            tuple(sorted(behind)),
            tuple(sorted(missing)),
        )
