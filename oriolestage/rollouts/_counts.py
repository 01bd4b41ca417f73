"""Counts of the responses of one version on one route.

Processing times are kept in a histogram with buckets of equal ratio, so that
the counts of several hosts can be added and compared with the typical time of
all of them.
"""

import dataclasses
import math
from collections import Counter
from collections.abc import Mapping

#: Lower end of the histogram, in seconds; shorter times count as this.
SHORTEST_S = 0.002
#: Ratio between neighbouring buckets.
BUCKET_RATIO = 1.1
#: Highest bucket, about 28 s.
LAST_BUCKET = 100


@dataclasses.dataclass(slots=True)
class RouteCounts:
    """Responses of one version on one route."""

    responses: int = 0
    #: Responses that were errors, invalid or cut off.
    failures: int = 0
    #: Valid responses by bucket of their processing time.
    work: Counter[int] = dataclasses.field(default_factory=Counter)
    #: Attempts without a response by bucket of the time that they had.
    abandoned: Counter[int] = dataclasses.field(default_factory=Counter)

    def add(self, other: 'RouteCounts') -> None:
        """Add the counts of ``other``."""
        self.responses += other.responses
        self.failures += other.failures
        self.work.update(other.work)
        self.abandoned.update(other.abandoned)

    def subtract(self, other: 'RouteCounts') -> None:
        """Remove the counts of ``other``, which were added before."""
        self.responses -= other.responses
        self.failures -= other.failures
        self.work.subtract(other.work)
        self.abandoned.subtract(other.abandoned)

    def copy(self) -> 'RouteCounts':
        """Return independent counts with the same values."""
        return RouteCounts(
            self.responses,
            self.failures,
            Counter(self.work),
            Counter(self.abandoned),
        )

    def median_bucket(self) -> int | None:
        """Return the bucket of the median time; None without responses."""
        left = sum(self.work.values()) / 2
        if not left:
            return None
        for bucket in sorted(self.work):
            left -= self.work[bucket]
            if left <= 0:
                return bucket
        return None


def bucket_of(work_s: float) -> int:
    """Return the bucket of a processing time in seconds."""
    if work_s <= SHORTEST_S:
        return 0
    ratio = math.log(work_s / SHORTEST_S) / math.log(BUCKET_RATIO)
    return min(LAST_BUCKET, round(ratio))


def add_by_route(
    totals: dict[str, RouteCounts], counts: Mapping[str, RouteCounts]
) -> None:
    """Add counts by route to totals."""
    for route, added in counts.items():
        totals.setdefault(route, RouteCounts()).add(added)


def subtract_by_route(
    totals: dict[str, RouteCounts], counts: Mapping[str, RouteCounts]
) -> None:
    """Remove counts by route from totals that contain them."""
    for route, removed in counts.items():
        totals[route].subtract(removed)


def copy_by_route(counts: Mapping[str, RouteCounts]) -> dict[str, RouteCounts]:
    """Return independent counts by route with the same values."""
    return {route: known.copy() for route, known in counts.items()}
