"""Division of a limit among all hosts, without communication.

Handles limits that are smaller than the number of hosts: rounding down would
leave every host without a share. The remainder of the division goes to the
hosts that rank first by rendezvous hashing, so all hosts agree on it, and each
key has other hosts.
"""

from oriolestage._rendezvous import rendezvous_position


class EvenShare:
    """The share of one host in the limits of one service or target."""

    def __init__(self, key: str, host: str) -> None:
        """Create the share of ``host`` in what ``key`` names."""
        self._key = key
        self._host = host
        #: Hosts and position of the latest ranking.
        self._ranked_hosts: tuple[str, ...] = ()
        self._position = 0

    def of_total(self, total: int, hosts: tuple[str, ...]) -> int:
        """Return this host's part of ``total``.

        The parts of all ``hosts`` add up to ``total``.
        """
        share, rest = divmod(total, max(1, len(hosts)))
        if rest and self._rank(hosts) < rest:
            share += 1
        return share

    def _rank(self, hosts: tuple[str, ...]) -> int:
        """Return this host's rank, computed anew only for other hosts."""
        if hosts is not self._ranked_hosts:
            self._position = rendezvous_position(self._key, self._host, hosts)
            self._ranked_hosts = hosts
        return self._position
