"""Tests of the collection of metrics."""

from collections.abc import Mapping
from unittest import TestCase

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from oriolestage.entry._metrics import EntryMetrics


class FailingMetricTest(TestCase):
    """Guards against one metric that keeps all others from being read."""

    def test_page(self) -> None:
        """The page has the metrics before and after those that fail."""
        metrics = EntryMetrics()
        metrics.add_counts('first', 'First.', 'step', lambda: {'a': 1})
        metrics.add_counts('second', 'Second.', 'step', _fail_counts)
        metrics.add_gauge('third', lambda: 3)
        metrics.add_gauge('fourth', _fail)
        metrics.add_gauge('fifth', lambda: 5)
        registry = CollectorRegistry()
        registry.register(metrics)
        page = generate_latest(registry).decode()
        self.assertIn('oriolestage_first_total{step="a"} 1.0', page)
        self.assertIn('oriolestage_third 3.0', page)
        self.assertIn('oriolestage_fifth 5.0', page)
        for name in ('second', 'fourth'):
            self.assertNotIn(f'oriolestage_{name}', page)


def _fail() -> float:
    raise ValueError('unforeseen')


def _fail_counts() -> Mapping[str, int]:
    raise ValueError('unforeseen')
