"""Counts the targets that one request made crash, and quarantines it."""

import dataclasses
from collections import OrderedDict

from oriolestage.core._effects import Outbox
from oriolestage.core._messages import CrashMark
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.membership._membership import Membership

#: Fingerprints remembered because a target answered them.
SURVIVORS_KEPT = 20_000


@dataclasses.dataclass(slots=True)
class _Suspect:
    #: Targets lost, with the time of each loss.
    losses: dict[str, float]
    quarantined_until: float = float('-inf')


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
        self._suspects: dict[int, _Suspect] = {}
        self._survived: OrderedDict[int, None] = OrderedDict()

    def note_survived(self, fingerprint: int) -> None:
        """Note that a target ran a fingerprint and lived to answer.

        Targets lost while they ran it were then lost for another reason,
        such as a power cut that took many targets at once.
        """
        self._survived[fingerprint] = None
        self._survived.move_to_end(fingerprint)
        if len(self._survived) > SURVIVORS_KEPT:
            self._survived.popitem(last=False)

    def note_loss(self, fingerprint: int, target: str) -> None:
        """Note a loss seen here and tell the other hosts at once."""
        mark = CrashMark(fingerprint, target, 0)
        if not self._note(mark):
            return
        self._membership.spread_crash(mark)
        self._membership.announce(self._parameters.announce_fanout)

    def on_marks(self, marks: tuple[CrashMark, ...]) -> None:
        """Take over losses that another host saw."""
        for mark in marks:
            if self._note(mark):
                self._membership.spread_crash(mark)

    def losses(self, fingerprint: int) -> int:
        """Give the number of distinct targets lost to a fingerprint."""
        if fingerprint in self._survived:
            return 0
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else len(suspect.losses)

    def quarantine_left_s(self, fingerprint: int) -> float:
        """Give the time for which a fingerprint is still refused."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or fingerprint in self._survived:
            return 0
        return max(0, suspect.quarantined_until - self._timers.now)

    def _note(self, mark: CrashMark) -> bool:
        """Count a loss; tell whether it was new."""
        self._forget_old()
        now = self._timers.now
        suspect = self._suspects.setdefault(mark.fingerprint, _Suspect({}))
        if mark.target in suspect.losses:
            return False
        lost_at = now - mark.age_ms / 1000
        suspect.losses[mark.target] = lost_at
        if len(suspect.losses) >= self._parameters.quarantine_threshold:
            suspect.quarantined_until = now + self._parameters.quarantine_s
            self._outbox.log(
                'request_quarantined',
                step='crashes',
                fingerprint=mark.fingerprint,
                targets=len(suspect.losses),
            )
        return True

    def _forget_old(self) -> None:
        horizon = self._timers.now - self._parameters.quarantine_s
        for fingerprint, suspect in tuple(self._suspects.items()):
            if suspect.quarantined_until > self._timers.now:
                continue
            if max(suspect.losses.values(), default=horizon) <= horizon:
                self._suspects.pop(fingerprint)
