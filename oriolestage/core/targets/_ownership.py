"""Assigns targets to hosts, and sends messages to the owners.

Each target is owned by one host, chosen by rendezvous hashing among the live
hosts of its data centre. If there are none, the hosts of its region are the
candidates, and then all hosts.
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
    """Computes owners from the membership view and the configuration.

    Results are cached until one of the two changes.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationTracker,
    ) -> None:
        """Create a view with empty caches."""
        self._membership = membership
        self._configuration = configuration
        self._owners: dict[str, str] = {}
        self._by_data_centre: dict[str, list[str]] = {}
        self._by_region: dict[str, list[str]] = {}
        self._names: list[str] = []
        self._cached_for = (-1, -1)

    def owner_of(self, target: Target) -> str:
        """Return the name of the host that owns a target."""
        self._refresh()
        owner = self._owners.get(target.name)
        if owner is None:
            candidates = self._candidates(target.data_centre)
            owner = rendezvous_owner(target.name, candidates)
            self._owners[target.name] = owner
        return owner

    def owner_without_this_host(self, target: Target) -> str:
        """Return the owner that a target has if this host is left out."""
        self._refresh()
        local_name = self._membership.identity.name
        candidates = self._candidates(target.data_centre)
        others = [name for name in candidates if name != local_name]
        return rendezvous_owner(target.name, others)

    def owner_of_key_slice(self, key_slice: int) -> str:
        """Return the name of the host that owns a slice of idempotency keys."""
        self._refresh()
        return rendezvous_owner(f'key-slice-{key_slice}', self._names)

    def candidate_targets(self) -> list[Target]:
        """Return the targets for which this host is a candidate owner."""
        self._refresh()
        local_name = self._membership.identity.name
        found: list[Target] = []
        groups = self._configuration.index.targets_by_data_centre()
        for data_centre, targets in groups.items():
            if local_name in self._candidates(data_centre):
                found.extend(targets)
        return found

    def _candidates(self, data_centre: str) -> list[str]:
        in_data_centre = self._by_data_centre.get(data_centre)
        if in_data_centre:
            return in_data_centre
        region = self._configuration.index.region_of(data_centre)
        return self._by_region.get(region) or self._names

    def _refresh(self) -> None:
        current = (self._membership.version, self._configuration.revision)
        if current != self._cached_for:
            self._cached_for = current
            self._recompute()

    def _recompute(self) -> None:
        members = self._membership.eligible_owners()
        region_of = self._configuration.index.region_of
        self._owners = {}
        self._names = [member.name for member in members]
        self._by_data_centre = _group_names(
            (member.data_centre, member) for member in members
        )
        self._by_region = _group_names(
            (region_of(member.data_centre), member) for member in members
        )


def _group_names(pairs: Iterable[tuple[str, Member]]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = defaultdict(list)
    for key, member in pairs:
        groups[key].append(member.name)
    return groups


class PeerMessenger:
    """Sends data messages to other hosts and to this host itself."""

    def __init__(self, membership: Membership, outbox: Outbox) -> None:
        """Create a messenger without pending messages."""
        self._membership = membership
        self._outbox = outbox
        self._local: deque[DataMessage] = deque()

    @property
    def local_name(self) -> str:
        """Name of this host."""
        return self._membership.identity.name

    def send(self, peer: str, message: DataMessage) -> bool:
        """Send a message to a host by name; return False if it is unknown.

        A message to this host is queued for ``take_local``.
        """
        if peer == self.local_name:
            self._local.append(message)
            return True
        member = self._membership.member(peer)
        if member is None:
            return False
        self._outbox.add(SendData(peer, member.data_address, message))
        return True

    def take_local(self) -> DataMessage | None:
        """Dequeue the next message of this host to itself, or None."""
        if not self._local:
            return None
        return self._local.popleft()
