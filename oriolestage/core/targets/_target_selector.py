"""Selects a target for each shard request at the entry host.

The selection uses what the replies of owners showed of the targets: index
versions, latency and availability.
"""

import dataclasses
import random
from collections.abc import Sequence

from oriolestage.core.configuration._configuration import Target

#: Weight of the newest latency in the exponential moving average.
LATENCY_WEIGHT = 0.2
#: Time for which the versions of a target count as current, in seconds.
VERSIONS_TTL_S = 1.0
#: Latency added to the score of a target for each request that this host has
#: in flight there, in seconds.
IN_FLIGHT_PENALTY_S = 0.01


@dataclasses.dataclass(slots=True)
class _TargetStats:
    versions: tuple[int, ...] = ()
    versions_at: float = float('-inf')
    unavailable_until: float = 0
    overloaded_until: float = 0
    latency_s: float = 0
    in_flight: int = 0


class TargetSelector:
    """Chooses targets by latency, load and index version."""

    def __init__(self, randomness: random.Random) -> None:
        """Create a selector without statistics.

        ``randomness`` spreads load over targets of similar latency.
        """
        self._random = randomness
        self._stats: dict[str, _TargetStats] = {}

    def record_versions(
        self,
        target: str,
        versions: tuple[int, ...],
        now: float,
    ) -> None:
        """Record the index versions of a target; ignore an empty tuple."""
        if versions:
            stats = self._stats_of(target)
            stats.versions = versions
            stats.versions_at = now

    def record_unavailable(self, target: str, until: float) -> None:
        """Record that a target should get no requests before ``until``."""
        self._stats_of(target).unavailable_until = until

    def record_overloaded(self, target: str, until: float) -> None:
        """Record that a target has no capacity before ``until``."""
        self._stats_of(target).overloaded_until = until

    def overloaded_for_s(
        self,
        candidates: Sequence[Target],
        version: int,
        now: float,
    ) -> float:
        """Return the seconds until a candidate has capacity, or 0.

        Candidates that cannot serve ``version`` do not count.
        """
        waits = [
            self._stats_of(target.name).overloaded_until - now
            for target in candidates
            if self.may_serve(target.name, version, now)
        ]
        return max(0, min(waits, default=0))

    def record_dispatch(self, target: str) -> None:
        """Record that a request was sent to a target."""
        self._stats_of(target).in_flight += 1

    def record_end(self, target: str) -> None:
        """Record that a request to a target ended, with any outcome."""
        self._stats_of(target).in_flight -= 1

    def record_latency(self, target: str, latency_s: float) -> None:
        """Record the latency of an answer."""
        stats = self._stats_of(target)
        stats.latency_s += LATENCY_WEIGHT * (latency_s - stats.latency_s)

    def may_serve(self, target: str, version: int, now: float) -> bool:
        """Return whether a target may serve a version; 0 is any.

        True also if its versions are not known or out of date.
        """
        versions = self.versions_of(target, now)
        return version == 0 or not versions or version in versions

    def choose(
        self,
        candidates: Sequence[Target],
        version: int,
        now: float,
        avoided: frozenset[str],
    ) -> Target | None:
        """Return the best available target that may serve ``version``.

        The best is the one with the least latency and load, multiplied by a
        random factor from 1 to 1.5. Return None if no candidate is left.
        """
        best: Target | None = None
        best_score = float('inf')
        for target in candidates:
            stats = self._stats_of(target.name)
            busy_until = max(stats.unavailable_until, stats.overloaded_until)
            if target.name in avoided or now < busy_until:
                continue
            if not self.may_serve(target.name, version, now):
                continue
            score = stats.latency_s + IN_FLIGHT_PENALTY_S * stats.in_flight
            score *= 1 + self._random.random() / 2
            if score < best_score:
                best = target
                best_score = score
        return best

    def available_at(
        self,
        candidates: Sequence[Target],
        version: int,
        now: float,
    ) -> float:
        """Return the earliest time at which a candidate is available.

        Infinite if none of them may serve ``version``.
        """
        earliest = float('inf')
        for target in candidates:
            if not self.may_serve(target.name, version, now):
                continue
            stats = self._stats_of(target.name)
            at = max(stats.unavailable_until, stats.overloaded_until)
            earliest = min(earliest, at)
        return earliest

    def versions_of(self, target: str, now: float) -> tuple[int, ...]:
        """Return the versions of a target; empty if unknown or out of date."""
        stats = self._stats_of(target)
        if now - stats.versions_at > VERSIONS_TTL_S:
            return ()
        return stats.versions

    def served_versions(
        self,
        candidates: Sequence[Target],
        now: float,
    ) -> frozenset[int]:
        """Return all versions that the candidates serve.

        Empty if the versions of any candidate are unknown, as it might serve
        any version.
        """
        versions: set[int] = set()
        for target in candidates:
            served = self.versions_of(target.name, now)
            if not served:
                return frozenset()
            versions.update(served)
        return frozenset(versions)

    def _stats_of(self, target: str) -> _TargetStats:
        stats = self._stats.get(target)
        if stats is None:
            stats = _TargetStats()
            self._stats[target] = stats
        return stats
