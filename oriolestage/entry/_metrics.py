"""Prometheus metrics of one entry host."""

import dataclasses
import functools
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from oriolestage._latencies import RouteLatencies
from oriolestage._logging import log_event
from oriolestage.entry._run_driver import RunTimings
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Failed,
    Refused,
    RequestResult,
)
from oriolestage.routing._run_types import (
    BatchDeclined,
    BatchLost,
    BatchOutcome,
    SendAttempt,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Counts:
    """Counters by one label that are kept elsewhere."""

    name: str
    description: str
    label: str
    read: Callable[[], Mapping[str, int]]

    def collect(self) -> CounterMetricFamily:
        """Return the counters with their present values."""
        family = CounterMetricFamily(
            f'oriolestage_{self.name}', self.description, labels=[self.label]
        )
        for label, total in self.read().items():
            family.add_metric((label,), total)
        return family


@dataclasses.dataclass(frozen=True, slots=True)
class _LabelledGauge:
    """Values by one label that are kept elsewhere."""

    name: str
    description: str
    label: str
    read: Callable[[], Mapping[str, float]]

    def collect(self) -> GaugeMetricFamily:
        """Return the present values."""
        family = GaugeMetricFamily(
            f'oriolestage_{self.name}', self.description, labels=[self.label]
        )
        for label, value in self.read().items():
            family.add_metric((label,), value)
        return family


class EntryMetrics:
    """Counts requests and attempts by outcome and records latencies."""

    def __init__(self) -> None:
        """Create counters at zero, without gauges."""
        self._requests: Counter[tuple[str, str]] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._latencies = RouteLatencies()
        self._decision_s: float = 0
        #: Longest delay of an event since the last collection, in seconds.
        self._event_delay_s: float = 0
        self._gauges: dict[str, Callable[[], float]] = {}
        self._background_failures: Counter[str] = Counter()
        self._labelled: list[_LabelledGauge] = []
        self._counts: list[_Counts] = [
            _Counts(
                'background_failures',
                'Errors that ended background work, which started again.',
                'work',
                lambda: self._background_failures,
            ),
        ]

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each collection."""
        self._gauges[name] = read

    def add_counts(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Mapping[str, int]],
    ) -> None:
        """Add counters by one label, which are read at each collection."""
        self._counts.append(_Counts(name, description, label, read))

    def add_labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Add a gauge by one label, which is read at each collection."""
        self._labelled.append(_LabelledGauge(name, description, label, read))

    def record_background_failure(self, work: str) -> None:
        """Count an error that ended background work."""
        self._background_failures[work] += 1

    def record_request(
        self,
        route: str,
        result: RequestResult | str,
        duration_s: float,
    ) -> None:
        """Count a request and record its latency in seconds."""
        self._requests[route, _result_label(result)] += 1
        self._latencies.record(route, duration_s)

    def record_own_time(self, timings: RunTimings) -> None:
        """Record the time that this host added to a request."""
        self._decision_s += timings.decision_s
        self._event_delay_s = max(
            self._event_delay_s, timings.event_delay_s, timings.timer_delay_s
        )

    def record_attempt(
        self, outcome: AttemptOutcome, action: SendAttempt
    ) -> None:
        """Count an attempt at a target, or one sent by another host."""
        cause = 'hedge' if action.hedge else 'first_or_repeat'
        if action.relay is not None:
            cause = 'relay'
        self._attempts[cause, _attempt_label(outcome)] += 1

    def record_batch_reply(self, outcome: BatchOutcome) -> None:
        """Count a reply to a batch, or the loss of the batch."""
        self._attempts['batch', _batch_label(outcome)] += 1

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics, as a collector of ``prometheus_client``."""
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
        yield CounterMetricFamily(
            'oriolestage_decision_seconds',
            'Time spent deciding on caller requests.',
            value=self._decision_s,
        )
        yield GaugeMetricFamily(
            'oriolestage_event_delay_seconds',
            'Longest delay of an event since the last collection.',
            value=self._event_delay_s,
        )
        self._event_delay_s = 0
        for counts in self._counts:
            yield from _collect(counts.name, counts.collect)
        for labelled in self._labelled:
            yield from _collect(labelled.name, labelled.collect)
        for name, read in self._gauges.items():
            yield from _collect(name, functools.partial(_gauge, name, read))


def _gauge(name: str, read: Callable[[], float]) -> GaugeMetricFamily:
    return GaugeMetricFamily(f'oriolestage_{name}', name, value=read())


def _collect(name: str, build: Callable[[], Metric]) -> Iterable[Metric]:
    """Return a metric; log an error, which must not cost the other metrics."""
    try:
        metric = build()
    except Exception as error:  # noqa: BLE001 - whatever part it reads
        log_event(
            'metric_not_read',
            {'step': 'metrics', 'metric': name, 'error': repr(error)},
        )
        return ()
    return (metric,)


def _result_label(result: RequestResult | str) -> str:
    match result:
        case str():
            return result
        case Refused(reason=reason):
            return f'refused_{reason.value}'
        case Failed(reason=reason):
            return f'failed_{reason.value}'
    return 'answered'


def _batch_label(outcome: BatchOutcome) -> str:
    match outcome:
        case BatchLost():
            return 'lost'
        case BatchDeclined():
            return 'declined'
    return 'answered'


def _attempt_label(outcome: AttemptOutcome) -> str:
    match outcome:
        case AttemptAnswered(answer=answer):
            return 'answered' if answer.success else 'error'
        case AttemptNotRun(reason=reason):
            return reason.value
        case AttemptLost():
            return 'lost'
