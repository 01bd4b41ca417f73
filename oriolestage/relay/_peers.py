"""Which other entry hosts gather shards in their region for this one.

Answers two load patterns. Each query needs a third of its shards from
another region: one request to a host there replaces an exchange across
regions for each shard. And some hosts are slow or cut off: a host that did
not answer in time is left alone until its stream is heard again, so that
queries are not spent on trying it, and the quickest host is asked first. A
host that lost the store, or did not read it yet, does not know all targets:
it is not asked while it is behind this one.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator

from oriolestage._rendezvous import rendezvous_rank
from oriolestage.relay._state_changes import Freshness
from oriolestage.relay._facts import HostRecord
from oriolestage.relay._placement_types import HostLocation

#: Weight of the newest reply in a host's overhead.
OVERHEAD_WEIGHT = 0.2
#: Overhead assumed of a host before its first reply, in seconds.
PRIOR_OVERHEAD_S = 0.006
#: Overhead that one request on its way stands for, in seconds.
OUTSTANDING_COST_S = 0.003
#: Time for which a stream counts as heard, in seconds; quiet streams are
#: pinged more often than that.
STREAM_FRESH_S = 1.2
#: Part by which an overhead returns to the prior with each look at the
#: streams, so that a host that was slow is asked again.
OVERHEAD_DECAY = 0.1


#: Hosts of each other region that one host keeps a stream to. Streams are
#: pinged, so their number must not grow with that of the hosts; rendezvous
#: hashing spreads them over the hosts of a region.
PEERS_PER_REGION = 3
#: Streams to one region while some of its hosts are not heard.
MAX_PEERS_PER_REGION = 6
#: A host is behind if it did not hear the store for this much longer than
#: this one, in seconds, and lacks a revision. Watches are answered or end
#: within that time.
BEHIND_S = 3.5


@dataclasses.dataclass(frozen=True, slots=True)
class LinkState:
    """What was last heard on the stream to a host."""

    #: Steady time at which anything was heard.
    heard_at: float
    #: How new its knowledge is; None before it said so.
    freshness: Freshness | None


class PeerState(enum.Enum):
    """Whether another host can gather for this one."""

    HEARD = 'heard'
    SILENT = 'silent'
    BEHIND = 'behind'


@dataclasses.dataclass(slots=True)
class _Peer:
    record: HostRecord
    region: str
    outstanding: int = 0
    #: Delay of replies beyond the way and the work, in seconds.
    overhead_s: float = PRIOR_OVERHEAD_S
    #: False while the stream to the host is silent.
    heard: bool = True
    #: Steady time at which it was found silent.
    silent_at: float = float('-inf')
    #: True while it lacks revisions of the store that this host knows.
    behind: bool = False

    @property
    def state(self) -> PeerState:
        """Whether the host can be asked."""
        if not self.heard:
            return PeerState.SILENT
        return PeerState.BEHIND if self.behind else PeerState.HEARD

    @property
    def cost_s(self) -> float:
        """Delay to expect of one more request beyond way and work."""
        return self.overhead_s + self.outstanding * OUTSTANDING_COST_S


class PeerDirectory:
    """The other hosts, as this one experiences them."""

    def __init__(self, location: HostLocation) -> None:
        """Start without other hosts."""
        self._place = location
        self._peers: dict[str, _Peer] = {}
        #: Peers of each other region, the preferred ones first.
        self._ranked: dict[str, list[_Peer]] = {}

    def replace_hosts(self, records: Iterable[HostRecord]) -> None:
        """Set the registered hosts; what is known of them is kept."""
        kept: dict[str, _Peer] = {}
        for record in records:
            if record.name == self._place.name:
                continue
            known = self._peers.get(record.name)
            if known is None or known.record != record:
                region = self._place.regions.get(record.data_centre, '')
                known = _Peer(record, region)
            kept[record.name] = known
        self._peers = kept
        self._ranked = {}
        for name in rendezvous_rank(self._place.name, kept):
            peer = kept[name]
            if peer.region != self._place.region:
                self._ranked.setdefault(peer.region, []).append(peer)

    def remote_addresses(self) -> set[str]:
        """Give the addresses of the hosts of other regions to talk to."""
        return {
            peer.record.peer_address
            for region in self._ranked
            for peer in self._linked(region)
        }

    def choose(self, region: str) -> HostRecord | None:
        """Choose a host of a region; None if none answers."""
        best: _Peer | None = None
        for peer in self._linked(region):
            if peer.state != PeerState.HEARD:
                continue
            if best is None or peer.cost_s < best.cost_s:
                best = peer
        return None if best is None else best.record

    def record_sent(self, name: str) -> None:
        """Note a request to a host."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding += 1

    def record_reply(self, name: str, overhead_s: float) -> None:
        """Note a first reply and its delay beyond the way and the work."""
        peer = self._peers.get(name)
        if peer is not None:
            sample = max(0, overhead_s)
            peer.overhead_s += OVERHEAD_WEIGHT * (sample - peer.overhead_s)

    def record_ended(self, name: str) -> None:
        """Note that nothing more of a request is on its way."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)

    def record_silent(self, name: str, now: float) -> None:
        """Note that a host did not answer in time."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.heard = False
            peer.silent_at = now

    def record_link_state(
        self,
        address: str,
        link: LinkState,
        own: Freshness,
        now: float,
    ) -> PeerState | None:
        """Note what was heard on a stream; give the state if it changed."""
        for peer in self._peers.values():
            if peer.record.peer_address != address:
                continue
            peer.overhead_s += OVERHEAD_DECAY * (
                PRIOR_OVERHEAD_S - peer.overhead_s
            )
            before = peer.state
            fresh = now - link.heard_at < STREAM_FRESH_S
            peer.heard = fresh and link.heard_at > peer.silent_at
            peer.behind = _is_behind(link.freshness, own)
            return None if peer.state == before else peer.state
        return None

    def _linked(self, region: str) -> Iterator[_Peer]:
        """Give the hosts of a region that this one keeps a stream to."""
        heard = 0
        for peer in self._ranked.get(region, [])[:MAX_PEERS_PER_REGION]:
            yield peer
            heard += peer.state == PeerState.HEARD
            if heard == PEERS_PER_REGION:
                return


def _is_behind(other: Freshness | None, own: Freshness) -> bool:
    if other is None or other.revision >= own.revision:
        return False
    # A host that could not read the store since its start knows no target.
    return not other.revision or other.age_s > own.age_s + BEHIND_S
