"""What this host has seen of each target: delay, failures, silence."""

import math

#: Weight of the newest delay in the running estimate.
DELAY_WEIGHT = 0.25
#: A delay counts for at most this many times the estimate.
DELAY_CLIP = 4.0
#: Weight of the newest outcome in the failure rate.
FAILURE_WEIGHT = 0.15
#: Time for which an estimate is trusted without new samples, in seconds.
ESTIMATE_FRESH_S = 1.0
#: Time constant with which an old estimate returns to the prior, in seconds.
ESTIMATE_DECAY_S = 2.0
#: Attempts in a row without an answer after which a target may be lost.
SILENT_RUN = 3
#: Shortest silence that counts as lost, in seconds; pauses are shorter.
SILENCE_S = 0.35
#: First and longest time for which a lost target is left alone, in seconds.
BACKOFF_S = 0.25
BACKOFF_LIMIT_S = 2.0
#: Expected delay is raised by this time for a target that always fails.
FAILURE_COST_S = 0.4


class TargetLoad:
    """Outstanding work and recent behaviour of one target, seen from here."""

    def __init__(self, prior_s: float) -> None:
        """Start from a prior delay in seconds."""
        self.prior_s = prior_s
        self._outstanding: dict[int, float] = {}
        self._delay_s = prior_s
        self._updated_at = float('-inf')
        self._failure_rate: float = 0
        self._silent_run = 0
        self._silent_since = float('-inf')
        self._down_until = float('-inf')
        self._backoff_s = BACKOFF_S

    @property
    def outstanding(self) -> int:
        """Attempts that are not over."""
        return len(self._outstanding)

    @property
    def failure_rate(self) -> float:
        """Recent share of failed attempts, from 0 to 1."""
        return self._failure_rate

    @property
    def down_until(self) -> float:
        """Steady time until which the target is left alone."""
        return self._down_until

    def is_down(self, now: float) -> bool:
        """Tell whether the target gets no work now.

        After the time is over one attempt at a time tries the target.
        """
        if now < self._down_until:
            return True
        return self._backoff_s > BACKOFF_S and bool(self._outstanding)

    def delay_s(self, now: float) -> float:
        """Estimate the delay of an answer, in seconds."""
        age = now - self._updated_at - ESTIMATE_FRESH_S
        if age <= 0:
            return self._delay_s
        kept = math.exp(-age / ESTIMATE_DECAY_S)
        return self.prior_s + (self._delay_s - self.prior_s) * kept

    def expected_s(self, slots: int, now: float) -> float:
        """Estimate the delay of one more attempt under the present work."""
        delay_s = self.delay_s(now)
        ahead = max(0, len(self._outstanding) + 1 - slots)
        expected = delay_s * (1 + ahead / slots)
        for sent_at in self._outstanding.values():
            expected += max(0, now - sent_at - 2 * delay_s)
            break
        return expected + self._failure_rate * FAILURE_COST_S

    def note_sent(self, attempt: int, now: float) -> None:
        """Note that an attempt is on its way."""
        self._outstanding[attempt] = now

    def note_answer(self, attempt: int, now: float, *, failed: bool) -> None:
        """Note an answer that the target gave, a failure or not."""
        sent_at = self._outstanding.pop(attempt, now)
        self._silent_run = 0
        self._backoff_s = BACKOFF_S
        self._down_until = float('-inf')
        self._note_failure(failed=failed)
        if not failed:
            self._note_delay(now - sent_at, now)

    def note_abandoned(self, attempt: int, now: float) -> None:
        """Note that an attempt was given up; its delay is a lower bound."""
        sent_at = self._outstanding.pop(attempt, now)
        waited_s = now - sent_at
        if waited_s <= self.delay_s(now):
            return
        self._note_delay(waited_s, now)
        if not self._silent_run:
            self._silent_since = sent_at
        self._silent_run += 1
        silent_s = now - self._silent_since
        if self._silent_run >= SILENT_RUN and silent_s >= SILENCE_S:
            self._leave_alone(now)

    def note_lost(self, attempt: int, now: float) -> None:
        """Note a broken connection or a damaged answer."""
        self._outstanding.pop(attempt, None)
        self._note_failure(failed=True)

    def note_not_reached(self, attempt: int, now: float) -> None:
        """Note that no connection could be made."""
        self._outstanding.pop(attempt, None)
        self._note_failure(failed=True)
        self._leave_alone(now)

    def _leave_alone(self, now: float) -> None:
        self._down_until = now + self._backoff_s
        self._backoff_s = min(BACKOFF_LIMIT_S, self._backoff_s * 2)

    def _note_failure(self, *, failed: bool) -> None:
        sample = 1.0 if failed else 0
        self._failure_rate += FAILURE_WEIGHT * (sample - self._failure_rate)

    def _note_delay(self, delay_s: float, now: float) -> None:
        current = self.delay_s(now)
        clipped = min(delay_s, DELAY_CLIP * max(current, self.prior_s))
        self._delay_s = current + DELAY_WEIGHT * (clipped - current)
        self._updated_at = now
