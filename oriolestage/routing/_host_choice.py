"""Decides through which host an attempt is sent.

Shards in another region go through a host there, and attempts at targets that
are not reached go through any host that may reach them.
"""

from oriolestage.routing._delays import PRIOR_OTHER_REGION_S
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._parts import Part
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import ChosenTarget


class HostChooser:
    """Chooses the hosts that send the attempts of one request."""

    def __init__(
        self, placement: Placement, peers: PeerDirectory, *, gathers: bool
    ) -> None:
        """Create a chooser among ``peers``.

        ``gathers`` is True for a request to the shards of a group.
        """
        self._placement = placement
        self._peers = peers
        self._gathers = gathers

    def remote_region(self, placed: ChosenTarget) -> str:
        """Return the region of a target if another host is asked there.

        Return an empty string for a target that is reached in this region,
        and for one of a single service, to which attempts are sent directly.
        """
        region = self._placement.region_of(placed.target)
        if placed.relayed:
            return region
        if not self._gathers or region == self._placement.location.region:
            return ''
        return region

    def choose(
        self, part: Part, placed: ChosenTarget, now: float
    ) -> HostRecord | None:
        """Return the host that sends an attempt, None for this one."""
        region = self.remote_region(placed)
        if not region:
            return None
        if not placed.relayed:
            return self._peers.choose(region, (part.service,), now)
        return self._peers.choose_relay(
            region, part.request.requirements, now, gathers=self._gathers
        )

    def round_trip_s(self, peer: HostRecord, region: str) -> float:
        """Return the round trip to a region through a host, in seconds."""
        observations = self._placement.observations
        peer_region = self._placement.location.region_of(peer.data_centre)
        round_trip_s = observations.round_trip_to_region_s(peer_region)
        if peer_region != region:
            round_trip_s += PRIOR_OTHER_REGION_S
        return round_trip_s
