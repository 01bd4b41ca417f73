"""Quarantines requests that make targets crash.

A request is identified by its fingerprint. Once the same fingerprint has
crashed a number of distinct targets, requests with it are refused for a while.
"""

from oriolestage._quarantine import QuarantineBounds, QuarantineTracker
from oriolestage.core._effects import Outbox
from oriolestage.core._messages import CrashMark
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.membership._membership import Membership

#: Maximum number of remembered fingerprints that a target has answered. They
#: are cleared of suspicion.
CLEARED_FINGERPRINTS_KEPT = 20_000
#: Maximum number of remembered fingerprints that crashed targets.
CRASHED_FINGERPRINTS_KEPT = 10_000


class CrashRegister:
    """Counts crashed targets by fingerprint, shared through gossip."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
    ) -> None:
        """Create a register without recorded crashes."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._quarantine = QuarantineTracker(
            QuarantineBounds(
                parameters.quarantine_threshold,
                parameters.quarantine_s,
                parameters.quarantine_s,
                CLEARED_FINGERPRINTS_KEPT,
                CRASHED_FINGERPRINTS_KEPT,
            ),
        )

    def record_answered(self, fingerprint: int) -> None:
        """Record that a target answered a request with this fingerprint."""
        self._quarantine.record_answered(fingerprint)

    def record_crash(self, fingerprint: int, target: str) -> None:
        """Record that a target crashed and announce it to other hosts at once.

        A target counts only once for each fingerprint.
        """
        mark = CrashMark(fingerprint, target, 0)
        if not self._record(mark):
            return
        self._membership.spread_crash(mark)
        self._membership.announce(self._parameters.announce_fanout)

    def on_crash_marks(self, marks: tuple[CrashMark, ...]) -> None:
        """Merge crashes that other hosts observed, and gossip the new ones."""
        for mark in marks:
            if self._record(mark):
                self._membership.spread_crash(mark)

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of distinct targets that a fingerprint crashed."""
        return self._quarantine.crash_count(fingerprint)

    def quarantine_left_s(self, fingerprint: int) -> float:
        """Return the seconds until a quarantine ends, 0 if there is none."""
        return self._quarantine.quarantine_left_s(fingerprint, self._timers.now)

    def refuse_for_s(self, fingerprint: int) -> float:
        """Return for how long a request that came is refused, in seconds.

        0 if it may run. A refusal prolongs the quarantine at this host, so
        that a request that still comes is not let through.
        """
        now = self._timers.now
        if self._quarantine.quarantine_left_s(fingerprint, now) > 0:
            self._quarantine.record_repetition(fingerprint, now)
        return self._quarantine.quarantine_left_s(fingerprint, now)

    def _record(self, mark: CrashMark) -> bool:
        """Record a crash and return whether it was new."""
        now = self._timers.now
        crashed_at = now - mark.age_ms / 1000
        fingerprint = mark.fingerprint
        if not self._quarantine.record_crash(
            fingerprint, mark.target, crashed_at, now
        ):
            return False
        if self._quarantine.quarantine_left_s(fingerprint, now) > 0:
            self._outbox.log(
                'request_quarantined',
                step='crashes',
                fingerprint=fingerprint,
                targets=self._quarantine.crash_count(fingerprint),
            )
        return True
