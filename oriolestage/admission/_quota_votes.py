"""Which of an account's grantors grants the limit itself.

The owner and its two deputies vote: the one that has the vote of another
besides its own leads, so at most one of them does. Votes expire, and a
leader stops before the votes for it may go to another.
"""

import dataclasses
from collections.abc import Callable, Iterable

from oriolestage.admission._quota_hosts import DEPUTIES, QuotaHosts

#: Time for which a vote holds, from when it is given, in seconds.
VOTE_S = 1.5
#: Time for which a leader relies on a vote, from when it asked for it.
LEAD_S = 1.0
#: Interval at which votes are asked for, in seconds.
CLAIM_INTERVAL_S = 0.3
#: Time for which a host asks for votes after the last report, in seconds.
OWNER_ACTIVE_S = 10.0
#: The same for a deputy. It gets reports only while hosts do not reach those
#: that come before it.
DEPUTY_ACTIVE_S = 1.5

#: Names of accounts.
Accounts = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Votes:
    """The votes in one account that concern this host."""

    #: Whom this host votes for, and until when.
    candidate: str = ''
    until: float = float('-inf')
    #: Until when this host has another one's vote.
    led_until: float = float('-inf')
    #: Whether the voters know of no other leader in the last window.
    settled: bool = False
    #: Last time at which this host voted for another one.
    other_at: float = float('-inf')
    #: When this host last got a report, or is to lead for another reason.
    wanted_at: float = float('-inf')


class QuotaVotes:
    """The votes of one host, and those that it got."""

    def __init__(
        self,
        name: str,
        started_at: float,
        settling_s: float,
        may_lead: Callable[[float], bool],
    ) -> None:
        """Create a host without votes.

        Only after ``settling_s`` does it vouch for the absence of leaders.
        """
        self._name = name
        self._started_at = started_at
        self._settling_s = settling_s
        self._may_lead = may_lead
        self._votes: dict[str, _Votes] = {}
        self._hosts = QuotaHosts({})
        #: Claims that are not answered: time and accounts, by number.
        self._claims: dict[int, tuple[float, Accounts]] = {}
        self._number = 0
        self._claimed_at = float('-inf')

    def replace_hosts(self, hosts: QuotaHosts) -> None:
        """Replace the hosts that share the quotas."""
        self._hosts = hosts

    def want(self, account: str, now: float) -> bool:
        """Record that tokens are wanted here; return whether that is new."""
        votes = self._votes.setdefault(account, _Votes())
        new = now - votes.wanted_at > DEPUTY_ACTIVE_S
        votes.wanted_at = now
        return new

    def led_count(self, now: float) -> int:
        """Return the number of accounts whose limit this host grants."""
        return sum(1 for name in self._votes if now < self.led_until(name))

    def led_until(self, account: str) -> float:
        """Return until when this host may grant the limit."""
        grantors = self._hosts.grantors(account)
        if len(grantors) <= DEPUTIES:
            # Two hosts have no majority without one another.
            leads = grantors[:1] == (self._name,)
            return float('inf') if leads else float('-inf')
        votes = self._votes.get(account)
        if votes is None or votes.candidate != self._name:
            return float('-inf')
        return min(votes.led_until, votes.until)

    def is_settled(self, account: str) -> bool:
        """Return whether no other host has led in the last window."""
        votes = self._votes.get(account)
        if len(self._hosts.grantors(account)) <= DEPUTIES:
            return True
        return votes is not None and votes.settled

    def claims(
        self, now: float, *, at_once: bool = False
    ) -> dict[str, tuple[int, Accounts]]:
        """Return the votes to ask for now: number and accounts by host."""
        if now - self._claimed_at < CLAIM_INTERVAL_S and not at_once:
            return {}
        self._claimed_at = now
        by_host: dict[str, list[str]] = {}
        for account, votes in tuple(self._votes.items()):
            if self._forget(account, votes, now):
                continue
            if not self._wants_to_lead(account, votes, now):
                continue
            votes.candidate = self._name
            votes.until = now + VOTE_S
            for other in self._hosts.grantors(account):
                if other != self._name:
                    by_host.setdefault(other, []).append(account)
        sent: dict[str, tuple[int, Accounts]] = {}
        for other, accounts in by_host.items():
            self._number += 1
            self._claims[self._number] = (now, tuple(accounts))
            sent[other] = (self._number, tuple(accounts))
        self._claims = {
            number: claim
            for number, claim in self._claims.items()
            if now - claim[0] <= LEAD_S
        }
        return sent

    def vote(
        self, claimant: str, accounts: Iterable[str], now: float
    ) -> tuple[Accounts, Accounts]:
        """Return the accounts in which a host gets the vote of this one.

        The second part has those of them in which this host knows that none
        other has led lately.
        """
        granted: list[str] = []
        settled: list[str] = []
        for account in accounts:
            votes = self._votes.setdefault(account, _Votes())
            if not self._is_electable(claimant, account, votes, now):
                continue
            last_other_at = max(self._started_at, votes.other_at)
            if votes.candidate != claimant:
                if votes.candidate:
                    votes.other_at = votes.until
                    last_other_at = max(last_other_at, votes.until)
                votes.led_until = float('-inf')
            votes.candidate = claimant
            votes.until = now + VOTE_S
            granted.append(account)
            if now - last_other_at > self._settling_s:
                settled.append(account)
        return tuple(granted), tuple(settled)

    def receive(
        self,
        number: int,
        granted: Iterable[str],
        settled: Iterable[str],
    ) -> None:
        """Take the votes that another host has given."""
        claim = self._claims.pop(number, None)
        if claim is None:
            return
        asked_at, accounts = claim
        known = frozenset(settled)
        for account in granted:
            votes = self._votes.get(account)
            if votes is None or account not in accounts:
                continue
            votes.led_until = max(votes.led_until, asked_at + LEAD_S)
            votes.settled = account in known

    def _wants_to_lead(self, account: str, votes: _Votes, now: float) -> bool:
        grantors = self._hosts.grantors(account)
        if self._name not in grantors or not self._may_lead(now):
            return False
        owns = grantors[0] == self._name
        active_s = OWNER_ACTIVE_S if owns else DEPUTY_ACTIVE_S
        if now - votes.wanted_at > active_s:
            return False
        return votes.candidate == self._name or votes.until <= now

    def _is_electable(
        self, claimant: str, account: str, votes: _Votes, now: float
    ) -> bool:
        """Return whether this host may vote for another one."""
        grantors = self._hosts.grantors(account)
        if claimant not in grantors or self._name not in grantors:
            return False
        precedes = grantors.index(self._name) < grantors.index(claimant)
        if precedes and self._wants_to_lead(account, votes, now):
            return False
        if votes.candidate == claimant or votes.until <= now:
            return True
        # This host stops leading for one that comes before it.
        return votes.candidate == self._name and not precedes

    def _forget(self, account: str, votes: _Votes, now: float) -> bool:
        """Forget an account that has not mattered for long."""
        last = max(votes.wanted_at, votes.until, votes.other_at)
        if now - last <= 2 * self._settling_s:
            return False
        self._votes.pop(account)
        return True
