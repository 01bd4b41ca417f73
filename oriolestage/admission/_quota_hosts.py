"""Which hosts grant the tokens of an account.

The owner grants within the limit. Two deputies grant a part of the room above
it to hosts that do not reach the owner. All three are chosen by rendezvous
hashing, the second deputy from another region if there is one.
"""

from collections.abc import Mapping

from oriolestage._rendezvous import rendezvous_position, rendezvous_rank

#: Number of deputies of an account.
DEPUTIES = 2


class QuotaHosts:
    """The hosts that share the quotas at one time. Immutable."""

    def __init__(self, regions: Mapping[str, str]) -> None:
        """Create it from the region of each host by its name."""
        self._regions = dict(regions)
        self._grantors: dict[str, tuple[str, ...]] = {}

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._regions)

    def __contains__(self, name: str) -> bool:
        """Return whether a host is among them."""
        return name in self._regions

    def has_regions(self, regions: Mapping[str, str]) -> bool:
        """Return whether these are the same hosts."""
        return self._regions == regions

    def grantors(self, account: str) -> tuple[str, ...]:
        """Return the owner of an account and its deputies, in order."""
        known = self._grantors.get(account)
        if known is None:
            known = self._rank(account)
            self._grantors[account] = known
        return known

    def knows_grantors(self, account: str) -> bool:
        """Return whether the grantors need not be computed anew."""
        return account in self._grantors

    def fixed_share(self, account: str, name: str, total: int) -> int:
        """Return the part of a host in ``total`` requests."""
        if name not in self._regions:
            return 0
        share, rest = divmod(total, len(self._regions))
        if rest and rendezvous_position(account, name, self._regions) < rest:
            share += 1
        return share

    def _rank(self, account: str) -> tuple[str, ...]:
        ranked = rendezvous_rank(account, self._regions)
        # The first deputy becomes the owner if the owner is lost.
        chosen = ranked[:DEPUTIES]
        regions = {self._regions[name] for name in chosen}
        others = [
            name
            for name in ranked[DEPUTIES:]
            if self._regions[name] not in regions
        ]
        last = others or ranked[DEPUTIES:]
        return (*chosen, *last[:1])
