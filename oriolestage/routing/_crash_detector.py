"""Finds requests that crash targets, and quarantines them.

Without this, a caller that repeats such a request at one host after another
takes down a target each time. A broken connection alone is no proof, because
an answer can get lost; it counts as a crash once the target is found down or
restarted. Hosts report confirmed crashes to one another through the store.
"""

import dataclasses
import math
from collections import deque
from collections.abc import Callable

import xxhash

from oriolestage._quarantine import QuarantineTracker
from oriolestage.routing._state_changes import StateChange

#: Crashed targets after which a request is refused. An idempotent request can
#: reach two targets within one attempt of the caller.
QUARANTINE_THRESHOLD = 2
#: Time for which a request is refused, in seconds.
QUARANTINE_S = 60.0
#: Time after a broken connection within which the target must be found down
#: or restarted, in seconds. A registration ends after some 4 s of silence.
CONFIRMATION_WINDOW_S = 8.0
#: Most recently answered requests that are remembered, about 30 s of them.
ANSWERED_LIMIT = 2000
#: Most recent broken connections that are kept for confirmation.
LOSSES_LIMIT = 1000
#: Reports to other hosts that may be queued. A power cut at the targets
#: breaks many connections at once.
REPORTS_LIMIT = 30


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A confirmed crash of a target by a request."""

    #: Fingerprint of the request, see `fingerprint_of`.
    fingerprint: int
    #: Identity of the target.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectionLoss:
    report: CrashReport
    lost_at: float


def fingerprint_of(method: str, host: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies repetitions of a request."""
    digest = xxhash.xxh3_64(f'{method} {host.lower()}{path}\n'.encode())
    digest.update(body)
    return digest.intdigest()


class CrashDetector:
    """Tracks broken connections, confirmed crashes and quarantined requests.

    A request that a target answered recently is not quarantined.
    """

    def __init__(self, on_change: Callable[[StateChange], None]) -> None:
        """Start without crashes.

        ``on_change`` is called with the log event of each confirmed crash.
        """
        self._on_change = on_change
        self._quarantine = QuarantineTracker(
            QUARANTINE_THRESHOLD,
            QUARANTINE_S,
            ANSWERED_LIMIT,
        )
        self._losses: deque[_ConnectionLoss] = deque(maxlen=LOSSES_LIMIT)
        self._reports: list[CrashReport] = []

    def record_answered(self, fingerprint: int) -> None:
        """Record that a target answered a request."""
        self._quarantine.record_answered(fingerprint)

    def record_connection_loss(
        self, fingerprint: int, target: str, now: float
    ) -> None:
        """Record a connection that broke before the target had answered."""
        self._losses.append(
            _ConnectionLoss(CrashReport(fingerprint, target), now)
        )

    def record_target_down(
        self,
        target: str,
        now: float,
        lost_before: float = math.inf,
    ) -> None:
        """Record that a target is down or has restarted.

        This confirms a crash for each request whose connection to the target
        broke in the last `CONFIRMATION_WINDOW_S`, and before ``lost_before``.
        """
        while (
            self._losses
            and now - self._losses[0].lost_at > CONFIRMATION_WINDOW_S
        ):
            self._losses.popleft()
        for loss in self._losses:
            if loss.report.target == target and loss.lost_at < lost_before:
                self._confirm(loss.report, now)

    def record_report(self, report: CrashReport, now: float) -> None:
        """Record a crash that another host, or this one, has confirmed."""
        self._record_crash(report, now)

    def take_reports(self) -> tuple[CrashReport, ...]:
        """Return the reports to send to the other hosts; clear the queue."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Return how long a request is still refused, in seconds; 0 if not."""
        return self._quarantine.quarantine_left_s(fingerprint, now)

    def _confirm(self, report: CrashReport, now: float) -> None:
        if self._quarantine.was_answered(report.fingerprint):
            return
        if (
            self._record_crash(report, now)
            and len(self._reports) < REPORTS_LIMIT
        ):
            self._reports.append(report)

    def _record_crash(self, report: CrashReport, now: float) -> bool:
        fingerprint = report.fingerprint
        if not self._quarantine.record_crash(
            fingerprint, report.target, now, now
        ):
            return False
        self._on_change(
            StateChange(
                'request_crashed_target',
                (
                    ('fingerprint', f'{fingerprint:016x}'),
                    ('target', report.target),
                    ('targets', self._quarantine.crash_count(fingerprint)),
                    (
                        'refused_for_s',
                        self._quarantine.quarantine_left_s(fingerprint, now),
                    ),
                ),
            ),
        )
        return True
