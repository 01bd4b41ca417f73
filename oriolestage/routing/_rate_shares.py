"""Division of a target's rate limit among the hosts, without communication.

The limit bounds the requests of all hosts together, and hosts cannot ask one
another for each request. Requests to a target come from hosts of its region,
since hosts elsewhere send shards in batches to these. So the hosts of the
region share the limit evenly.

A host without a share has a turn now and then, by which it also learns that
the limit has changed or ended. A turn that is not used lapses, so that hosts
that were idle do not all send at the same moment.
"""

import dataclasses
import math
from collections.abc import Collection, Mapping

from oriolestage._rendezvous import rendezvous_position

#: Time over which the platform counts the requests to a target, in seconds.
WINDOW_S = 4.0
#: Divisor of a host's requests in a window that gives its largest burst: the
#: requests of one second.
BURST_DIVISOR = 4
#: Fraction of the limit that hosts without a share have together. A target
#: tolerates half of its limit and a few requests beyond it; the rest is for
#: turns that coincide, since hosts learn of the limit at different moments.
UNSHARED_FRACTION = 0.125
#: Least rate of the hosts without a share together, in requests per second.
MIN_UNSHARED_RATE = 0.125
#: Time for which a host without a share may use its turn, in seconds.
TURN_S = 2.0
#: Longest time between the requests of the only host with a share, in seconds.
MAX_INTERVAL_S = 60.0
#: Limit that no host reaches, in requests per second.
LARGEST_LIMIT = 1e9


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
    #: Time after which an unused token is lost, in seconds.
    kept_s: float = math.inf

    @property
    def lapses(self) -> bool:
        """Whether an unused token is lost."""
        return self.kept_s < math.inf


class RateLimiter:
    """Limits the requests of this host to one target with a token bucket."""

    def __init__(self, share: RateShare, now: float) -> None:
        """Start with the initial tokens of ``share``."""
        self._share = share
        self._tokens = share.initial_tokens
        self._refilled_at = now

    def replace_share(self, share: RateShare, now: float) -> None:
        """Change the share and keep the tokens up to the new burst.

        Begin anew if only one of the shares lapses: the host that had the
        share until now may have used it in this window.
        """
        self._refill(now)
        before = self._share
        self._share = share
        if share.lapses != before.lapses:
            self._tokens = share.initial_tokens
        elif not share.lapses:
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
        self._tokens += 1
        self._refill(now)

    def _refill(self, now: float) -> None:
        share = self._share
        self._tokens += (now - self._refilled_at) / share.interval_s
        self._refilled_at = now
        if not share.lapses:
            self._tokens = min(share.burst, self._tokens)
            return
        lost = math.floor(self._tokens - share.kept_s / share.interval_s)
        self._tokens -= max(0, lost)


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
    sharing: Collection[str] = {
        name for name, region in regions.items() if region == target_region
    }
    if not sharing:
        sharing = regions.keys()
    rank: int | None = None
    outside_rank = 0
    if host in sharing:
        rank = rendezvous_position(identity, host, sharing)
    else:
        outside = regions.keys() - sharing
        outside_rank = rendezvous_position(identity, host, outside)
    return HostRank(rank, len(sharing), outside_rank, len(regions))


def share_of(limit: float, host: HostRank) -> RateShare:
    """Return the share of a host in a limit in requests per second.

    The bucket is such that the host's requests in a window do not exceed its
    number, however they are distributed in time.
    """
    limit = min(limit, LARGEST_LIMIT)
    total = max(1, int(limit * WINDOW_S))
    if host.rank is None:
        without = host.hosts - min(host.sharing, total)
        before = host.outside_rank + max(0, host.sharing - total)
        return _turns_of(limit, before, without)
    requests, rest = divmod(total, host.sharing)
    requests += host.rank < rest
    if requests:
        burst = max(1, requests // BURST_DIVISOR)
        interval_s = WINDOW_S / (requests - burst + 1)
        if limit * WINDOW_S < 1:
            interval_s = 1 / max(limit, 1 / MAX_INTERVAL_S)
        return RateShare(burst, interval_s)
    return _turns_of(limit, host.rank - total, host.hosts - total)


def _turns_of(limit: float, position: int, without: int) -> RateShare:
    """Return the turns of one of ``without`` hosts that have no requests."""
    rate = max(MIN_UNSHARED_RATE, UNSHARED_FRACTION * limit)
    interval_s = without / rate
    return RateShare(
        burst=1,
        interval_s=interval_s,
        initial_tokens=position / without,
        kept_s=min(TURN_S, interval_s),
    )
