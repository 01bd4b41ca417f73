"""Notices that this host's copy of the store is no longer kept up to date.

The causes differ: the store is not reached, its answers cannot be used, or the
task that follows it does not get on. Callers see the same in each case: old
routes and targets. The detector therefore looks at the age of the copy only,
and reports what the task does, which tells the causes apart.
"""

import dataclasses
import enum
import time

from oriolestage.routing._state_changes import StateChange


class FollowStep(enum.Enum):
    """What the task that follows the store does."""

    #: Waits for a full read.
    READ = 'read'
    #: Waits for changes.
    WATCH = 'watch'
    #: Applies what it has read.
    APPLY = 'apply'
    #: Waits before the next call.
    PAUSE = 'pause'


@dataclasses.dataclass(slots=True)
class FollowProgress:
    """The present step of the task that follows the store."""

    step: FollowStep = FollowStep.PAUSE
    #: Monotonic time at which it began.
    since: float = dataclasses.field(default_factory=time.monotonic)

    def enter(self, step: FollowStep) -> None:
        """Begin a step."""
        self.step = step
        self.since = time.monotonic()


class StallDetector:
    """Compares the age of the copy with a limit."""

    def __init__(self, limit_s: float, progress: FollowProgress) -> None:
        """Start with a copy that is up to date.

        ``limit_s`` is the age in seconds from which the copy is stalled;
        ``progress`` is that of the task that follows the store.
        """
        self._limit_s = limit_s
        self._progress = progress
        self._stalled = False
        self._greatest_age_s: float = 0
        self._previous_age_s: float = 0
        #: Failed attempts since the copy was brought up to date.
        self._failures = 0
        self._last_failure = 'none'

    @property
    def stalled(self) -> bool:
        """Whether the copy was stalled at the latest check."""
        return self._stalled

    def record_failure(self, cause: str) -> None:
        """Record that an attempt to bring the copy up to date has failed."""
        self._failures += 1
        self._last_failure = cause

    def check(self, age_s: float) -> StateChange | None:
        """Return the change of state at this age, if there is one."""
        renewed = age_s < self._previous_age_s
        self._previous_age_s = age_s
        if age_s >= self._limit_s:
            self._greatest_age_s = max(self._greatest_age_s, age_s)
            return self._record_stall(age_s)
        if not self._stalled:
            if renewed:
                self._failures = 0
            return None
        self._stalled = False
        change = StateChange(
            'store_current',
            (
                ('step', 'store'),
                ('greatest_age_s', self._greatest_age_s),
                ('failures', self._failures),
            ),
        )
        self._failures = 0
        self._greatest_age_s = 0
        return change

    def _record_stall(self, age_s: float) -> StateChange | None:
        if self._stalled:
            return None
        self._stalled = True
        return StateChange(
            'store_stalled',
            (
                ('step', 'store'),
                ('store_age_s', age_s),
                ('failures', self._failures),
                ('last_failure', self._last_failure),
                ('follower', self._progress.step.value),
                ('follower_s', time.monotonic() - self._progress.since),
            ),
        )
