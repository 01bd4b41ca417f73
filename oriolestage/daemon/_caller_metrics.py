"""Counts and latencies of caller requests."""

from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from oriolestage.core import (
    CallerOutcome,
    MayHaveRun,
    NodeCore,
    NotRun,
    QueryAnswer,
)

MICROS_PER_SECOND = 1_000_000
#: Largest latency recorded, in microseconds.
LARGEST_LATENCY_US = 120_000_000
#: Percentiles given in the metrics.
PERCENTILES = (50.0, 99.0, 99.9)


class CallerMetrics:
    """Collects what callers of this host experience."""

    def __init__(self, core: NodeCore) -> None:
        """Start at zero; counts of the core are read from it."""
        self._core = core
        self._outcomes: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}

    def count(self, outcome: str) -> None:
        """Count a request by how it ended."""
        self._outcomes[outcome] += 1

    def record(
        self,
        route: str,
        outcome: CallerOutcome,
        latency_s: float,
    ) -> None:
        """Count a request and record its latency."""
        self.count(_outcome_name(outcome))
        histogram = self._latencies.get(route)
        if histogram is None:
            if isinstance(outcome, NotRun):
                return
            histogram = HdrHistogram(1, LARGEST_LATENCY_US, 2)
            self._latencies[route] = histogram
        micros = max(1, int(latency_s * MICROS_PER_SECOND))
        histogram.record_value(min(micros, LARGEST_LATENCY_US))

    def collect(self) -> Iterable[Metric]:
        """Give all metrics in the form that the exposition writes."""
        outcomes = CounterMetricFamily(
            'oriolestage_requests',
            'Caller requests.',
            labels=['outcome'],
        )
        for name, total in self._outcomes.items():
            outcomes.add_metric([name], total)
        yield outcomes
        yield from self._latency_metrics()
        yield from self._core_metrics()

    def _latency_metrics(self) -> Iterable[Metric]:
        latency = GaugeMetricFamily(
            'oriolestage_request_latency_seconds',
            'Latency of caller requests by percentile.',
            labels=['route', 'percentile'],
        )
        for route, histogram in self._latencies.items():
            for percentile in PERCENTILES:
                micros = histogram.get_value_at_percentile(percentile)
                latency.add_metric(
                    [route, str(percentile)],
                    micros / MICROS_PER_SECOND,
                )
        yield latency

    def _core_metrics(self) -> Iterable[Metric]:
        core = self._core
        shard_requests = CounterMetricFamily(
            'oriolestage_shard_requests',
            'Shard requests by cause.',
            labels=['cause'],
        )
        shard_requests.add_metric(['needed'], core.queries.needed)
        shard_requests.add_metric(['hedge'], core.queries.hedged)
        shard_requests.add_metric(['retry'], core.queries.retried)
        yield shard_requests
        yield CounterMetricFamily(
            'oriolestage_late_replies',
            'Shard replies that came after their request was given up.',
            value=core.attempts.late_replies,
        )
        yield GaugeMetricFamily(
            'oriolestage_requests_in_flight',
            'Requests and target calls that have not ended.',
            value=core.requests_in_flight,
        )
        yield GaugeMetricFamily(
            'oriolestage_revision',
            'Configuration revision in force.',
            value=core.configuration.revision,
        )
        yield GaugeMetricFamily(
            'oriolestage_targets_owned',
            'Targets that this host owns.',
            value=len(core.owner.gates),
        )
        yield GaugeMetricFamily(
            'oriolestage_members_alive',
            'Hosts that this one sees alive.',
            value=core.membership.alive_count,
        )


def _outcome_name(outcome: CallerOutcome) -> str:
    match outcome:
        case QueryAnswer(coverage=coverage) if coverage.whole:
            return 'whole'
        case QueryAnswer():
            return 'partial'
        case NotRun():
            return 'not_run'
        case MayHaveRun():
            return 'may_have_run'
    return 'command_answer'
