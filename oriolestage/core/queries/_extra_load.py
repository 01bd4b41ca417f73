"""The shared budget for hedges and retries, and the hedge delay."""

from hdrh.histogram import HdrHistogram

from oriolestage.core._parameters import Parameters

MICROS_PER_SECOND = 1_000_000
#: Largest latency that the histogram holds, in microseconds.
MAX_LATENCY_US = 60_000_000
#: Percentile of a group's shard latency that sets its hedge delay.
HEDGE_PERCENTILE = 96.0
#: Recorded answers between two updates of the hedge delay.
REFRESH_INTERVAL = 16
#: Recorded answers after which the histogram is reset.
HISTOGRAM_WINDOW = 4096
#: Hedge delay until enough answers are recorded, in seconds.
INITIAL_DELAY_S = 0.1
#: Weight of the newest reply in the moving average of queued replies.
QUEUED_SHARE_WEIGHT = 0.02
#: Share of queued replies above which no hedges are sent.
QUEUED_SHARE_LIMIT = 0.3


class ExtraLoadBudget:
    """Limits hedges and retries to a share of the needed shard requests.

    A token bucket: each needed request adds a fraction of a token, and each
    hedge or retry takes a whole one.
    """

    def __init__(self, parameters: Parameters) -> None:
        """Start with a full bucket."""
        self._share = parameters.extra_load_share
        self._burst = parameters.extra_load_burst
        self._tokens = parameters.extra_load_burst
        self._queued_share: float = 0

    @property
    def hedging_suspended(self) -> bool:
        """Whether too many requests queue at their targets for hedging.

        A hedge takes a slot of another target; when targets have queues, it
        delays other requests.
        """
        return self._queued_share > QUEUED_SHARE_LIMIT

    def record_needed(self) -> None:
        """Record one needed shard request, which is neither hedge nor retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def record_answer(self, *, queued: bool) -> None:
        """Record whether a shard request had to queue for a slot."""
        sample = 1.0 if queued else 0
        self._queued_share += QUEUED_SHARE_WEIGHT * (
            sample - self._queued_share
        )

    def try_acquire(self) -> bool:
        """Take a token for a hedge or retry; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class HedgeDelay:
    """Adapts the delay before a hedge to the shard latency of one group."""

    def __init__(self, min_delay_s: float) -> None:
        """Start with a fixed delay; ``min_delay_s`` bounds adapted ones."""
        self._min_delay_s = min_delay_s
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 2)
        self._recorded_answers = 0
        self._delay_s = INITIAL_DELAY_S

    @property
    def delay_s(self) -> float:
        """Seconds without an answer after which a hedge may be sent."""
        return self._delay_s

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of a shard answer and adapt the delay."""
        micros = min(MAX_LATENCY_US, max(1, int(latency_s * MICROS_PER_SECOND)))
        self._histogram.record_value(micros)
        self._recorded_answers += 1
        if self._recorded_answers % REFRESH_INTERVAL:
            return
        percentile = self._histogram.get_value_at_percentile(HEDGE_PERCENTILE)
        self._delay_s = max(self._min_delay_s, percentile / MICROS_PER_SECOND)
        if self._recorded_answers >= HISTOGRAM_WINDOW:
            self._histogram.reset()
            self._recorded_answers = 0
