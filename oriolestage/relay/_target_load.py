"""What this host has seen of one target: slowness, failures, silence."""

import math

#: Weight of the newest answer in the running slowness.
SLOWNESS_WEIGHT = 0.25
#: One answer counts for at most this many times the known slowness.
SLOWNESS_CLIP = 4.0
#: Weight of the newest outcome in the failure rate.
FAILURE_WEIGHT = 0.15
#: Time for which what was seen is trusted without new answers, in seconds.
FRESH_S = 1.0
#: Time constant with which it then returns to the usual, in seconds.
DECAY_S = 2.0
#: Attempts in a row without an answer after which a target may be lost.
SILENT_RUN = 3
#: Shortest silence that counts as lost, in seconds; pauses are shorter.
SILENCE_S = 0.35
#: First and longest time for which a lost target is left alone, in seconds.
BACKOFF_S = 0.25
BACKOFF_LIMIT_S = 2.0
#: Expected delay is raised by this time for a target that always fails.
FAILURE_COST_S = 0.4
#: Time for which a target counts as paused after an attempt at it was given
#: up, in seconds, and what that adds to the expected delay.
PAUSE_S = 0.1
PAUSE_COST_S = 0.1
#: Each late answer in a row doubles the assumed slowness, up to this.
LATE_SLOWNESS_LIMIT = 16.0
#: Late attempts within this time count as one, in seconds: a pause delays
#: all of them.
LATE_APART_S = 0.15


class TargetLoad:
    """Outstanding work and recent behaviour of one target, seen from here."""

    def __init__(self) -> None:
        """Start as a usual target."""
        self._outstanding: dict[int, float] = {}
        self._slowness = 1.0
        self._slowness_at = float('-inf')
        self._failure_rate: float = 0
        self._failure_at = float('-inf')
        self._late_at = float('-inf')
        self._silent_run = 0
        self._silent_since = float('-inf')
        self._paused_until = float('-inf')
        self._down_until = float('-inf')
        self._left_alone_at = float('-inf')
        self._full_until = float('-inf')
        self._backoff_s = BACKOFF_S

    @property
    def outstanding(self) -> int:
        """Attempts that are not over."""
        return len(self._outstanding)

    @property
    def down_until(self) -> float:
        """Steady time until which the target is left alone."""
        return self._down_until

    @property
    def left_alone(self) -> bool:
        """Tell whether it was lost and has not answered since."""
        return self._backoff_s > BACKOFF_S

    @property
    def full_until(self) -> float:
        """Steady time until which another host found no room at it."""
        return self._full_until

    def is_down(self, now: float) -> bool:
        """Tell whether the target gets no work now.

        After the time is over one attempt at a time tries the target.
        """
        if now < self._down_until:
            return True
        return self.left_alone and bool(self._outstanding)

    def slowness(self, now: float) -> float:
        """Give how many times the usual work the target takes."""
        kept = _kept(now - self._slowness_at)
        return 1 + (self._slowness - 1) * kept

    def failure_rate(self, now: float) -> float:
        """Give the recent share of failed attempts, from 0 to 1."""
        return self._failure_rate * _kept(now - self._failure_at)

    def expected_s(
        self,
        way_s: float,
        work_s: float,
        slots: int,
        now: float,
    ) -> float:
        """Estimate the delay of one more attempt, in seconds."""
        worked_s = work_s * self.slowness(now)
        ahead = max(0, len(self._outstanding) + 1 - slots)
        expected = way_s + worked_s * (1 + ahead / slots)
        oldest = next(iter(self._outstanding.values()), now)
        expected += max(0, now - oldest - way_s - 2 * worked_s)
        if now < self._paused_until:
            expected += PAUSE_COST_S
        return expected + self.failure_rate(now) * FAILURE_COST_S

    def note_sent(self, attempt: int, now: float) -> None:
        """Note that an attempt is on its way."""
        self._outstanding[attempt] = now

    def sent_at(self, attempt: int, now: float) -> float:
        """Give the time at which an attempt was sent."""
        return self._outstanding.get(attempt, now)

    def record_answer(self, attempt: int, now: float, *, failed: bool) -> None:
        """Note an answer that the target gave, a failure or not."""
        self._outstanding.pop(attempt, None)
        self._silent_run = 0
        self._backoff_s = BACKOFF_S
        self._down_until = float('-inf')
        self._note_failure(now, failed=failed)

    def record_work(self, times_usual: float, now: float) -> None:
        """Note how many times the usual work an answer took."""
        current = self.slowness(now)
        sample = min(times_usual, SLOWNESS_CLIP * max(1, current))
        self._slowness = current + SLOWNESS_WEIGHT * (sample - current)
        self._slowness_at = now

    def note_late(self, now: float) -> None:
        """Note that no answer came when others had answered long since.

        How slow the target is stays unknown, as it was not waited for; so
        each time in a row doubles what is assumed.
        """
        self._paused_until = now + PAUSE_S
        if now - self._late_at < LATE_APART_S:
            return
        self._late_at = now
        doubled = 2 * max(1, self.slowness(now))
        self._slowness = min(LATE_SLOWNESS_LIMIT, doubled)
        self._slowness_at = now

    def note_full(self, until: float) -> None:
        """Note that another host has no room for attempts at the target."""
        self._full_until = max(self._full_until, until)

    def note_abandoned(self, attempt: int, now: float, late_s: float) -> None:
        """Note an attempt that was given up; it was late after ``late_s``."""
        sent_at = self._outstanding.pop(attempt, now)
        if now - sent_at < late_s:
            return
        self.note_late(now)
        if not self._silent_run:
            self._silent_since = sent_at
        self._silent_run += 1
        silent_s = now - self._silent_since
        if self._silent_run >= SILENT_RUN and silent_s >= SILENCE_S:
            self._leave_alone(sent_at, now)

    def note_lost(self, attempt: int, now: float) -> None:
        """Note a broken connection or a damaged answer."""
        self._outstanding.pop(attempt, None)
        self._note_failure(now, failed=True)

    def note_not_reached(self, attempt: int, now: float) -> None:
        """Note that no connection could be made."""
        sent_at = self._outstanding.pop(attempt, now)
        self._note_failure(now, failed=True)
        self._leave_alone(sent_at, now)

    def _leave_alone(self, sent_at: float, now: float) -> None:
        """Give the target no work for a while, longer each time.

        Attempts that were on their way when it was left alone before tell
        nothing new.
        """
        if sent_at <= self._left_alone_at:
            return
        self._left_alone_at = now
        self._down_until = now + self._backoff_s
        self._backoff_s = min(BACKOFF_LIMIT_S, self._backoff_s * 2)

    def _note_failure(self, now: float, *, failed: bool) -> None:
        sample = 1.0 if failed else 0
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_WEIGHT * (sample - rate)
        self._failure_at = now


def _kept(age_s: float) -> float:
    """Give the part of an old observation that still counts."""
    stale_s = age_s - FRESH_S
    return 1 if stale_s <= 0 else math.exp(-stale_s / DECAY_S)
