"""Limits the concurrency of one target, with a slow start (ramp).

A cold target starts at one request in flight. The limit grows by one after
each run of successful answers, up to the slots that the configuration declares.
Any sign that the target is cold again resets the limit.
"""

from oriolestage.core._charts import StateChart, load_chart
from oriolestage.core._parameters import Parameters
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.targets._fair_queue import FairQueue
from oriolestage.core.targets._target_results import TargetStatus

#: Weight of the newest latency in the exponential moving average.
LATENCY_WEIGHT = 0.1
#: Time for which the versions that a target reported count as current, in
#: seconds.
VERSIONS_TTL_S = 0.5
#: Latency assumed before the first answer, in seconds. Latencies are never
#: compared with a smaller average than this.
INITIAL_LATENCY_S = 0.01
#: An answer is slow if it takes more than this multiple of the average.
SLOW_LATENCY_RATIO = 4.0
#: Consecutive slow answers after which the target counts as cold.
SLOW_ANSWERS_BEFORE_COLD = 3


class TargetLimiter:
    """Concurrency limit, queue and life cycle of one owned target."""

    def __init__(self, target: Target, parameters: Parameters) -> None:
        """Create the limiter of a target in the acquiring state."""
        self.target = target
        self.queue = FairQueue(parameters.queue_limit)
        self.in_flight = 0
        self._parameters = parameters
        self._chart = StateChart(load_chart('target'))
        self._state = self._chart.state
        self._limit = parameters.cold_limit
        self._reports_cold = False
        self._successes = 0
        self._slow_answers = 0
        self._process = ''
        self._versions: tuple[int, ...] = ()
        self._versions_at = float('-inf')
        self._latency_s = INITIAL_LATENCY_S
        self._lost_until: float = 0
        self._backoff_s = parameters.lost_backoff_s

    @property
    def state(self) -> str:
        """Name of the current life-cycle state."""
        return self._state

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight at present."""
        return min(self._limit, self.target.slots)

    @property
    def versions(self) -> tuple[int, ...]:
        """Index versions that the target last reported to serve."""
        return self._versions

    @property
    def lost_until(self) -> float:
        """Time at which the back-off of a lost target ends."""
        return self._lost_until

    @property
    def has_capacity(self) -> bool:
        """Whether one more request may be sent now."""
        return self._state in {'cold', 'warm'} and self.in_flight < self.limit

    def expected_wait_s(self) -> float:
        """Estimate how long a new request would wait in the queue."""
        queued_ahead = len(self.queue) + self.in_flight + 1 - self.limit
        return max(0, queued_ahead) * self._latency_s / self.limit

    def fire(self, event: str) -> None:
        """Apply an event of the life-cycle chart.

        Entering the cold state restarts the slow start.
        """
        before = self._state
        self._state = self._chart.fire(event)
        if self._state != before and self._state == 'cold':
            self._limit = self._parameters.cold_limit
            self._successes = 0
            self._slow_answers = 0

    def may_serve(self, version: int, now: float) -> bool:
        """Return whether the target may serve a version; 0 is any.

        True also if its versions are not known or out of date.
        """
        stale = now - self._versions_at > VERSIONS_TTL_S
        if stale or not self._versions:
            return True
        return version == 0 or version in self._versions

    def record_status(self, target_status: TargetStatus, now: float) -> None:
        """Apply what a response reported about the target.

        A new process identifier means that the target has restarted and is
        cold.
        """
        if target_status.versions:
            self._versions = target_status.versions
            self._versions_at = now
        changed = (
            target_status.process and target_status.process != self._process
        )
        if changed and self._process:
            self._restart_ramp()
        if target_status.process:
            self._process = target_status.process
        self._reports_cold = target_status.cold
        if target_status.cold:
            self._restart_ramp()
        if target_status.leaving:
            self.fire('leaving_seen')
        elif self._state == 'leaving' and changed:
            self.fire('returned')

    def record_success(self, latency_s: float) -> None:
        """Record an answer and raise the limit after enough of them.

        Slow answers and answers of a target that reports itself cold do not
        count.
        """
        self._backoff_s = self._parameters.lost_backoff_s
        if self._is_slow(latency_s) or self._reports_cold:
            return
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._successes += 1
        if self._successes < self._parameters.ramp_successes:
            return
        self._successes = 0
        self._limit = min(self._limit + 1, self.target.slots)
        if self._limit == self.target.slots and self._state == 'cold':
            self.fire('ramp_done')

    def record_refusal(self) -> None:
        """Restart the slow start after the target refused a request."""
        self._restart_ramp()

    def record_lost(self, now: float) -> None:
        """Record a lost target and back off, for twice as long each time.

        The back-off is bounded and returns to its initial length after an
        answer.
        """
        self.fire('lost')
        self._process = ''
        self._lost_until = now + self._backoff_s
        self._backoff_s = min(
            self._backoff_s * 2,
            self._parameters.lost_backoff_limit_s,
        )

    def record_returned(self) -> None:
        """Treat the target as cold after it was out of service."""
        self._restart_ramp()

    def _restart_ramp(self) -> None:
        self._limit = self._parameters.cold_limit
        self._successes = 0
        self._slow_answers = 0
        if self._state == 'warm':
            self.fire('turned_cold')

    def _is_slow(self, latency_s: float) -> bool:
        if latency_s <= SLOW_LATENCY_RATIO * max(
            self._latency_s, INITIAL_LATENCY_S
        ):
            self._slow_answers = 0
            return False
        self._slow_answers += 1
        if self._slow_answers >= SLOW_ANSWERS_BEFORE_COLD:
            self._latency_s = latency_s
            self._restart_ramp()
        return True
