"""Latencies of caller requests by route, as metrics."""

from hdrh.histogram import HdrHistogram
from prometheus_client.core import GaugeMetricFamily, Metric

MICROS_PER_SECOND = 1_000_000
#: Largest latency recorded, in microseconds.
LARGEST_LATENCY_US = 120_000_000
#: Percentiles given in the metrics.
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class RouteLatencies:
    """One histogram for each route."""

    def __init__(self) -> None:
        """Start without routes."""
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
        """Tell whether a latency of a route was recorded."""
        return route in self._histograms

    def metric(self) -> Metric:
        """Give all latencies in the form that the exposition writes."""
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
