"""Division of a target's rate limit among the hosts, without communication.

The limit bounds the requests of all hosts together, and hosts cannot ask one
another for each request. Requests to a target come from hosts of its region,
since hosts elsewhere send shards in batches to these. So the hosts of the
region share the limit evenly. A host without a share may send a request now
and then, by which it also learns that the limit has changed or ended.
"""

import dataclasses
from collections.abc import Mapping

from oriolestage._rendezvous import rendezvous_rank

#: Time over which the platform counts the requests to a target, in seconds.
WINDOW_S = 4.0
#: Divisor of a host's requests in a window that gives its largest burst: the
#: requests of one second.
BURST_DIVISOR = 4
#: Fraction of the limit that hosts without a share have together. A target
#: tolerates half of its limit beyond it.
UNSHARED_FRACTION = 0.25
#: Longest time between the requests of a host without a share, in seconds.
MAX_INTERVAL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostRank:
    """Position of this host among the hosts that share a target."""

    #: Rank among the hosts of the target's region; None for another region.
    rank: int | None
    #: Number of hosts in the target's region.
    sharing: int
    #: Rank among the hosts of the other regions; 0 for a sharing host.
    outside_rank: int
    #: Number of all hosts.
    hosts: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateShare:
    """What one host may send to a target, as a token bucket."""

    #: Tokens that the bucket holds.
    burst: float
    #: Time in which one token is added, in seconds.
    interval_s: float
    #: Tokens in the bucket when the host learns of the limit. Different
    #: hosts have different ones, so that they do not send at the same time.
    initial_tokens: float = 0


class RateLimiter:
    """Limits the requests of this host to one target with a token bucket."""

    def __init__(self, share: RateShare, now: float) -> None:
        """Start with the initial tokens of ``share``."""
        self._share = share
        self._tokens = share.initial_tokens
        self._refilled_at = now

    def replace_share(self, share: RateShare, now: float) -> None:
        """Change the share and keep the tokens up to the new burst."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent, 0 if it may now."""
        self._refill(now)
        return max(0, (1 - self._tokens) * self._share.interval_s)

    def take(self, now: float) -> None:
        """Take the token of a request, also if there is none."""
        self._refill(now)
        self._tokens -= 1

    def put_back(self, now: float) -> None:
        """Return the token of a request that was not sent after all."""
        self._refill(now)
        self._tokens = min(self._share.burst, self._tokens + 1)

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) / self._share.interval_s
        self._tokens = min(self._share.burst, self._tokens + added)
        self._refilled_at = now


def rank_host(
    identity: str,
    host: str,
    regions: Mapping[str, str],
    target_region: str,
) -> HostRank:
    """Return the rank of ``host`` for a target by rendezvous hashing.

    ``regions`` has the region of each host. All hosts share the target if
    none is in its region.
    """
    sharing = [
        name for name, region in regions.items() if region == target_region
    ] or list(regions)
    outside = [name for name in regions if name not in set(sharing)]
    rank: int | None = None
    outside_rank = 0
    if host in sharing:
        rank = rendezvous_rank(identity, sharing).index(host)
    else:
        outside_rank = rendezvous_rank(identity, outside).index(host)
    return HostRank(rank, len(sharing), outside_rank, len(regions))


def share_of(limit: float, host: HostRank) -> RateShare:
    """Return the share of a host in a limit in requests per second.

    The bucket is such that the host's requests in a window do not exceed its
    number, however they are distributed in time.
    """
    total = int(limit * WINDOW_S)
    if host.rank is None:
        without = host.hosts - min(host.sharing, total)
        before = host.outside_rank + max(0, host.sharing - total)
        return _share_without_requests(limit, before, without)
    requests, rest = divmod(total, host.sharing)
    requests += host.rank < rest
    if requests:
        burst = max(1, requests // BURST_DIVISOR)
        return RateShare(burst, WINDOW_S / (requests - burst + 1))
    without = host.hosts - total
    return _share_without_requests(limit, host.rank - total, without)


def _share_without_requests(
    limit: float, position: int, without: int
) -> RateShare:
    """Return the share of one of ``without`` hosts that have no requests."""
    rate = UNSHARED_FRACTION * limit / without
    interval_s = min(MAX_INTERVAL_S, 1 / rate) if rate else MAX_INTERVAL_S
    return RateShare(1, interval_s, initial_tokens=position / without)
