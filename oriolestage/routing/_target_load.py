"""Load and health of one target, as observed by this host."""

import math

#: Weight of the newest answer in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.25
#: A sample is clipped to this multiple of the present slowness.
SLOWNESS_CLIP = 4.0
#: Weight of the newest outcome in the moving average of the failure rate.
FAILURE_WEIGHT = 0.15
#: Age up to which an observation counts in full, in seconds.
FRESH_S = 1.0
#: Time constant of the exponential decay of older observations, in seconds.
DECAY_S = 2.0
#: Consecutive attempts without an answer before a target is put into
#: back-off.
MIN_UNANSWERED = 3
#: Time without an answer before a target is put into back-off, in seconds;
#: longer than the pauses of a healthy target.
MIN_SILENCE_S = 0.35
#: First and longest back-off of a target, in seconds.
BACKOFF_S = 0.25
BACKOFF_LIMIT_S = 2.0
#: Penalty on the expected delay at a failure rate of 1, in seconds.
FAILURE_COST_S = 0.4
#: Time for which a target counts as paused after a late attempt, and the
#: penalty on its expected delay meanwhile, in seconds.
PAUSE_S = 0.1
PAUSE_COST_S = 0.1
#: Upper bound of the slowness, which each late attempt in a row doubles.
LATE_SLOWNESS_LIMIT = 16.0
#: Late attempts within this time count as one, in seconds: one pause of the
#: target delays all of them.
LATE_MERGE_WINDOW_S = 0.15


class TargetLoad:
    """Outstanding attempts and recent health of one target.

    The slowness is the target's processing time relative to that of others;
    1 is typical. Without new answers, slowness and failure rate decay to the
    values of a healthy target.
    """

    def __init__(self, backoff_limit_s: float = BACKOFF_LIMIT_S) -> None:
        """Start as a healthy, idle target.

        ``backoff_limit_s`` is the longest back-off, in seconds.
        """
        self._backoff_limit_s = backoff_limit_s
        self._outstanding: dict[int, float] = {}
        self._slowness = 1.0
        self._slowness_at = float('-inf')
        self._failure_rate: float = 0
        self._failure_at = float('-inf')
        self._late_at = float('-inf')
        self._unanswered = 0
        self._silent_since = float('-inf')
        self._paused_until = float('-inf')
        self._backoff_until = float('-inf')
        self._backoff_started_at = float('-inf')
        self._full_until = float('-inf')
        self._full_known_at = float('-inf')
        self._rest_until = float('-inf')
        self._rest_known_at = float('-inf')
        self._backoff_s = BACKOFF_S

    @property
    def outstanding(self) -> int:
        """Number of attempts that have not ended."""
        return len(self._outstanding)

    @property
    def backoff_until(self) -> float:
        """Monotonic time until which the target is in back-off."""
        return self._backoff_until

    @property
    def backoff_started_at(self) -> float:
        """Monotonic time at which the latest back-off began."""
        return self._backoff_started_at

    @property
    def awaiting_recovery(self) -> bool:
        """Whether it was in back-off and has not answered since."""
        return self._backoff_s > BACKOFF_S

    @property
    def full_until(self) -> float:
        """Monotonic time until which another host has no capacity for it."""
        return self._full_until

    @property
    def full_known_at(self) -> float:
        """Monotonic time at which another host said so last."""
        return self._full_known_at

    @property
    def rest_until(self) -> float:
        """Monotonic time until which it wants no request of this host."""
        return self._rest_until

    @property
    def rest_known_at(self) -> float:
        """Monotonic time at which it said so last."""
        return self._rest_known_at

    def in_backoff(self, now: float) -> bool:
        """Return whether the target gets no attempt now.

        After the back-off the target gets one attempt at a time, as a probe,
        until it answers.
        """
        if now < self._backoff_until:
            return True
        return self.awaiting_recovery and bool(self._outstanding)

    def slowness(self, now: float) -> float:
        """Return the processing time as a multiple of the typical one."""
        weight = _age_weight(now - self._slowness_at)
        return 1 + (self._slowness - 1) * weight

    def failure_rate(self, now: float) -> float:
        """Return the recent share of failed attempts, from 0 to 1."""
        return self._failure_rate * _age_weight(now - self._failure_at)

    def expected_s(
        self,
        round_trip_s: float,
        work_s: float,
        slots: int,
        now: float,
    ) -> float:
        """Estimate the delay of one more attempt, in seconds.

        It is the sum of the round trip, the work with the wait for a slot,
        the time by which the oldest attempt is overdue, and the penalties for
        a pause and for failures.
        """
        worked_s = work_s * self.slowness(now)
        ahead = max(0, len(self._outstanding) + 1 - slots)
        expected = round_trip_s + worked_s * (1 + ahead / slots)
        oldest = next(iter(self._outstanding.values()), now)
        expected += max(0, now - oldest - round_trip_s - 2 * worked_s)
        if now < self._paused_until:
            expected += PAUSE_COST_S
        return expected + self.failure_rate(now) * FAILURE_COST_S

    def record_sent(self, attempt: int, now: float) -> None:
        """Record that an attempt was sent."""
        self._outstanding[attempt] = now

    def sent_at(self, attempt: int, now: float) -> float:
        """Return when an attempt was sent; ``now`` if it is not known."""
        return self._outstanding.get(attempt, now)

    def record_answer(self, attempt: int, now: float, *, failed: bool) -> None:
        """Record an answer of the target, an error or not; end back-off."""
        self._outstanding.pop(attempt, None)
        self._unanswered = 0
        self._backoff_s = BACKOFF_S
        self._backoff_until = float('-inf')
        self._update_failure_rate(now, failed=failed)

    def record_work(self, work_ratio: float, now: float) -> None:
        """Record the work of an answer as a multiple of typical work."""
        current = self.slowness(now)
        sample = min(work_ratio, SLOWNESS_CLIP * max(1, current))
        self._slowness = current + SLOWNESS_WEIGHT * (sample - current)
        self._slowness_at = now

    def record_late(self, now: float) -> None:
        """Record an attempt without an answer when others had answered.

        The actual delay is not known at this point, and most late attempts
        are cancelled; so each late attempt in a row doubles the slowness.
        """
        self._paused_until = now + PAUSE_S
        if now - self._late_at < LATE_MERGE_WINDOW_S:
            return
        self._late_at = now
        doubled = 2 * max(1, self.slowness(now))
        self._slowness = min(LATE_SLOWNESS_LIMIT, doubled)
        self._slowness_at = now

    def record_withdrawn(self, attempt: int) -> None:
        """Forget an attempt that was decided and not sent."""
        self._outstanding.pop(attempt, None)

    def record_full(self, until: float, now: float) -> None:
        """Record that another host has no capacity for the target."""
        self._full_until = max(self._full_until, until)
        self._full_known_at = now

    def record_rest(self, until: float, now: float) -> None:
        """Record until when the target wants no request of this host."""
        self._rest_until = max(self._rest_until, until)
        self._rest_known_at = now

    def record_abandoned(
        self, attempt: int, now: float, late_s: float, spread_s: float = 0
    ) -> None:
        """Record an abandoned attempt.

        It counts as unanswered if it was sent at least ``late_s`` ago. After
        enough of these the target is put into back-off, which ``spread_s``
        extends.
        """
        sent_at = self._outstanding.pop(attempt, now)
        if now - sent_at < late_s:
            return
        self.record_late(now)
        self._record_unanswered(sent_at, now, spread_s)

    def record_lost(
        self,
        attempt: int,
        now: float,
        spread_s: float = 0,
        *,
        responded: bool = False,
    ) -> None:
        """Record an attempt without a valid answer.

        Unless the target ``responded``, it counts as unanswered, like an
        abandoned one.
        """
        sent_at = self._outstanding.pop(attempt, now)
        self._update_failure_rate(now, failed=True)
        if not responded:
            self._record_unanswered(sent_at, now, spread_s)

    def record_not_reached(
        self, attempt: int, now: float, spread_s: float = 0
    ) -> None:
        """Record a failed connect; put the target into back-off.

        ``spread_s`` extends the back-off, in seconds.
        """
        sent_at = self._outstanding.pop(attempt, now)
        self._update_failure_rate(now, failed=True)
        self._start_backoff(sent_at, now, spread_s)

    def _record_unanswered(
        self, sent_at: float, now: float, spread_s: float
    ) -> None:
        """Count an attempt without an answer; start a back-off if due."""
        if not self._unanswered:
            self._silent_since = sent_at
        self._unanswered += 1
        silent_s = now - self._silent_since
        if self._unanswered >= MIN_UNANSWERED and silent_s >= MIN_SILENCE_S:
            self._start_backoff(sent_at, now, spread_s)

    def _start_backoff(
        self, sent_at: float, now: float, spread_s: float
    ) -> None:
        """Put the target into back-off, twice as long each time.

        Ignore attempts that were sent before the last back-off began; their
        failure is the one that caused it.
        """
        if sent_at <= self._backoff_started_at:
            return
        self._backoff_started_at = now
        self._backoff_until = now + self._backoff_s + spread_s
        self._backoff_s = min(self._backoff_limit_s, self._backoff_s * 2)

    def _update_failure_rate(self, now: float, *, failed: bool) -> None:
        sample = 1.0 if failed else 0
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_WEIGHT * (sample - rate)
        self._failure_at = now


def _age_weight(age_s: float) -> float:
    """Return the weight of an observation of this age, from 0 to 1."""
    stale_s = age_s - FRESH_S
    return 1 if stale_s <= 0 else math.exp(-stale_s / DECAY_S)
