"""One budget for hedges and retries, and the delay before a hedge."""

from hdrh.histogram import HdrHistogram

from oriolestage.core._parameters import Parameters

MICROS_PER_SECOND = 1_000_000
#: Largest latency that the histogram holds, in microseconds.
LARGEST_LATENCY_US = 60_000_000
#: Percentile of a service's latency after which a hedge is sent.
HEDGE_PERCENTILE = 96.0
#: Answers between two computations of the hedge delay.
REFRESH_INTERVAL = 16
#: Answers after which the histogram starts anew.
WINDOW = 4096
#: Hedge delay before enough answers were seen, in seconds.
INITIAL_DELAY_S = 0.1
#: Weight of the newest answer in the share of queued answers.
QUEUED_SHARE_WEIGHT = 0.02
#: Share of answers that had to queue above which hedging stops.
QUEUED_SHARE_LIMIT = 0.3


class ExtraLoadBudget:
    """Lets extra shard requests be a fixed share of the needed ones."""

    def __init__(self, parameters: Parameters) -> None:
        """Start with a full burst."""
        self._share = parameters.extra_load_share
        self._burst = parameters.extra_load_burst
        self._tokens = parameters.extra_load_burst
        self._pressure: float = 0

    @property
    def hedging_suspended(self) -> bool:
        """Tell whether so many answers had to queue that hedging harms."""
        return self._pressure > QUEUED_SHARE_LIMIT

    def record_needed(self) -> None:
        """Count a shard request that was needed anyway."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def record_answer(self, *, queued: bool) -> None:
        """Note whether an answer had to wait for a slot."""
        sample = 1.0 if queued else 0
        self._pressure += QUEUED_SHARE_WEIGHT * (sample - self._pressure)

    def try_acquire(self) -> bool:
        """Take the right to one extra shard request, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class HedgeDelay:
    """Adapts the delay before a hedge to the latency of one group."""

    def __init__(self, floor_s: float) -> None:
        """Start with a fixed delay."""
        self._floor_s = floor_s
        self._histogram = HdrHistogram(1, LARGEST_LATENCY_US, 2)
        self._recorded = 0
        self._delay_s = INITIAL_DELAY_S

    @property
    def delay_s(self) -> float:
        """Time after which a shard request is worth a second one."""
        return self._delay_s

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of a shard answer."""
        micros = min(
            LARGEST_LATENCY_US, max(1, int(latency_s * MICROS_PER_SECOND))
        )
        self._histogram.record_value(micros)
        self._recorded += 1
        if self._recorded % REFRESH_INTERVAL:
            return
        percentile = self._histogram.get_value_at_percentile(HEDGE_PERCENTILE)
        self._delay_s = max(self._floor_s, percentile / MICROS_PER_SECOND)
        if self._recorded >= WINDOW:
            self._histogram.reset()
            self._recorded = 0
