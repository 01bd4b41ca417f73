"""Builders of the state that the items of the store are applied to."""

from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._targets import TargetDirectory
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_peers,
    make_placement,
)


def make_cluster_state() -> ClusterState:
    """Return a state without configuration, targets or hosts."""
    return make_state_and_directory()[0]


def make_state_and_directory() -> tuple[ClusterState, TargetDirectory]:
    """Return such a state with its directory of targets."""
    placement, directory = make_placement()
    state = ClusterState(
        directory,
        placement,
        make_peers(placement.location),
        make_crash_detector(),
    )
    return state, directory
