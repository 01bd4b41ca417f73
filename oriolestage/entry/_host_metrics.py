"""Adds the gauges and counters of a host's components to its metrics."""

from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._ports import Store
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._placement import Placement


def add_target_gauges(metrics: EntryMetrics, placement: Placement) -> None:
    """Add the gauges of targets and hosts."""
    metrics.add_gauge('targets', lambda: len(placement.directory))
    metrics.add_gauge(
        'cut_off', lambda: int(placement.observations.reach.cut_off)
    )
    metrics.add_gauge(
        'rate_limited_targets', lambda: placement.rates.limited_count
    )
    metrics.add_gauge('hosts', lambda: len(placement.hosts))


def add_store_gauges(
    metrics: EntryMetrics,
    store: Store,
    follower: StoreFollower,
    cluster_state: ClusterState,
) -> None:
    """Add the gauges of this host's copy of the store."""
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


def add_quota_metrics(metrics: EntryMetrics, quotas: QuotaExchange) -> None:
    """Add the counters of quotas."""
    metrics.add_counts(
        'quota_events',
        'Requests of accounts with a limit, and messages about them.',
        'event',
        lambda: quotas.counts,
    )
    metrics.add_gauge('quota_links', lambda: quotas.link_count)
    metrics.add_gauge('quota_books', lambda: quotas.book_count)
