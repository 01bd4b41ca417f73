"""Polls all hosts for the configuration revision in force there."""

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

#: Fixed part of the time between two rounds of queries, in seconds.
POLL_PERIOD_S = 0.2
#: Additional time for each host that is queried, in seconds.
POLL_PERIOD_PER_HOST_S = 0.002


class InForceReport(msgspec.Struct, frozen=True):
    """At which hosts a revision is in force."""

    revision: int
    #: Hosts with this revision or a later one.
    in_force: tuple[str, ...]
    #: Hosts that reported an older revision.
    behind: tuple[str, ...]
    #: Hosts that did not answer.
    not_heard_from: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether the revision is in force at every host."""
        return not self.behind and not self.not_heard_from


@dataclasses.dataclass(slots=True)
class _RevisionPoll:
    revision: int
    deadline: float
    callback: Callable[[InForceReport], None]
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class RevisionPolls:
    """Polls members on behalf of operators who wait for a roll-out."""

    def __init__(
        self,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
    ) -> None:
        """Start without polls."""
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._polls: dict[int, _RevisionPoll] = {}
        self._last_number = 0

    def start(
        self,
        revision: int,
        wait_s: float,
        callback: Callable[[InForceReport], None],
    ) -> None:
        """Poll until all members have ``revision``, at most ``wait_s`` seconds.

        ``callback`` is called once with the final report.
        """
        self._last_number += 1
        poll = _RevisionPoll(revision, self._timers.now + wait_s, callback)
        self._polls[self._last_number] = poll
        self._query_members(self._last_number)

    def on_report(self, report: RevisionReport) -> None:
        """Record the revision that a member reported."""
        poll = self._polls.get(report.sequence)
        if poll is not None:
            poll.revisions[report.sender] = report.revision

    def _query_members(self, number: int) -> None:
        poll = self._polls[number]
        local_name = self._membership.identity.name
        poll.revisions[local_name] = self._membership.revision
        report = self._build_report(poll)
        if report.complete or self._timers.now >= poll.deadline:
            self._polls.pop(number)
            poll.callback(report)
            return
        outstanding = {*report.behind, *report.not_heard_from}
        period_s = POLL_PERIOD_S + POLL_PERIOD_PER_HOST_S * len(outstanding)
        self._timers.call_after(period_s, lambda: self._query_members(number))
        for member in self._membership.members:
            if member.name in outstanding and member.name != local_name:
                query = RevisionQuery(local_name, number)
                self._outbox.add(SendGossip(member.gossip_address, query))

    def _build_report(self, poll: _RevisionPoll) -> InForceReport:
        in_force: list[str] = []
        behind: list[str] = []
        not_heard_from: list[str] = []
        for member in self._membership.members:
            if member.state is MemberState.REMOVED:
                continue
            revision = poll.revisions.get(member.name)
            if revision is None:
                not_heard_from.append(member.name)
            elif revision >= poll.revision:
                in_force.append(member.name)
            else:
                behind.append(member.name)
        return InForceReport(
            poll.revision,
            tuple(sorted(in_force)),
            tuple(sorted(behind)),
            tuple(sorted(not_heard_from)),
        )
