"""Finds requests that make targets crash, and refuses them.

Answers the load pattern in which one request crashes each target that runs
it and comes again and again, at any host. A broken connection alone proves
nothing, as answers get lost; it counts once the target is seen to be down or
to have started anew. Hosts tell each other of what they have proved.
"""

import dataclasses
from collections import deque
from collections.abc import Callable

import xxhash

from oriolestage._suspects import SuspectBook
from oriolestage.relay._state_changes import StateChange

#: Distinct targets after which a request is refused. Idempotent requests are
#: sent to two targets within one attempt of a caller.
QUARANTINE_THRESHOLD = 2
#: Time for which it is refused, in seconds.
QUARANTINE_S = 60.0
#: Time within which a crash has to show after the connection broke, in
#: seconds: registrations end after some 4 s of silence.
CONFIRMATION_WINDOW_S = 8.0
#: Requests remembered because a target answered them: some 30 s of them.
SURVIVORS_KEPT = 2000
#: Broken attempts whose target may yet prove to have crashed.
UNPROVED_KEPT = 1000
#: Reports to the other hosts that may wait; a power cut at the targets
#: breaks many attempts at once.
REPORTS_KEPT = 30


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request made a target crash."""

    fingerprint: int
    #: Identity of the target.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Broken:
    report: CrashReport
    at: float


def fingerprint_of(method: str, host: str, path: str, body: bytes) -> int:
    """Give a number that is the same for a request that comes again."""
    digest = xxhash.xxh3_64(f'{method} {host.lower()}{path}\n'.encode())
    digest.update(body)
    return digest.intdigest()


class CrashDetector:
    """Keeps account of broken attempts, crashes and quarantined requests."""

    def __init__(self, on_change: Callable[[StateChange], None]) -> None:
        """Start without suspects; ``on_change`` is told of quarantines."""
        self._on_change = on_change
        self._book = SuspectBook(
            QUARANTINE_THRESHOLD,
            QUARANTINE_S,
            SURVIVORS_KEPT,
        )
        self._broken: deque[_Broken] = deque(maxlen=UNPROVED_KEPT)
        self._reports: list[CrashReport] = []

    def record_answered(self, fingerprint: int) -> None:
        """Note that a target answered a request."""
        self._book.note_survived(fingerprint)

    def record_connection_loss(
        self, fingerprint: int, target: str, now: float
    ) -> None:
        """Note that the connection broke while a target had a request."""
        self._broken.append(_Broken(CrashReport(fingerprint, target), now))

    def record_target_down(self, target: str, now: float) -> None:
        """Note that a target is down or has started anew."""
        while self._broken and now - self._broken[0].at > CONFIRMATION_WINDOW_S:
            self._broken.popleft()
        for broken in self._broken:
            if broken.report.target == target:
                self._prove(broken.report, now)

    def record_report(self, report: CrashReport, now: float) -> None:
        """Take in what another host, or this one, has proved."""
        self._count(report, now)

    def take_reports(self) -> tuple[CrashReport, ...]:
        """Give what the other hosts have not been told yet."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Give the time for which a request is still refused."""
        return self._book.quarantine_left_s(fingerprint, now)

    def _prove(self, report: CrashReport, now: float) -> None:
        if self._book.survived(report.fingerprint):
            return
        if self._count(report, now) and len(self._reports) < REPORTS_KEPT:
            self._reports.append(report)

    def _count(self, report: CrashReport, now: float) -> bool:
        fingerprint = report.fingerprint
        if not self._book.note_loss(fingerprint, report.target, now, now):
            return False
        self._on_change(
            StateChange(
                'request_crashed_target',
                (
                    ('fingerprint', f'{fingerprint:016x}'),
                    ('target', report.target),
                    ('targets', self._book.losses(fingerprint)),
                    (
                        'refused_for_s',
                        self._book.quarantine_left_s(fingerprint, now),
                    ),
                ),
            ),
        )
        return True
