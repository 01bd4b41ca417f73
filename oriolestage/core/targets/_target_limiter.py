"""How much work one target gets from its owner.

The gate starts at one request in flight and adds a slot after a run of
successes, up to the slots that the configuration declares. Any sign that the
target is cold again brings it back to one.
"""

from oriolestage.core._charts import StateChart, load_chart
from oriolestage.core._parameters import Parameters
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.targets._fair_queue import FairQueue
from oriolestage.core.targets._target_results import TargetStatus

#: Weight of the newest latency in the running mean.
LATENCY_WEIGHT = 0.1
#: Time for which it is believed what versions a target serves, in seconds.
VERSIONS_TTL_S = 0.5
#: Service time assumed before the first answer, in seconds.
INITIAL_LATENCY_S = 0.01
#: A latency this many times the mean counts as slow.
SLOW_FACTOR = 4.0
#: Slow answers in a row that count as a sign of a cold target.
SLOW_RUN = 3


class TargetLimiter:
    """Admission to one owned target."""

    def __init__(self, target: Target, parameters: Parameters) -> None:
        """Start in the acquiring state."""
        self.target = target
        self.queue = FairQueue(parameters.queue_limit)
        self.in_flight = 0
        self._parameters = parameters
        self._chart = StateChart(load_chart('target'))
        self._state = self._chart.state
        self._limit = parameters.cold_limit
        self._says_cold = False
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
        """Name of the state in the target's life."""
        return self._state

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return min(self._limit, self.target.slots)

    @property
    def versions(self) -> tuple[int, ...]:
        """Index versions that the target last said it serves."""
        return self._versions

    @property
    def lost_until(self) -> float:
        """Time until which a lost target is left alone."""
        return self._lost_until

    @property
    def has_room(self) -> bool:
        """Tell whether one more request may be sent now."""
        return self._state in {'cold', 'warm'} and self.in_flight < self.limit

    def expected_wait_s(self) -> float:
        """Estimate how long a new request waits in the queue."""
        ahead = len(self.queue) + self.in_flight + 1 - self.limit
        return max(0, ahead) * self._latency_s / self.limit

    def fire(self, event: str) -> None:
        """Handle a life-cycle event."""
        before = self._state
        self._state = self._chart.fire(event)
        if self._state != before and self._state == 'cold':
            self._limit = self._parameters.cold_limit
            self._successes = 0
            self._slow_answers = 0

    def may_serve(self, version: int, now: float) -> bool:
        """Tell whether the target may serve a version; 0 is any."""
        stale = now - self._versions_at > VERSIONS_TTL_S
        if stale or not self._versions:
            return True
        return version == 0 or version in self._versions

    def record_status(self, target_status: TargetStatus, now: float) -> None:
        """Take in what a response told of the target."""
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
        self._says_cold = target_status.cold
        if target_status.cold:
            self._restart_ramp()
        if target_status.leaving:
            self.fire('leaving_seen')
        elif self._state == 'leaving' and changed:
            self.fire('returned')

    def record_success(self, latency_s: float) -> None:
        """Count an answer; ramp up after a run of them."""
        self._backoff_s = self._parameters.lost_backoff_s
        if self._is_slow(latency_s) or self._says_cold:
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
        """Take a target's refusal as a sign that it can carry less."""
        self._restart_ramp()

    def record_lost(self, now: float) -> None:
        """Leave the target alone for a while, longer each time."""
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
        if latency_s <= SLOW_FACTOR * max(self._latency_s, INITIAL_LATENCY_S):
            self._slow_answers = 0
            return False
        self._slow_answers += 1
        if self._slow_answers >= SLOW_RUN:
            self._latency_s = latency_s
            self._restart_ramp()
        return True
