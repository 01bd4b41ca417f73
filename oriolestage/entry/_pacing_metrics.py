"""Metrics of the targets that have started or recovered."""

import time

from oriolestage.entry._metrics import EntryMetrics
from oriolestage.pacing._target_paces import TargetPaces


def add_pacing_metrics(metrics: EntryMetrics, paces: TargetPaces) -> None:
    """Add the number of paced targets and the steps of their paces."""
    metrics.add_gauge('paced_targets', lambda: paces.count(time.monotonic()))
    metrics.add_counts(
        'pace_steps',
        'Steps of the paces of targets that have started or recovered.',
        'direction',
        lambda: paces.steps,
    )
