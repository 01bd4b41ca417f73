"""Builder of the state that the items of the store are applied to."""

from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_peers,
    make_placement,
)


def make_cluster_state() -> ClusterState:
    """Return a state without configuration, targets or hosts."""
    placement, directory = make_placement()
    return ClusterState(
        directory,
        placement,
        make_peers(placement.location),
        make_crash_detector(),
    )
