"""Which other entry hosts gather shards in their region for this one.

Answers the load pattern in which each query needs a third of its shards from
another region: one request to a host there replaces an exchange across
regions for each shard. A host that does not answer in time is left alone,
and attempts go to the targets directly until it answers again.
"""

import dataclasses
from collections.abc import Iterable

from oriolestage.relay._facts import HostRecord
from oriolestage.relay._placement import HostPlace

#: First and longest time for which a silent host is left alone, in seconds.
BACKOFF_S = 0.5
BACKOFF_LIMIT_S = 4.0


@dataclasses.dataclass(slots=True)
class _Peer:
    record: HostRecord
    region: str
    outstanding: int = 0
    turns: int = 0
    down_until: float = float('-inf')
    backoff_s: float = BACKOFF_S


class PeerBook:
    """The other hosts, as this one experiences them."""

    def __init__(self, place: HostPlace) -> None:
        """Start without other hosts."""
        self._place = place
        self._peers: dict[str, _Peer] = {}

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

    def far_addresses(self) -> set[str]:
        """Give the addresses of the hosts of other regions."""
        return {
            peer.record.peer_address
            for peer in self._peers.values()
            if peer.region != self._place.region
        }

    def choose(self, region: str, now: float) -> HostRecord | None:
        """Choose a host of a region; None if none answers."""
        best: _Peer | None = None
        for peer in self._peers.values():
            if peer.region != region or now < peer.down_until:
                continue
            if peer.backoff_s > BACKOFF_S and peer.outstanding:
                continue
            rank = (peer.outstanding, peer.turns)
            if best is None or rank < (best.outstanding, best.turns):
                best = peer
        return None if best is None else best.record

    def note_sent(self, name: str) -> None:
        """Note a request to a host."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding += 1
            peer.turns += 1

    def note_answer(self, name: str) -> None:
        """Note that a host answered."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)
            peer.backoff_s = BACKOFF_S
            peer.down_until = float('-inf')

    def note_ended(self, name: str) -> None:
        """Note that a request was given up for another reason."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)

    def note_silent(self, name: str, now: float) -> None:
        """Note that a host did not answer in time."""
        peer = self._peers.get(name)
        if peer is None or now < peer.down_until:
            return
        peer.down_until = now + peer.backoff_s
        peer.backoff_s = min(BACKOFF_LIMIT_S, peer.backoff_s * 2)
