"""Decides whether this host may send one more attempt to a target now.

Answers the load pattern in which targets turn hosts away, are slow to start or
are reached by more hosts than they have slots: each host keeps to its part of
every limit, without asking the others.
"""

from collections.abc import Iterable

from oriolestage.pacing._target_paces import TargetPaces
from oriolestage.routing._even_shares import EvenShare
from oriolestage.routing._observations import Observations
from oriolestage.routing._placement_types import (
    NoCapacity,
    Shortage,
    ShortageCause,
    TargetRequirements,
)
from oriolestage.routing._target_rates import TargetRates
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing._warm_up import (
    Joining,
    WarmUpBounds,
    WarmUpPacer,
)

#: Attempts that one host may queue at a target beyond its slots.
QUEUED_LIMIT = 4
#: Shortest time after which to try a target without capacity again, in
#: seconds.
FULL_WAIT_S = 0.01


class TargetCapacity:
    """The limits on this host's attempts at each target."""

    def __init__(
        self,
        host: str,
        observations: Observations,
        rates: TargetRates,
        warm_up: WarmUpBounds,
        paces: TargetPaces | None = None,
    ) -> None:
        """Create the limits of ``host``, without attempts.

        ``paces`` limits attempts at targets that have started or recovered;
        None if they are not paced.
        """
        self._paces = paces
        self._host = host
        self._observations = observations
        self._rates = rates
        self._warm_up = warm_up
        self._pacers: dict[str, WarmUpPacer] = {}
        self._joining = Joining()

    def refuse(
        self,
        target: KnownTarget,
        requirements: TargetRequirements,
        hosts: tuple[str, ...],
        now: float,
    ) -> NoCapacity | None:
        """Return why a target has no capacity now, None if it has.

        A target has no capacity while it rests, in back-off, while another
        host declines attempts at it, at the rate limit that it states, and at
        its limit of attempts, of connections or of requests while it is cold.
        All ``hosts`` share these limits. Last, it has none beyond its pace.
        """
        load = self._observations.load_of(target)
        if now < load.rest_until:
            rests = Shortage(ShortageCause.REST, now - load.rest_known_at)
            return NoCapacity(load.rest_until - now, rests)
        if load.in_backoff(now):
            age_s = now - load.backoff_started_at
            wait_s = load.backoff_until - now
            return _retry_after(wait_s, ShortageCause.BACKOFF, age_s)
        if now < load.full_until:
            age_s = now - load.full_known_at
            wait_s = load.full_until - now
            return _retry_after(wait_s, ShortageCause.DECLINED, age_s)
        rate_wait_s = self._rates.wait_s(target, now)
        if rate_wait_s:
            age_s = self._rates.limit_age_s(target, now)
            return _retry_after(rate_wait_s, ShortageCause.RATE_LIMIT, age_s)
        if load.outstanding >= attempt_limit(target, requirements, hosts):
            return _retry_after(FULL_WAIT_S, ShortageCause.OUTSTANDING)
        warm_up_wait_s = self._warm_up_wait_s(target, requirements, hosts, now)
        if warm_up_wait_s:
            return _retry_after(warm_up_wait_s, ShortageCause.WARM_UP)
        if self._paces is None:
            return None
        pace_wait_s = self._paces.wait_s(target, requirements.route, now)
        return self._pace_refusal(self._paces, target, pace_wait_s, now)

    def refuse_without_sibling(
        self, target: KnownTarget, requirements: TargetRequirements, now: float
    ) -> NoCapacity | None:
        """Return why a target has no capacity although no sibling has any.

        Call this for a target that :meth:`refuse` refuses for its pace alone.
        """
        if self._paces is None:
            return None
        pace_wait_s = self._paces.yielded_wait_s(
            target, requirements.route, now
        )
        return self._pace_refusal(self._paces, target, pace_wait_s, now)

    def record_registered(self, now: float) -> None:
        """Record that this host is registered, so that others count it."""
        self._joining.record_registered(now)

    def record_sent(self, target: KnownTarget, now: float) -> None:
        """Count an attempt that is sent."""
        self._rates.record_sent(target, now)
        if self._paces is not None:
            self._paces.record_sent(target)
        if target.cold_until > now:
            self._pacer(target).record_sent(now)

    def record_withdrawn(self, target: KnownTarget, now: float) -> None:
        """Give back what an attempt took that is not sent after all."""
        self._rates.record_withdrawn(target, now)
        if self._paces is not None:
            self._paces.record_withdrawn(target)
        if target.cold_until > now:
            self._pacer(target).withdraw()

    def forget(self, processes: Iterable[str]) -> None:
        """Drop target processes that are gone."""
        gone = tuple(processes)
        for name in gone:
            self._pacers.pop(name, None)
        if self._paces is not None:
            self._paces.forget(gone)

    def _warm_up_wait_s(
        self,
        target: KnownTarget,
        requirements: TargetRequirements,
        hosts: tuple[str, ...],
        now: float,
    ) -> float:
        """Return the time until a cold target may get a request, in seconds."""
        left_s = target.cold_until - now
        if not requirements.warm_up_rate or left_s <= 0:
            return 0
        wait_s = self._joining.left_s(now) or self._pacer(target).wait_s(
            requirements.warm_up_rate, hosts, now
        )
        return min(wait_s, left_s)

    def _pace_refusal(
        self,
        paces: TargetPaces,
        target: KnownTarget,
        wait_s: float,
        now: float,
    ) -> NoCapacity | None:
        if not wait_s:
            return None
        age_s = paces.age_s(target, now)
        return _retry_after(wait_s, ShortageCause.PACE, age_s)

    def _pacer(self, target: KnownTarget) -> WarmUpPacer:
        pacer = self._pacers.get(target.process)
        if pacer is None:
            share = EvenShare(target.record.identity, self._host)
            pacer = WarmUpPacer(self._warm_up, share)
            self._pacers[target.process] = pacer
        return pacer


def attempt_limit(
    target: KnownTarget,
    requirements: TargetRequirements,
    hosts: tuple[str, ...],
) -> int:
    """Return how many attempts at a target one host may have outstanding."""
    limit = target.record.slots + QUEUED_LIMIT
    if requirements.connection_limit:
        share = requirements.connection_limit // max(1, len(hosts))
        limit = min(limit, max(1, share))
    return limit


def _retry_after(
    wait_s: float, cause: ShortageCause, age_s: float = 0
) -> NoCapacity:
    """Return a shortage that is looked at again after `FULL_WAIT_S` at least.

    ``age_s`` is the time since this host learned of it, in seconds.
    """
    return NoCapacity(max(FULL_WAIT_S, wait_s), Shortage(cause, age_s))
