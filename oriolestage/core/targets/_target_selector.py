"""What an entry host learned about targets from the replies of owners."""

import dataclasses
import random
from collections.abc import Sequence

from oriolestage.core.configuration._configuration import Target

#: Weight of the newest latency in the running mean.
LATENCY_WEIGHT = 0.2
#: Time for which it is believed what versions a target serves, in seconds.
VERSIONS_TTL_S = 1.0
#: Latency added for each request of this host that is in flight, seconds.
LOAD_PENALTY_S = 0.01


@dataclasses.dataclass(slots=True)
class _Known:
    versions: tuple[int, ...] = ()
    versions_at: float = float('-inf')
    unavailable_until: float = 0
    overloaded_until: float = 0
    latency_s: float = 0
    in_flight: int = 0


class TargetSelector:
    """Chooses among the targets of a service."""

    def __init__(self, randomness: random.Random) -> None:
        """Start knowing nothing."""
        self._random = randomness
        self._known: dict[str, _Known] = {}

    def record_versions(
        self,
        target: str,
        versions: tuple[int, ...],
        now: float,
    ) -> None:
        """Note the index versions that a target serves."""
        if versions:
            known = self._of(target)
            known.versions = versions
            known.versions_at = now

    def record_unavailable(self, target: str, until: float) -> None:
        """Note that a target refuses work until a time."""
        self._of(target).unavailable_until = until

    def record_overloaded(self, target: str, until: float) -> None:
        """Note that a target has no room until a time."""
        self._of(target).overloaded_until = until

    def overloaded_for_s(
        self,
        candidates: Sequence[Target],
        version: int,
        now: float,
    ) -> float:
        """Give the seconds for which no candidate has room, or 0."""
        waits = [
            self._of(target.name).overloaded_until - now
            for target in candidates
            if self.may_serve(target.name, version, now)
        ]
        return max(0, min(waits, default=0))

    def record_dispatch(self, target: str) -> None:
        """Count a request on its way."""
        self._of(target).in_flight += 1

    def record_end(self, target: str) -> None:
        """Count a request that ended, however it did."""
        self._of(target).in_flight -= 1

    def record_latency(self, target: str, latency_s: float) -> None:
        """Note how long an answer took."""
        known = self._of(target)
        known.latency_s += LATENCY_WEIGHT * (latency_s - known.latency_s)

    def may_serve(self, target: str, version: int, now: float) -> bool:
        """Tell whether a target may serve a version, for all that is known."""
        versions = self.versions_of(target, now)
        return version == 0 or not versions or version in versions

    def choose(
        self,
        candidates: Sequence[Target],
        version: int,
        now: float,
        avoided: frozenset[str],
    ) -> Target | None:
        """Choose a target that is available and may serve ``version``."""
        best: Target | None = None
        best_score = float('inf')
        for target in candidates:
            known = self._of(target.name)
            busy_until = max(known.unavailable_until, known.overloaded_until)
            if target.name in avoided or now < busy_until:
                continue
            if not self.may_serve(target.name, version, now):
                continue
            score = known.latency_s + LOAD_PENALTY_S * known.in_flight
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
        """Give the earliest time at which a candidate may take work."""
        earliest = float('inf')
        for target in candidates:
            if not self.may_serve(target.name, version, now):
                continue
            known = self._of(target.name)
            at = max(known.unavailable_until, known.overloaded_until)
            earliest = min(earliest, at)
        return earliest

    def versions_of(self, target: str, now: float) -> tuple[int, ...]:
        """Give the versions a target serves; empty when not known of late."""
        known = self._of(target)
        if now - known.versions_at > VERSIONS_TTL_S:
            return ()
        return known.versions

    def served_versions(
        self,
        candidates: Sequence[Target],
        now: float,
    ) -> frozenset[int]:
        """Give the versions that candidates serve; empty for any version."""
        versions: set[int] = set()
        for target in candidates:
            known = self.versions_of(target.name, now)
            if not known:
                return frozenset()
            versions.update(known)
        return frozenset(versions)

    def _of(self, target: str) -> _Known:
        known = self._known.get(target)
        if known is None:
            known = _Known()
            self._known[target] = known
        return known
