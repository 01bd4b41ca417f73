"""Metrics of a host's copy of the store."""

from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._ports import Store
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.routing._cluster_state import ClusterState


def add_store_metrics(
    metrics: EntryMetrics,
    store: Store,
    follower: StoreFollower,
    cluster_state: ClusterState,
) -> None:
    """Add gauges and counts on the copy of the store."""
    metrics.add_gauge('store_age_seconds', lambda: follower.age_s)
    metrics.add_gauge(
        'store_changes_unapplied', lambda: cluster_state.unapplied_count
    )
    metrics.add_gauge(
        'store_items_unreadable', lambda: cluster_state.unreadable_count
    )
    metrics.add_gauge('store_revision', lambda: follower.freshness.revision)
    metrics.add_gauge('store_stalled', lambda: int(follower.stalled))
    metrics.add_counts(
        'store_follow_failures',
        'Failed attempts to bring the copy of the store up to date.',
        'step',
        lambda: follower.failures,
    )
    metrics.add_gauge('store_era_rises', lambda: store.eras.rises)
    metrics.add_gauge(
        'configuration_version',
        lambda: (
            -1 if cluster_state.table is None else cluster_state.table.version
        ),
    )
