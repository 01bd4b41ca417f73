"""Rate limits that targets state, and this host's requests to each target.

A target in need states in its responses how many requests per second it takes
from all hosts together, for as long as it needs to. This answers the load
pattern in which a target is overloaded by the sum of hosts of which each sends
little.
"""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping

from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._rate_shares import (
    WINDOW_S,
    HostRank,
    RateLimiter,
    rank_host,
    share_of,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._stated_limits import UNLIMITED, StatedLimits
from oriolestage.routing._targets import KnownTarget

#: Time for which the limit of a process that is no longer registered is kept,
#: in seconds. It may have lost its lease and register again.
LIMIT_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class _RequestCount:
    """Requests to one target in the present window and the one before."""

    window_started_at: float
    requests: int = 0
    previous_requests: int = 0


@dataclasses.dataclass(slots=True)
class _TargetRate:
    """What is known of the rate of requests to one target process."""

    sent: _RequestCount
    #: Requests per second that it takes from all hosts by its latest
    #: response; None for no limit.
    limit: float | None = None
    #: The limits that may hold now; None if it has stated none of late.
    stated: StatedLimits | None = None
    #: Limit that the limiter keeps; `UNLIMITED` without one.
    kept: float = UNLIMITED
    #: This host's rank among the hosts that share it; None if not known.
    rank: HostRank | None = None
    #: Monotonic time of the latest response that states the limit.
    stated_at: float = 0
    #: This host's part of the limit that it keeps; None without one.
    limiter: RateLimiter | None = None


class TargetRates:
    """Stated rate limits and own requests, by target process."""

    def __init__(
        self,
        location: HostLocation,
        on_change: Callable[[StateChange], None],
    ) -> None:
        """Start without targets; this host is the only one.

        ``on_change`` is called with the log events of rate limits.
        """
        self._location = location
        self._on_change = on_change
        self._rates: dict[str, _TargetRate] = {}
        #: Monotonic time of the latest request or change of a limit.
        self._latest_at: float = 0
        self._host_regions: Mapping[str, str] = {location.name: location.region}

    @property
    def limited_count(self) -> int:
        """Number of target processes that stated a rate limit last."""
        return sum(1 for rate in self._rates.values() if rate.limit is not None)

    def limit_of(self, target: KnownTarget) -> float | None:
        """Return the requests per second that a target takes, if limited."""
        rate = self._rates.get(target.process)
        return None if rate is None else rate.limit

    def wait_s(self, target: KnownTarget, now: float) -> float:
        """Return the time until a target may get a request of this host."""
        rate = self._rates.get(target.process)
        if rate is None:
            return 0
        limiter = self._limiter(target, rate, now)
        return 0 if limiter is None else limiter.wait_s(now)

    def limit_age_s(self, target: KnownTarget, now: float) -> float:
        """Return the time since a target stated its limit last, in seconds.

        0 if it has not stated one.
        """
        rate = self._rates.get(target.process)
        return 0 if rate is None else now - rate.stated_at

    def replace_hosts(
        self,
        regions: Mapping[str, str],
        targets: Iterable[KnownTarget],
        now: float,
    ) -> None:
        """Replace the hosts that share the limits, with their regions.

        ``targets`` are the known targets, whose limits are divided anew.
        """
        self._host_regions = regions
        for target in targets:
            rate = self._rates.get(target.process)
            if rate is None:
                continue
            rate.rank = None
            if rate.limiter is not None:
                self._divide(target, rate, rate.limiter, now)

    def record_limit(
        self,
        target: KnownTarget,
        limit: float | None,
        now: float,
    ) -> None:
        """Record the rate limit in a response, or that it states none."""
        rate = self._rates.get(target.process)
        previous = None if rate is None else rate.limit
        if rate is not None:
            rate.stated_at = now
        if limit == previous:
            return
        self._latest_at = now
        rate = self._rate(target, now)
        rate.stated_at = now
        rate.limit = limit
        kept = UNLIMITED if limit is None else limit
        if rate.stated is None:
            rate.stated = StatedLimits(kept)
        else:
            rate.stated.record(kept, now)
        self._limiter(target, rate, now)
        if limit is None:
            self._report('target_rate_limit_ended', target, rate)
            return
        share = share_of(rate.kept, self._rank(target, rate))
        self._report(
            'target_rate_limited',
            target,
            rate,
            previous='none' if previous is None else previous,
            kept=rate.kept,
            hosts=len(self._host_regions),
            burst=share.burst,
            interval_s=share.interval_s,
        )

    def record_sent(self, target: KnownTarget, now: float) -> None:
        """Record a request to a target; log its use once in each window."""
        self._latest_at = now
        rate = self._rate(target, now)
        if now - rate.sent.window_started_at >= WINDOW_S:
            self._start_window(rate, now)
            if rate.limit is not None:
                self._report('target_rate_use', target, rate)
        rate.sent.requests += 1
        limiter = self._limiter(target, rate, now)
        if limiter is not None:
            limiter.take(now)

    def record_withdrawn(self, target: KnownTarget, now: float) -> None:
        """Give back the token of a request that was not sent after all."""
        rate = self._rates.get(target.process)
        if rate is None:
            return
        rate.sent.requests = max(0, rate.sent.requests - 1)
        if rate.limiter is not None:
            rate.limiter.put_back(now)

    def prune(self, processes: Collection[str]) -> None:
        """Drop target processes that are not in ``processes``.

        Those that stated a limit within `LIMIT_RETENTION_S` are kept.
        """
        for name, rate in tuple(self._rates.items()):
            age_s = self._latest_at - rate.stated_at
            kept = rate.stated is not None and age_s < LIMIT_RETENTION_S
            if name not in processes and not kept:
                self._rates.pop(name)

    def _limiter(
        self, target: KnownTarget, rate: _TargetRate, now: float
    ) -> RateLimiter | None:
        """Return the limiter of a target by the limit that holds now."""
        if rate.stated is None:
            return None
        kept = rate.stated.lowest(now)
        if kept == rate.kept:
            return rate.limiter
        rate.kept = kept
        if kept == UNLIMITED:
            rate.stated = None
            rate.limiter = None
            return None
        if rate.limiter is None:
            share = share_of(kept, self._rank(target, rate))
            rate.limiter = RateLimiter(share, now)
        else:
            self._divide(target, rate, rate.limiter, now)
        return rate.limiter

    def _divide(
        self,
        target: KnownTarget,
        rate: _TargetRate,
        limiter: RateLimiter,
        now: float,
    ) -> None:
        """Change this host's part of the limit of a target."""
        share = share_of(rate.kept, self._rank(target, rate))
        limiter.replace_share(share, now)

    def _rank(self, target: KnownTarget, rate: _TargetRate) -> HostRank:
        if rate.rank is None:
            record = target.record
            rate.rank = rank_host(
                record.identity,
                self._location.name,
                self._host_regions,
                self._location.region_of(record.data_centre),
            )
        return rate.rank

    def _rate(self, target: KnownTarget, now: float) -> _TargetRate:
        rate = self._rates.get(target.process)
        if rate is None:
            rate = _TargetRate(_RequestCount(now))
            self._rates[target.process] = rate
        return rate

    def _start_window(self, rate: _TargetRate, now: float) -> None:
        sent = rate.sent
        adjacent = now - sent.window_started_at < 2 * WINDOW_S
        previous = sent.requests if adjacent else 0
        rate.sent = _RequestCount(now, previous_requests=previous)

    def _report(
        self,
        event: str,
        target: KnownTarget,
        rate: _TargetRate,
        **fields: object,
    ) -> None:
        named = {
            'target': target.record.identity,
            'service': target.record.service,
            'peer': target.record.address,
            'limit': 'none' if rate.limit is None else rate.limit,
            'sent': rate.sent.requests,
            'sent_before': rate.sent.previous_requests,
            **fields,
        }
        self._on_change(StateChange(event, tuple(named.items())))
