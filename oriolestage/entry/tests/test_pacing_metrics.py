"""Tests of the metrics of paced targets."""

from unittest import TestCase

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._pacing_metrics import add_pacing_metrics
from oriolestage.pacing._target_paces import TargetPaces
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import make_record


class PacingMetricsTest(TestCase):
    """Guards against paces that an operator cannot see."""

    def test_page(self) -> None:
        """The page has the paced targets and the steps by direction."""
        paces = TargetPaces('host-1', lambda _: None)
        target = KnownTarget(make_record(), cold_until=0)
        paces.record_recovered(target, float('inf'))
        paces.record_failed(target)
        metrics = EntryMetrics()
        add_pacing_metrics(metrics, paces)
        registry = CollectorRegistry()
        registry.register(metrics)
        page = generate_latest(registry).decode()
        self.assertIn('oriolestage_paced_targets 1.0', page)
        self.assertIn('oriolestage_pace_steps_total{direction="up"} 0.0', page)
        self.assertIn(
            'oriolestage_pace_steps_total{direction="down"} 1.0', page
        )
