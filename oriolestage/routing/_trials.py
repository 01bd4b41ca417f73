"""When a quarantined request is tried once more.

The load pattern that this answers: targets lose power while they run a request
that crashes no target, and the request comes again all the time. It cannot be
told from one that crashes targets but by running it. So it is tried at growing
intervals, each time at one host of all and at one target, and a few times in
all; an answer ends the quarantine.
"""

import dataclasses
import math
from collections import OrderedDict

#: Time from the latest known crash, or from the trial before, to each trial, in
#: seconds. Targets are back some seconds after a crash. No further trial
#: follows the last one until the crashes are forgotten.
TRIAL_DELAYS_S = (5.0, 15.0, 300.0)
#: Further delay of the trial at a host for each host that comes before it, in
#: seconds, so that few hosts claim the same trial.
TRIAL_TURN_S = 0.05
#: Time after which a host claims a trial again, in seconds.
CLAIM_RETRY_S = 5.0
#: Time after which a trial that reached no target may run, in seconds.
UNUSED_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TrialReport:
    """One host of all has claimed a trial of a request."""

    #: Fingerprint of the request.
    fingerprint: int
    #: Number of the trial; the first one is 1.
    number: int


@dataclasses.dataclass(slots=True)
class _Trials:
    #: Number of the latest trial; 0 before the first one.
    number: int = 0
    #: Monotonic time from which the next one may be claimed.
    due_at: float = float('-inf')
    #: Whether this host has claimed the latest one, and it reached no target.
    unused: bool = False


class TrialSchedule:
    """The trials of quarantined requests, by fingerprint."""

    def __init__(self, limit: int) -> None:
        """Start without requests; at most ``limit`` are remembered."""
        self._limit = limit
        #: Those that changed last come last.
        self._trials: OrderedDict[int, _Trials] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return len(self._trials)

    def record_crash(self, fingerprint: int, now: float) -> None:
        """Put off the next trial because a target has crashed."""
        trials = self._keep(fingerprint)
        trials.due_at = max(trials.due_at, now + _delay_s(trials.number))

    def record_trial(self, report: TrialReport, now: float) -> None:
        """Record that a host has claimed a trial; older ones change nothing."""
        trials = self._keep(report.fingerprint)
        if report.number > trials.number:
            trials.number = report.number
            trials.due_at = now + _delay_s(trials.number)
            trials.unused = False

    def record_unused(self, trial: TrialReport, now: float) -> None:
        """Record that a trial that this host has claimed reached no target.

        No other host can claim it, so this one may run it later.
        """
        trials = self._trials.get(trial.fingerprint)
        if trials is not None and trials.number == trial.number:
            trials.due_at = now + UNUSED_RETRY_S
            trials.unused = True

    def take_unused(self, trial: TrialReport, now: float) -> bool:
        """Return whether a trial was claimed before; it is used from now on."""
        trials = self._trials.get(trial.fingerprint)
        if trials is None or trials.number != trial.number:
            return False
        was_unused = trials.unused
        trials.unused = False
        trials.due_at = now + _delay_s(trials.number)
        return was_unused

    def forget(self, fingerprint: int) -> None:
        """Forget the trials of a request."""
        self._trials.pop(fingerprint, None)

    def latest(self, fingerprint: int) -> TrialReport | None:
        """Return the latest trial of a request, None before the first one."""
        trials = self._trials.get(fingerprint)
        if trials is None or not trials.number:
            return None
        return TrialReport(fingerprint, trials.number)

    def due_in_s(self, fingerprint: int, position: int, now: float) -> float:
        """Return the seconds until a host may claim the next trial.

        ``position`` is the number of hosts that come before it. Infinite if
        no trial is left.
        """
        trials = self._trials.get(fingerprint)
        if trials is None:
            return math.inf
        return max(0, trials.due_at + position * TRIAL_TURN_S - now)

    def take_due(
        self, fingerprint: int, position: int, now: float
    ) -> TrialReport | None:
        """Return the trial that a host claims now, None if none is due.

        If the claim fails, the host tries again later.
        """
        if self.due_in_s(fingerprint, position, now) > 0:
            return None
        trials = self._trials[fingerprint]
        trials.due_at = now + CLAIM_RETRY_S
        if trials.unused:
            return TrialReport(fingerprint, trials.number)
        return TrialReport(fingerprint, trials.number + 1)

    def _keep(self, fingerprint: int) -> _Trials:
        trials = self._trials.setdefault(fingerprint, _Trials())
        self._trials.move_to_end(fingerprint)
        if len(self._trials) > self._limit:
            self._trials.popitem(last=False)
        return trials


def _delay_s(number: int) -> float:
    """Return the seconds from a trial to the next; infinite after the last."""
    if number < len(TRIAL_DELAYS_S):
        return TRIAL_DELAYS_S[number]
    return math.inf
