"""Decides whether the configuration of this host may be stale.

A partitioned host must not go on serving with a configuration that operators
may have changed. The configuration counts as fresh in either of two cases:

- The store answered a watch that was sent within the limit, by this host or
  by a peer that reported it.
- A majority of the fleet is alive in this host's view, and a member answered
  a probe that was sent within the limit. Changes are accepted only by a host
  that sees a majority, and any two majorities share a member.

Ages count from the time at which a probe or read was sent, so that a process
that was paused does not take an old answer for a recent one.
"""


class Freshness:
    """Records the latest confirmations that the configuration is current."""

    def __init__(self, limit_s: float) -> None:
        """Start without a confirmation; ``limit_s`` is their maximum age."""
        self._limit_s = limit_s
        self._store_confirmed_at = float('-inf')
        self._peer_answered_at = float('-inf')

    def record_store_read(self, sent_at: float) -> None:
        """Record the answer to a store call that was sent at ``sent_at``."""
        self._store_confirmed_at = max(self._store_confirmed_at, sent_at)

    def record_peer_answer(self, sent_at: float, store_age_s: float) -> None:
        """Record the answer to a probe that was sent at ``sent_at``.

        ``store_age_s`` is the age of the peer's own last confirmation by the
        store, in seconds.
        """
        self._peer_answered_at = max(self._peer_answered_at, sent_at)
        self.record_store_read(sent_at - store_age_s)

    def store_age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation by the store."""
        return now - self._store_confirmed_at

    def is_fresh(self, now: float, alive: int, fleet: int) -> bool:
        """Return whether the configuration is fresh enough to start work.

        ``alive`` and ``fleet`` are numbers of hosts, including this one.
        """
        if self.store_age_s(now) <= self._limit_s:
            return True
        if not has_majority(alive, fleet):
            return False
        if fleet == 1:
            return True
        return now - self._peer_answered_at <= self._limit_s


def has_majority(alive: int, fleet: int) -> bool:
    """Return whether ``alive`` hosts are more than half of ``fleet``."""
    return 2 * alive > fleet
