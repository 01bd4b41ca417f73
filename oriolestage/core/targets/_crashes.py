"""Counts the targets that one request made crash, and quarantines it."""

from oriolestage._suspects import SuspectBook
from oriolestage.core._effects import Outbox
from oriolestage.core._messages import CrashMark
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.membership._membership import Membership

#: Fingerprints remembered because a target answered them.
SURVIVORS_KEPT = 20_000


class CrashRegister:
    """Remembers losses by request fingerprint and shares them."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
    ) -> None:
        """Start without losses."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._book = SuspectBook(
            parameters.quarantine_threshold,
            parameters.quarantine_s,
            SURVIVORS_KEPT,
        )

    def note_survived(self, fingerprint: int) -> None:
        """Note that a target ran a fingerprint and lived to answer."""
        self._book.note_survived(fingerprint)

    def note_loss(self, fingerprint: int, target: str) -> None:
        """Note a loss seen here and tell the other hosts at once."""
        mark = CrashMark(fingerprint, target, 0)
        if not self._note(mark):
            return
        self._membership.spread_crash(mark)
        self._membership.announce(self._parameters.announce_fanout)

    def on_crash_marks(self, marks: tuple[CrashMark, ...]) -> None:
        """Take over losses that another host saw."""
        for mark in marks:
            if self._note(mark):
                self._membership.spread_crash(mark)

    def losses(self, fingerprint: int) -> int:
        """Give the number of distinct targets lost to a fingerprint."""
        return self._book.losses(fingerprint)

    def quarantine_left_s(self, fingerprint: int) -> float:
        """Give the time for which a fingerprint is still refused."""
        return self._book.quarantine_left_s(fingerprint, self._timers.now)

    def _note(self, mark: CrashMark) -> bool:
        """Count a loss; tell whether it was new."""
        now = self._timers.now
        lost_at = now - mark.age_ms / 1000
        fingerprint = mark.fingerprint
        if not self._book.note_loss(fingerprint, mark.target, lost_at, now):
            return False
        if self._book.quarantine_left_s(fingerprint, now) > 0:
            self._outbox.log(
                'request_quarantined',
                step='crashes',
                fingerprint=fingerprint,
                targets=self._book.losses(fingerprint),
            )
        return True
