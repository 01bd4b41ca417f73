"""Percentiles of the latencies of caller requests, as a metric."""

from hdrh.histogram import HdrHistogram
from prometheus_client.core import GaugeMetricFamily, Metric

MICROS_PER_SECOND = 1_000_000
#: Longer latencies are recorded as this one, in microseconds.
LARGEST_LATENCY_US = 120_000_000
#: Percentiles that the metric shows.
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class RouteLatencies:
    """Keeps a latency histogram for each route."""

    def __init__(self) -> None:
        """Create no histograms; a route gets one with its first latency."""
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, route: str, latency_s: float) -> None:
        """Record the latency of one request, in seconds."""
        histogram = self._histograms.get(route)
        if histogram is None:
            histogram = HdrHistogram(1, LARGEST_LATENCY_US, 2)
            self._histograms[route] = histogram
        micros = max(1, int(latency_s * MICROS_PER_SECOND))
        histogram.record_value(min(micros, LARGEST_LATENCY_US))

    def has_route(self, route: str) -> bool:
        """Return whether a latency has been recorded for a route."""
        return route in self._histograms

    def metric(self) -> Metric:
        """Return the percentiles of all routes as a Prometheus gauge."""
        latency = GaugeMetricFamily(
            'oriolestage_request_latency_seconds',
            'Latency of caller requests by percentile.',
            labels=['route', 'percentile'],
        )
        for route, histogram in self._histograms.items():
            for percentile in PERCENTILES:
                micros = histogram.get_value_at_percentile(percentile)
                latency.add_metric(
                    [route, str(percentile)],
                    micros / MICROS_PER_SECOND,
                )
        return latency
