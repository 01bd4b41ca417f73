"""Tells whether this host may rely on its configuration.

A host that cannot hear of a change must not serve as if there were none. Its
configuration counts as fresh in either of two cases: the store was read, here
or by a peer that told us, within the limit; or a majority of the fleet is
alive in this host's view and one of them answered a probe within the limit.
Changes are accepted only by a host that sees a majority, so any two such
groups share a member. All times count from the moment a probe or read was
sent, so a paused process never takes an old answer for a new one.
"""


class Freshness:
    """Keeps the latest signs that the configuration is current."""

    def __init__(self, limit_s: float) -> None:
        """Start without any sign."""
        self._limit_s = limit_s
        self._store_seen_at = float('-inf')
        self._peer_seen_at = float('-inf')

    def record_store_read(self, sent_at: float) -> None:
        """Note that a store call sent at ``sent_at`` was answered."""
        self._store_seen_at = max(self._store_seen_at, sent_at)

    def record_peer_answer(self, sent_at: float, store_age_s: float) -> None:
        """Note an answered probe and the age of the peer's store contact."""
        self._peer_seen_at = max(self._peer_seen_at, sent_at)
        self.record_store_read(sent_at - store_age_s)

    def store_age_s(self, now: float) -> float:
        """Give the time since the store was known to be reachable."""
        return now - self._store_seen_at

    def is_fresh(self, now: float, alive: int, fleet: int) -> bool:
        """Tell whether new work may start.

        ``alive`` and ``fleet`` count hosts, this one included.
        """
        if self.store_age_s(now) <= self._limit_s:
            return True
        if not has_majority(alive, fleet):
            return False
        if fleet == 1:
            return True
        return now - self._peer_seen_at <= self._limit_s


def has_majority(alive: int, fleet: int) -> bool:
    """Tell whether ``alive`` hosts are more than half of ``fleet``."""
    return 2 * alive > fleet
