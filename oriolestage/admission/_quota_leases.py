"""The tokens that one host has from one grantor, for one account."""

import dataclasses

from oriolestage.admission._quota_messages import TokenGrant

#: Time after the last answered report was sent for which tokens may be used,
#: in seconds.
VALID_S = 0.5
#: Validity that has to be left when a report is sent, in seconds: tokens that
#: lapse while it is under way would void its answer.
ANSWER_S = 0.2


@dataclasses.dataclass(slots=True)
class TokenLease:
    """Tokens held from one grantor, and what was reported to it.

    The fields have the meanings of those of ``UsageReport``.
    """

    used: int = 0
    held: int = 0
    received: int = 0
    epoch: int = 0
    #: Number of the last report that was sent, and of the last answered one.
    number: int = 0
    answered: int = 0
    #: Times at which unanswered reports were sent, by their numbers.
    sent: dict[int, float] = dataclasses.field(default_factory=dict)
    last_sent_at: float = float('-inf')
    #: The totals of the last report.
    reported: tuple[int, int, int] = (0, 0, 0)
    #: Time at which the last answered report was sent.
    confirmed_at: float = float('-inf')
    #: From the last answer: until when there is no token, and the time between
    #: the tokens that one host can expect.
    next_token_at: float = 0
    interval_s: float = 0
    #: Requests refused since the last answer.
    refused: int = 0

    @property
    def totals(self) -> tuple[int, int, int]:
        """What a report has to tell: epoch, used and held tokens."""
        return self.epoch, self.used, self.held

    def is_valid(self, now: float) -> bool:
        """Return whether tokens that it holds may be used."""
        return now - self.confirmed_at <= VALID_S

    def lapse(self, now: float) -> None:
        """Give up all tokens if the grantor has not answered for long."""
        if self.is_valid(now) or not (self.held or self.received):
            return
        self.epoch += 1
        self.held = 0
        self.received = 0
        self.sent.clear()

    def try_take(self, now: float) -> bool:
        """Use a token; return False if there is none."""
        self.lapse(now)
        if self.held < 1:
            return False
        self.held -= 1
        self.used += 1
        return True

    def put_back(self, now: float) -> None:
        """Return the token of a request that has not run."""
        self.lapse(now)
        self.used -= 1
        if self.is_valid(now):
            self.held += 1

    def record_sent(self, now: float) -> None:
        """Record that a report is sent with the next number."""
        self.sent = {
            number: sent_at
            for number, sent_at in self.sent.items()
            if now - sent_at <= VALID_S
        }
        if not self.sent:
            self.lapse(now + ANSWER_S)
        self.number += 1
        self.sent[self.number] = now
        self.last_sent_at = now
        self.reported = self.totals

    def receive(self, grant: TokenGrant, now: float) -> bool:
        """Take the tokens of an answer; return False if it is outdated."""
        self.lapse(now)
        sent_at = self.sent.get(grant.number)
        if sent_at is None or grant.epoch != self.epoch:
            return False
        self.sent = {
            number: when
            for number, when in self.sent.items()
            if number > grant.number
        }
        self.answered = grant.number
        self.confirmed_at = max(self.confirmed_at, sent_at)
        added = max(0, grant.granted - self.received)
        self.received += added
        self.held += added
        self.next_token_at = now + grant.wait_s
        self.interval_s = grant.interval_s
        self.refused = 0
        self.lapse(now)
        return True
