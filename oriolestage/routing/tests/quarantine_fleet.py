"""Hosts that share their quarantines, on a clock of their own."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

from oriolestage.routing._crash_detector import (
    CrashDetector,
    Fleet,
    QuarantineReport,
    fingerprint_of,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._trials import TrialReport

REQUEST = fingerprint_of('POST', 'desk.example', '/notes/7', b'{}')
#: Time from the crash of a target to its confirmation at all hosts: three
#: heartbeats, in seconds.
CONFIRMED_S = 4.0
#: Time after which the other hosts know a report, in seconds: the interval of
#: the reports, and the longest pause between two watches.
REPORTED_S = 1.3
#: Interval in which hosts send their reports, in seconds.
STEP_S = 0.2


class QuarantineFleet:
    """Hosts, targets that a request crashes, and the store between them."""

    def __init__(self, hosts: int, seed: int = 0) -> None:
        """Create hosts without crashes."""
        self.now: float = 1000
        #: Times at which the request was let through.
        self.run_at: list[float] = []
        #: Those of them at which it was let through as a trial.
        self.trials_at: list[float] = []
        #: Seconds for which it was refused, by time.
        self.refused: list[tuple[float, float]] = []
        #: Times at which a host wrote reports.
        self.written_at: list[float] = []
        #: Log events of all hosts.
        self.events: list[str] = []
        #: Whether targets crash with the request, or answer it.
        self.crashing = True
        #: Whether reports get lost.
        self.store_away = False
        self._random = random.Random(seed)
        self._names = tuple(f'host-{number:03d}' for number in range(hosts))
        self._detectors = {name: self._build() for name in self._names}
        self._targets = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        #: Reports that the store holds, as hosts read them when they start.
        self._stored: set[QuarantineReport] = set()

    @property
    def detectors(self) -> tuple[CrashDetector, ...]:
        """The crash detectors of all hosts."""
        return tuple(self._detectors.values())

    def send(self, host: str = '') -> bool:
        """Send the request to a host, or any; return whether it is run."""
        name = host or self._random.choice(self._names)
        detector = self._detectors[name]
        fleet = Fleet(name, self._names)
        trial = detector.take_due_trial(REQUEST, self.now, fleet)
        if trial is not None and self._claim(trial):
            detector.start_trial(trial, self.now)
            detector.record_sent(REQUEST)
            self.trials_at.append(self.now)
        else:
            left_s = detector.refuse_for_s(REQUEST, self.now, fleet)
            if left_s > 0:
                self.refused.append((self.now, left_s))
                return False
        self.run_at.append(self.now)
        if self.crashing:
            self.crash(name)
        else:
            detector.record_answered(REQUEST)
        return True

    def crash(self, host: str) -> None:
        """Let a target crash while it runs the request for a host."""
        target = f't-{next(self._targets)}'
        self._detectors[host].record_connection_loss(REQUEST, target, self.now)
        self._call_later(CONFIRMED_S, functools.partial(self._confirm, target))

    def restart(self, host: str) -> None:
        """Replace a host by a new process, which reads the store."""
        self._detectors[host] = self._build()
        for report in sorted(self._stored, key=str):
            self._detectors[host].record_report(report, self.now)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end_at = self.now + seconds
        while self.now < end_at - STEP_S / 2:
            self.now += STEP_S
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            self._send_reports()

    def _claim(self, trial: TrialReport) -> bool:
        """Store a claim; return whether no host has stored it before."""
        if self.store_away or trial in self._stored:
            return False
        self._stored.add(trial)
        self._call_later(REPORTED_S, functools.partial(self._apply, (trial,)))
        return True

    def _build(self) -> CrashDetector:
        return CrashDetector(self._log)

    def _log(self, change: StateChange) -> None:
        self.events.append(change.event)

    def _confirm(self, target: str) -> None:
        for detector in self.detectors:
            detector.record_target_down(target, self.now)

    def _send_reports(self) -> None:
        for detector in self.detectors:
            detector.log_quiet(self.now)
            reports = detector.take_reports()
            if not reports or self.store_away:
                continue
            self.written_at.append(self.now)
            self._stored.update(reports)
            self._call_later(
                REPORTED_S, functools.partial(self._apply, reports)
            )

    def _apply(self, reports: tuple[QuarantineReport, ...]) -> None:
        for report, detector in itertools.product(reports, self.detectors):
            detector.record_report(report, self.now)

    def _call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay_s, next(self._order), call))
