"""Which host owns a target, and messages to that host.

A target belongs to one live host of its own data centre by rendezvous
hashing, or of its region or the fleet while its data centre has none.
"""

from collections import defaultdict, deque
from collections.abc import Iterable

from oriolestage._rendezvous import rendezvous_owner
from oriolestage.core._effects import Outbox, SendData
from oriolestage.core._messages import DataMessage, Member
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.membership._membership import Membership


class OwnershipView:
    """Computes owners from the membership view and the configuration."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationTracker,
    ) -> None:
        """Start with empty caches."""
        self._membership = membership
        self._configuration = configuration
        self._owners: dict[str, str] = {}
        self._by_centre: dict[str, list[str]] = {}
        self._by_region: dict[str, list[str]] = {}
        self._names: list[str] = []
        self._computed_for = (-1, -1)

    def owner_of(self, target: Target) -> str:
        """Give the name of the host that owns a target."""
        self._refresh()
        owner = self._owners.get(target.name)
        if owner is None:
            candidates = self._candidates(target.data_centre)
            owner = rendezvous_owner(target.name, candidates)
            self._owners[target.name] = owner
        return owner

    def owner_without_me(self, target: Target) -> str:
        """Give the owner that a target has when this host does not count."""
        self._refresh()
        me = self._membership.identity.name
        candidates = self._candidates(target.data_centre)
        others = [name for name in candidates if name != me]
        return rendezvous_owner(target.name, others)

    def keeper_of(self, key_slice: int) -> str:
        """Give the name of the host that keeps a slice of the keys."""
        self._refresh()
        return rendezvous_owner(f'key-slice-{key_slice}', self._names)

    def nearby_targets(self) -> list[Target]:
        """Give the targets that this host is a candidate to own."""
        self._refresh()
        me = self._membership.identity.name
        nearby: list[Target] = []
        groups = self._configuration.index.targets_by_data_centre()
        for data_centre, targets in groups.items():
            if me in self._candidates(data_centre):
                nearby.extend(targets)
        return nearby

    def _candidates(self, data_centre: str) -> list[str]:
        near = self._by_centre.get(data_centre)
        if near:
            return near
        region = self._configuration.index.region_of(data_centre)
        return self._by_region.get(region) or self._names

    def _refresh(self) -> None:
        current = (self._membership.version, self._configuration.revision)
        if current != self._computed_for:
            self._computed_for = current
            self._recompute()

    def _recompute(self) -> None:
        members = self._membership.owning_members()
        region_of = self._configuration.index.region_of
        self._owners = {}
        self._names = [member.name for member in members]
        self._by_centre = _grouped(
            (member.data_centre, member) for member in members
        )
        self._by_region = _grouped(
            (region_of(member.data_centre), member) for member in members
        )


def _grouped(pairs: Iterable[tuple[str, Member]]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = defaultdict(list)
    for key, member in pairs:
        groups[key].append(member.name)
    return groups


class PeerPort:
    """Sends data messages to other hosts, or back to this one."""

    def __init__(self, membership: Membership, outbox: Outbox) -> None:
        """Start without messages."""
        self._membership = membership
        self._outbox = outbox
        self._local: deque[DataMessage] = deque()

    @property
    def me(self) -> str:
        """Name of this host."""
        return self._membership.identity.name

    def send(self, peer: str, message: DataMessage) -> bool:
        """Send a message; tell whether the peer is known at all."""
        if peer == self.me:
            self._local.append(message)
            return True
        member = self._membership.member(peer)
        if member is None:
            return False
        self._outbox.add(SendData(peer, member.data_address, message))
        return True

    def take_local(self) -> DataMessage | None:
        """Give the next message that this host sent to itself."""
        if not self._local:
            return None
        return self._local.popleft()
