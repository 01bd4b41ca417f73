"""Prometheus metrics of caller requests and of the decision core."""

from collections import Counter
from collections.abc import Iterable

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from oriolestage._latencies import RouteLatencies
from oriolestage.core import (
    CallerOutcome,
    MayHaveRun,
    NodeCore,
    NotRun,
    QueryAnswer,
)
from oriolestage.daemon._failure_log import FailureLog


class CallerMetrics:
    """Counts caller requests, records latencies and exports the metrics."""

    def __init__(self, core: NodeCore, failures: FailureLog) -> None:
        """Start all counts at zero.

        ``core`` and ``failures`` are read at each scrape.
        """
        self._core = core
        self._failures = failures
        self._outcomes: Counter[str] = Counter()
        self._latencies = RouteLatencies()

    def count(self, outcome: str) -> None:
        """Count a request under a value of the label ``outcome``."""
        self._outcomes[outcome] += 1

    def record(
        self,
        route: str,
        outcome: CallerOutcome,
        latency_s: float,
    ) -> None:
        """Count a request and record its latency.

        The latency of a ``NotRun`` is skipped for a route that has none yet:
        requests to unknown routes must not add values to the label ``route``.
        """
        self.count(_outcome_label(outcome))
        first_for_route = not self._latencies.has_route(route)
        if first_for_route and isinstance(outcome, NotRun):
            return
        self._latencies.record(route, latency_s)

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics, as the Prometheus registry requires."""
        outcomes = CounterMetricFamily(
            'oriolestage_requests',
            'Caller requests.',
            labels=['outcome'],
        )
        for name, total in self._outcomes.items():
            outcomes.add_metric([name], total)
        yield outcomes
        yield self._latencies.metric()
        yield self._failure_metric()
        yield from self._core_metrics()

    def _failure_metric(self) -> Metric:
        failures = CounterMetricFamily(
            'oriolestage_failures',
            'Malformed input and unexpected errors by step.',
            labels=['step'],
        )
        for step, total in self._failures.counts.items():
            failures.add_metric([step], total)
        failures.add_metric(['core'], self._core.failures)
        return failures

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
            'oriolestage_unreadable_store_keys',
            'Keys of the store whose values cannot be used now.',
            value=len(core.unreadable.current),
        )
        yield CounterMetricFamily(
            'oriolestage_unreadable_store_values',
            'Values of the store that could not be used.',
            value=core.unreadable.total,
        )
        yield GaugeMetricFamily(
            'oriolestage_targets_owned',
            'Targets that this host owns.',
            value=len(core.owner.owned.limiters),
        )
        yield GaugeMetricFamily(
            'oriolestage_members_alive',
            'Hosts that this one sees alive.',
            value=core.membership.alive_count,
        )


def _outcome_label(outcome: CallerOutcome) -> str:
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
