"""Creates the state of a host and the components that limit its requests."""

import dataclasses
import random
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.admission._accounts import NO_ACCOUNTS
from oriolestage.admission._quota_client import QuotaClient
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.admission._waiting_line import WaitingLine
from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._pacing_metrics import add_pacing_metrics
from oriolestage.entry._ports import Store
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.entry._quota_log import QuotaLog
from oriolestage.entry._rollout_parts import RolloutParts, build_rollouts
from oriolestage.entry._settings import EntrySettings
from oriolestage.pacing._target_paces import TargetPaces
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._crash_detector import CrashDetector
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import TargetDirectory


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """What a host knows of the configuration, the targets and other hosts."""

    placement: Placement
    peers: PeerDirectory
    crash_detector: CrashDetector
    cluster_state: ClusterState
    #: None if roll-outs are not enabled.
    rollouts: RolloutParts | None


def build_state(
    settings: EntrySettings,
    metrics: EntryMetrics,
    copy_age_s: Callable[[], float],
) -> HostState:
    """Return the state of a host that has read nothing.

    ``copy_age_s`` returns the age of its copy of the store, in seconds.
    """
    rollouts = build_rollouts(
        settings.rollouts, settings.location.name, copy_age_s
    )
    book = None if rollouts is None else rollouts.book
    placement = Placement(
        settings.location,
        TargetDirectory(),
        settings.warm_up,
        log_change,
        book,
        _build_paces(settings, metrics),
    )
    peers = PeerDirectory(settings.location)
    crash_detector = CrashDetector(log_change)
    cluster_state = ClusterState(
        placement.directory, placement, peers, crash_detector, book
    )
    return HostState(placement, peers, crash_detector, cluster_state, rollouts)


def build_waiting_line(metrics: EntryMetrics) -> WaitingLine:
    """Return the line of requests that wait for capacity, with metrics."""
    line = WaitingLine(random.Random(), log_change)
    metrics.add_gauge('waiting_requests', lambda: line.waiting)
    metrics.add_counts(
        'waiting_refusals',
        'Requests that were refused a target, by reason.',
        'reason',
        lambda: line.refusals,
    )
    return line


def _build_paces(
    settings: EntrySettings, metrics: EntryMetrics
) -> TargetPaces | None:
    """Return the paces of targets with their metrics, None if not enabled."""
    if not settings.target_pacing:
        return None
    paces = TargetPaces(settings.location.name, log_change)
    add_pacing_metrics(metrics, paces)
    return paces


def build_registration(
    settings: EntrySettings, store: Store, cluster_state: ClusterState
) -> HostRegistration:
    """Return what keeps this host registered."""
    record = HostRecord(
        settings.location.name,
        settings.location.data_centre,
        settings.peer_address,
    )
    return HostRegistration(
        store, record, lambda: cluster_state.hosts.lists(record)
    )


def build_quotas(
    settings: EntrySettings, cluster_state: ClusterState
) -> QuotaExchange:
    """Return what limits the requests of accounts over all hosts."""
    name = settings.location.name
    return QuotaExchange(
        name,
        QuotaClient(name, settings.quota),
        QuotaLedger(settings.quota),
        lambda: (
            NO_ACCOUNTS
            if cluster_state.table is None
            else cluster_state.table.accounts
        ),
        lambda: cluster_state.hosts.records,
        settings.location.region_of,
        QuotaLog(),
    )


def log_change(change: StateChange) -> None:
    """Log a change of what the host knows."""
    log_event(change.event, dict(change.fields))
