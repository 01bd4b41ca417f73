"""Finds requests that crash targets, and quarantines them.

Without this, a caller that repeats such a request at one host after another
takes down a target each time. A broken connection alone is no proof, because
an answer can get lost; it counts as a crash once the target is found down or
restarted. Hosts report confirmed crashes to one another through the store.

A request that still comes stays refused: each repetition prolongs the
quarantine, and the host that refuses it tells the others by repeating two of
the reports, at a bounded rate. A few times one host of all lets it through, see
`TrialSchedule`. If a target answers, that is reported as well.
"""

import dataclasses
import functools
import math
from collections import OrderedDict, deque
from collections.abc import Callable

import xxhash

from oriolestage._quarantine import QuarantineBounds, QuarantineTracker
from oriolestage._rendezvous import rendezvous_position
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._trials import TrialReport, TrialSchedule

#: Crashed targets after which a request is refused. An idempotent request can
#: reach two targets within one attempt of the caller.
QUARANTINE_THRESHOLD = 2
#: Time for which the store keeps reports beyond their use, in seconds. They are
#: repeated more often while the request comes.
REPORT_LIFETIME_S = 60.0
#: Time for which crashes are remembered after the last repetition, in seconds:
#: a caller may repeat a request slowly.
RETENTION_S = 3600.0
#: Longest time between two reports of repetitions, in seconds. Hosts wait for
#: different parts of its second half, so that one of them tells the others.
REPETITION_REPORT_S = 20.0
#: Shortest time for which a request is refused, in seconds: a trial that is
#: under way takes that long.
MIN_REFUSAL_S = 1.0
#: Requests with crashes that are remembered.
CRASHED_LIMIT = 10_000
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
#: Positions of hosts that are remembered, since a refused request may come
#: often.
POSITIONS_LIMIT = 1000
#: Stands for the target in the report that a target has answered a request.
ANSWERED = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A confirmed crash of a target by a request.

    A report that is repeated says that the request still comes.
    """

    #: Fingerprint of the request, see `fingerprint_of`.
    fingerprint: int
    #: Name of the target's process, or its identity if the report is that of
    #: an older build; `ANSWERED` if a target has answered the request.
    target: str


#: What a host tells the others about a request.
QuarantineReport = CrashReport | TrialReport


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The hosts that share the quarantines."""

    #: Name of this host.
    own: str
    #: Names of all hosts, in the same order at each.
    hosts: tuple[str, ...]

    def position(self, fingerprint: int) -> int:
        """Return the position of this host for a request; 0 for one host."""
        return _position(fingerprint, self.own, self.hosts)


@functools.lru_cache(maxsize=POSITIONS_LIMIT)
def _position(fingerprint: int, own: str, hosts: tuple[str, ...]) -> int:
    return rendezvous_position(f'{fingerprint:016x}', own, hosts)


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectionLoss:
    report: CrashReport
    lost_at: float


def fingerprint_of(method: str, host: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies repetitions of a request."""
    line = f'{method} {host.lower()}{path}\n'
    digest = xxhash.xxh3_64(line.encode('utf-8', 'surrogateescape'))
    digest.update(body)
    return digest.intdigest()


def fingerprint_of_caller(fingerprint: int, caller: str) -> int:
    """Return the fingerprint of a request that one known caller repeats.

    The same request of other callers, which may be answered, has another one.
    """
    digest = xxhash.xxh3_64(f'{fingerprint:016x} '.encode())
    digest.update(caller.encode('utf-8', 'surrogateescape'))
    return digest.intdigest()


class CrashDetector:
    """Tracks broken connections, confirmed crashes and quarantined requests.

    A request that a target answered recently is not quarantined.
    """

    def __init__(self, on_change: Callable[[StateChange], None]) -> None:
        """Start without crashes.

        ``on_change`` is called with the log event of each confirmed crash and
        of each change of a quarantine.
        """
        self._on_change = on_change
        self._quarantine = QuarantineTracker(
            QuarantineBounds(
                QUARANTINE_THRESHOLD,
                RETENTION_S,
                RETENTION_S,
                ANSWERED_LIMIT,
                CRASHED_LIMIT,
            ),
        )
        self._trials = TrialSchedule(CRASHED_LIMIT)
        #: Requests on trial at this host, and those of them that may have
        #: reached a target.
        self._on_trial: set[int] = set()
        self._sent_on_trial: set[int] = set()
        self._losses: deque[_ConnectionLoss] = deque(maxlen=LOSSES_LIMIT)
        #: Reports to send, in order, each once.
        self._reports: dict[QuarantineReport, None] = {}
        #: Time at which a host last told that a refused request still comes.
        self._told_at: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests with remembered crashes."""
        return len(self._quarantine)

    def record_answered(self, fingerprint: int) -> None:
        """Record that a target answered a request.

        If it was quarantined, the other hosts are told that it is no longer.
        """
        if self._quarantine.record_answered(fingerprint):
            self._trials.forget(fingerprint)
            self._queue(CrashReport(fingerprint, ANSWERED))
            self._log_end(fingerprint, 'answered')

    def record_connection_loss(
        self, fingerprint: int, target: str, now: float
    ) -> None:
        """Record a connection that broke before the target had answered.

        ``target`` names its process: one that starts again under its identity
        can crash again.
        """
        self._losses.append(
            _ConnectionLoss(CrashReport(fingerprint, target), now)
        )

    def record_target_down(
        self,
        target: str,
        now: float,
        lost_before: float = math.inf,
    ) -> None:
        """Record that the process ``target`` is down or was replaced.

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

    def record_report(self, report: QuarantineReport, now: float) -> None:
        """Record what another host, or this one, has reported."""
        match report:
            case TrialReport():
                self._trials.record_trial(report, now)
            case CrashReport(fingerprint=fingerprint, target=target) if (
                target == ANSWERED
            ):
                self._trials.forget(fingerprint)
                if self._quarantine.record_answered(fingerprint):
                    self._log_end(fingerprint, 'answered_elsewhere')
            case CrashReport(fingerprint=fingerprint):
                self._record_told(fingerprint, now)
                if not self._record_crash(report, now):
                    self._quarantine.record_repetition(fingerprint, now)

    def take_reports(self) -> tuple[QuarantineReport, ...]:
        """Return the reports to send to the other hosts; clear the queue."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Return the quiet that a request still needs, in seconds.

        Trials may end the quarantine earlier.
        """
        return self._quarantine.quarantine_left_s(fingerprint, now)

    def refuse_for_s(self, fingerprint: int, now: float, fleet: Fleet) -> float:
        """Return for how long a request that came is refused, in seconds.

        0 if it may run. The time is that until the next trial, or if none is
        left, the quiet that is needed from now on: a refusal prolongs the
        quarantine.
        """
        if not self._quarantine.is_quarantined(fingerprint):
            return 0
        self._quarantine.record_repetition(fingerprint, now)
        self._tell_repetition(fingerprint, now, fleet)
        return self._refused_for_s(fingerprint, now, fleet)

    def take_due_trial(
        self, fingerprint: int, now: float, fleet: Fleet
    ) -> TrialReport | None:
        """Return the trial that a request that came may be, None if none is.

        It may run if this host alone claims the trial, and at one target.
        """
        if not self._quarantine.is_quarantined(fingerprint):
            return None
        return self._trials.take_due(
            fingerprint, fleet.position(fingerprint), now
        )

    def take_unused_trial(self, trial: TrialReport, now: float) -> bool:
        """Return whether this host has claimed a trial and not used it yet."""
        return self._trials.take_unused(trial, now)

    def start_trial(self, trial: TrialReport, now: float) -> None:
        """Record that this host has claimed a trial and runs the request."""
        self._trials.record_trial(trial, now)
        self._on_trial.add(trial.fingerprint)
        self._log('quarantine_trial', trial.fingerprint, number=trial.number)

    def record_sent(self, fingerprint: int) -> None:
        """Record that a request is sent, and may reach a target."""
        if fingerprint in self._on_trial:
            self._sent_on_trial.add(fingerprint)

    def record_not_sent(self, fingerprint: int) -> None:
        """Record that a request was not sent after all."""
        self._sent_on_trial.discard(fingerprint)

    def end_trial(self, trial: TrialReport, now: float) -> None:
        """Record that a trial has ended, which counts if it was sent."""
        fingerprint = trial.fingerprint
        self._on_trial.discard(fingerprint)
        if fingerprint in self._sent_on_trial:
            self._sent_on_trial.discard(fingerprint)
        else:
            self._trials.record_unused(trial, now)

    def log_quiet(self, now: float) -> None:
        """Log the quarantines that have become quiet since the last call."""
        for fingerprint in self._quarantine.take_quiet(now):
            self._trials.forget(fingerprint)
            self._log_end(fingerprint, 'quiet')

    def _refused_for_s(
        self, fingerprint: int, now: float, fleet: Fleet
    ) -> float:
        position = fleet.position(fingerprint)
        due_in_s = self._trials.due_in_s(fingerprint, position, now)
        quiet_s = self.quarantine_left_s(fingerprint, now)
        return max(MIN_REFUSAL_S, min(due_in_s, quiet_s))

    def _tell_repetition(
        self, fingerprint: int, now: float, fleet: Fleet
    ) -> None:
        """Tell the other hosts that a request still comes, if it is time.

        The reports that are repeated are enough to refuse the request at a
        host that has just started.
        """
        waited_s = now - self._told_at.get(fingerprint, float('-inf'))
        if waited_s < REPETITION_REPORT_S / 2:
            return
        turn = fleet.position(fingerprint) / max(1, len(fleet.hosts))
        if waited_s < REPETITION_REPORT_S * (1 + turn) / 2:
            return
        targets = sorted(self._quarantine.crashed_targets(fingerprint))
        told: list[QuarantineReport] = [
            CrashReport(fingerprint, target)
            for target in targets[:QUARANTINE_THRESHOLD]
        ]
        trial = self._trials.latest(fingerprint)
        if trial is not None:
            told.append(trial)
        if len(self._reports) + len(told) > REPORTS_LIMIT:
            return
        for report in told:
            self._queue(report)
        self._record_told(fingerprint, now)
        self._log(
            'quarantine_prolonged',
            fingerprint,
            refused_for_s=self._refused_for_s(fingerprint, now, fleet),
        )

    def _record_told(self, fingerprint: int, now: float) -> None:
        self._told_at[fingerprint] = now
        self._told_at.move_to_end(fingerprint)
        if len(self._told_at) > CRASHED_LIMIT:
            self._told_at.popitem(last=False)

    def _confirm(self, report: CrashReport, now: float) -> None:
        if self._quarantine.was_answered(report.fingerprint):
            return
        if self._record_crash(report, now):
            self._queue(report)

    def _record_crash(self, report: CrashReport, now: float) -> bool:
        fingerprint = report.fingerprint
        known = self._quarantine.is_quarantined(fingerprint)
        if not self._quarantine.record_crash(
            fingerprint, report.target, now, now
        ):
            return False
        targets = self._quarantine.crash_count(fingerprint)
        refused = self._quarantine.is_quarantined(fingerprint)
        self._log(
            'request_crashed_target',
            fingerprint,
            target=report.target,
            targets=targets,
            refused=refused,
        )
        if refused:
            self._trials.record_crash(fingerprint, now)
        if refused and not known:
            self._log('quarantine_started', fingerprint, targets=targets)
        return True

    def _queue(self, report: QuarantineReport) -> None:
        if len(self._reports) < REPORTS_LIMIT:
            self._reports[report] = None

    def _log_end(self, fingerprint: int, reason: str) -> None:
        self._log('quarantine_ended', fingerprint, reason=reason)

    def _log(self, event: str, fingerprint: int, **fields: object) -> None:
        self._on_change(
            StateChange(
                event,
                (('fingerprint', f'{fingerprint:016x}'), *fields.items()),
            ),
        )
