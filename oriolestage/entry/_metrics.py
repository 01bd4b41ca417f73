"""Counts and latencies of one entry host."""

from collections import Counter
from collections.abc import Callable, Iterable

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from oriolestage._latencies import RouteLatencies
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Failed,
    Refused,
    Verdict,
)
from oriolestage.relay._run_types import (
    BatchDeclined,
    BatchLost,
    BatchOutcome,
)


class EntryMetrics:
    """Collects what callers and targets of this host experience."""

    def __init__(self) -> None:
        """Start at zero."""
        self._requests: Counter[tuple[str, str]] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._latencies = RouteLatencies()
        self._gauges: dict[str, Callable[[], float]] = {}

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a figure that is read when metrics are asked for."""
        self._gauges[name] = read

    def record_request(
        self,
        route: str,
        verdict: Verdict | str,
        took_s: float,
    ) -> None:
        """Count a request and record its latency."""
        self._requests[route, _verdict_name(verdict)] += 1
        self._latencies.record(route, took_s)

    def record_attempt(self, outcome: AttemptOutcome, *, hedge: bool) -> None:
        """Count an attempt at a target."""
        cause = 'hedge' if hedge else 'first_or_repeat'
        self._attempts[cause, _attempt_name(outcome)] += 1

    def record_batch_reply(self, outcome: BatchOutcome) -> None:
        """Count a batch that another host gathered."""
        self._attempts['batch', _batch_name(outcome)] += 1

    def collect(self) -> Iterable[Metric]:
        """Give all metrics in the form that the exposition writes."""
        requests = CounterMetricFamily(
            'oriolestage_requests',
            'Caller requests.',
            labels=['route', 'outcome'],
        )
        for labels, total in self._requests.items():
            requests.add_metric(labels, total)
        yield requests
        attempts = CounterMetricFamily(
            'oriolestage_attempts',
            'Attempts at targets.',
            labels=['cause', 'outcome'],
        )
        for labels, total in self._attempts.items():
            attempts.add_metric(labels, total)
        yield attempts
        yield self._latencies.metric()
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f'oriolestage_{name}', name, value=read())


def _verdict_name(verdict: Verdict | str) -> str:
    match verdict:
        case str():
            return verdict
        case Refused(reason=reason):
            return f'refused_{reason.value}'
        case Failed(reason=reason):
            return f'failed_{reason.value}'
    return 'answered'


def _batch_name(outcome: BatchOutcome) -> str:
    match outcome:
        case BatchLost():
            return 'lost'
        case BatchDeclined():
            return 'declined'
    return 'answered'


def _attempt_name(outcome: AttemptOutcome) -> str:
    match outcome:
        case AttemptAnswered(answer=answer):
            return 'answered' if answer.success else 'error'
        case AttemptNotRun(reason=reason):
            return reason.value
        case AttemptLost():
            return 'lost'
