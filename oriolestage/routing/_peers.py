"""Chooses the entry hosts that gather shards or send attempts for this one.

About a third of a query's shards come from another region. One batch request
to a host there replaces a round trip between regions for each shard.

The host with the least expected overhead is chosen. A host that did not
answer in time is skipped until data is received on its stream again, so that
no query is spent on probing it. A host that has lost the store, or has not
read it yet, does not know all targets; it is skipped while its copy of the
store is behind that of this host.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from oriolestage._rendezvous import rendezvous_rank
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._placement_types import (
    HostLocation,
    TargetRequirements,
)
from oriolestage.routing._state_changes import Freshness

#: Weight of the newest reply in the moving average of a host's overhead.
OVERHEAD_WEIGHT = 0.2
#: Overhead that is assumed before a host's first reply, in seconds.
PRIOR_OVERHEAD_S = 0.006
#: Expected extra delay per outstanding request of a host, in seconds.
OUTSTANDING_COST_S = 0.003
#: Time without data after which a stream counts as silent, in seconds. Idle
#: streams are pinged more often than that.
STREAM_TIMEOUT_S = 1.2
#: Fraction by which an overhead decays to the prior with each check of the
#: streams, so that a host that was slow is chosen again.
OVERHEAD_DECAY = 0.1

#: Hosts of each other region to which this host keeps a stream. Streams are
#: pinged, so their number must not grow with the number of hosts; rendezvous
#: hashing distributes them over the hosts of a region.
PEERS_PER_REGION = 3
#: The same for this host's own region, whose hosts are used only while this
#: host does not reach targets itself.
PEERS_IN_OWN_REGION = 1
#: Streams to one region while some of its hosts are silent or behind.
MAX_PEERS_PER_REGION = 6
#: A host is behind if it lacks a revision and its copy of the store is older
#: than that of this host by more than this, in seconds. A watch of the store
#: is answered or ends within that time.
BEHIND_S = 3.5
#: Time for which a host is not asked again for a service whose targets it did
#: not reach, in seconds: the longest back-off of a target.
UNREACHABLE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkState:
    """State of the stream to another host."""

    #: Monotonic time at which data was last received; negative infinity
    #: without a connection.
    heard_at: float
    #: How recent the host's copy of the store is; None before it has reported.
    freshness: Freshness | None
    #: Whether the host reaches no target; None if it has not told.
    cut_off: bool | None = None


class PeerState(enum.Enum):
    """Whether another host can gather shards for this one.

    A host is ``SILENT`` if it did not answer in time or nothing is received
    on its stream, ``BEHIND`` if its copy of the store is too old, and
    ``CUT_OFF`` if it reaches no target.
    """

    HEARD = 'heard'
    SILENT = 'silent'
    BEHIND = 'behind'
    CUT_OFF = 'cut_off'


@dataclasses.dataclass(slots=True)
class _Peer:
    record: HostRecord
    region: str
    outstanding: int = 0
    #: Average delay of replies beyond the round trip and the work, in
    #: seconds.
    overhead_s: float = PRIOR_OVERHEAD_S
    #: False while the host does not answer or its stream is silent.
    heard: bool = True
    #: Monotonic time at which it last failed to answer in time.
    silent_at: float = float('-inf')
    #: True while its copy of the store is too old.
    behind: bool = False
    #: Whether it reaches no target; None if it has not told.
    cut_off: bool | None = None
    #: Monotonic time until which it is not asked for a service whose targets
    #: it did not reach.
    unreachable_until: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def state(self) -> PeerState:
        """Whether the host can gather shards."""
        if not self.heard:
            return PeerState.SILENT
        if self.cut_off:
            return PeerState.CUT_OFF
        return PeerState.BEHIND if self.behind else PeerState.HEARD

    @property
    def cost_s(self) -> float:
        """Expected delay of one more request beyond round trip and work."""
        return self.overhead_s + self.outstanding * OUTSTANDING_COST_S

    def can_serve(self, services: Iterable[str], now: float) -> bool:
        """Return whether it may be asked for the shards of some services."""
        if self.state != PeerState.HEARD:
            return False
        if not self.unreachable_until:
            return True
        return all(
            self.unreachable_until.get(service, now) <= now
            for service in services
        )


class PeerDirectory:
    """The other hosts with their state and overhead, as observed here."""

    def __init__(self, location: HostLocation) -> None:
        """Start without other hosts."""
        self._location = location
        self._peers: dict[str, _Peer] = {}
        #: Peers of each region in the order of preference.
        self._ranked: dict[str, list[_Peer]] = {}

    def replace_hosts(self, records: Iterable[HostRecord]) -> None:
        """Replace the registered hosts; keep the state of unchanged ones."""
        kept: dict[str, _Peer] = {}
        for record in records:
            if record.name == self._location.name:
                continue
            known = self._peers.get(record.name)
            if known is None or known.record != record:
                region = self._location.regions.get(record.data_centre, '')
                known = _Peer(record, region)
            kept[record.name] = known
        self._peers = kept
        self._ranked = {}
        for name in rendezvous_rank(self._location.name, kept):
            peer = kept[name]
            self._ranked.setdefault(peer.region, []).append(peer)

    def remote_addresses(self) -> set[str]:
        """Return the addresses of other regions' hosts to keep streams to."""
        return {
            peer.record.peer_address
            for region in self._ranked
            if region != self._location.region
            for peer in self._connected(region)
        }

    def own_region_addresses(self) -> set[str]:
        """Return the addresses of hosts in this region to keep streams to.

        They send attempts to targets that this host does not reach.
        """
        return {
            peer.record.peer_address
            for peer in self._connected(self._location.region)
        }

    def choose_relay(
        self,
        target_region: str,
        requirements: TargetRequirements,
        now: float,
        *,
        gathers: bool,
    ) -> HostRecord | None:
        """Return the host that sends attempts this host cannot send.

        Attempts at shards are sent in batches. Others (``gathers`` is False)
        need a host that has told whether it reaches targets; older ones know
        batches only.

        Hosts in the region of the target come first, then those of this
        region. The request is given to no host outside of the regions that
        may serve it, except in this one. None if no host is left.
        """
        order = (target_region, self._location.region, *self._ranked)
        for region in dict.fromkeys(order):
            allowed = not requirements.regions or (
                region in requirements.regions
                or region == self._location.region
            )
            if not allowed:
                continue
            chosen = self.choose(
                region,
                (requirements.service,),
                now,
                told_only=not gathers,
            )
            if chosen is not None:
                return chosen
        return None

    def choose(
        self,
        region: str,
        services: Iterable[str] = (),
        now: float = 0,
        *,
        told_only: bool = False,
    ) -> HostRecord | None:
        """Return the host of a region with the least expected overhead.

        Hosts that are silent, behind or cut off are skipped, and those that
        lately did not reach the targets of one of ``services``. With
        ``told_only``, so are hosts that have not told that they reach
        targets. None if no host is left.
        """
        best: _Peer | None = None
        for peer in self._connected(region):
            if told_only and peer.cut_off is None:
                continue
            if not peer.can_serve(services, now):
                continue
            if best is None or peer.cost_s < best.cost_s:
                best = peer
        return None if best is None else best.record

    def record_sent(self, name: str) -> None:
        """Record that a request was sent to a host."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding += 1

    def record_reply(self, name: str, overhead_s: float) -> None:
        """Record the first reply to a request.

        ``overhead_s`` is its delay beyond the round trip and the work.
        """
        peer = self._peers.get(name)
        if peer is not None:
            sample = max(0, overhead_s)
            peer.overhead_s += OVERHEAD_WEIGHT * (sample - peer.overhead_s)

    def record_ended(self, name: str) -> None:
        """Record that a request has ended and no reply is outstanding."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)

    def record_silent(self, name: str, now: float) -> None:
        """Record that a host did not answer in time."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.heard = False
            peer.silent_at = now

    def record_unreachable(
        self, name: str, services: Iterable[str], now: float
    ) -> None:
        """Record that a host does not reach the targets of some services."""
        peer = self._peers.get(name)
        if peer is None:
            return
        for service in services:
            peer.unreachable_until[service] = now + UNREACHABLE_S

    def record_link_state(
        self,
        address: str,
        link: LinkState,
        own: Freshness,
        now: float,
    ) -> PeerState | None:
        """Record the state of the stream to an address.

        ``own`` tells how recent this host's copy of the store is. Return the
        new state of the host, or None if it has not changed.
        """
        for peer in self._peers.values():
            if peer.record.peer_address != address:
                continue
            peer.overhead_s += OVERHEAD_DECAY * (
                PRIOR_OVERHEAD_S - peer.overhead_s
            )
            before = peer.state
            fresh = now - link.heard_at < STREAM_TIMEOUT_S
            peer.heard = fresh and link.heard_at > peer.silent_at
            peer.behind = _is_behind(link.freshness, own)
            peer.cut_off = link.cut_off
            return None if peer.state == before else peer.state
        return None

    def _connected(self, region: str) -> Iterator[_Peer]:
        """Yield the hosts of a region to which this one keeps a stream.

        For each one that is silent or behind, the next in order of preference
        is added, up to `MAX_PEERS_PER_REGION` in all.
        """
        enough = PEERS_PER_REGION
        if region == self._location.region:
            enough = PEERS_IN_OWN_REGION
        heard = 0
        for peer in self._ranked.get(region, [])[:MAX_PEERS_PER_REGION]:
            yield peer
            heard += peer.state == PeerState.HEARD
            if heard == enough:
                return


def _is_behind(other: Freshness | None, own: Freshness) -> bool:
    if other is None or not _lacks_changes(other, own):
        return False
    # Revision 0: the host has not read the store and knows no target.
    return not other.revision or other.age_s > own.age_s + BEHIND_S


def _lacks_changes(other: Freshness, own: Freshness) -> bool:
    if other.era is None or own.era is None or other.era == own.era:
        return other.revision < own.revision
    return other.era < own.era or not other.revision
