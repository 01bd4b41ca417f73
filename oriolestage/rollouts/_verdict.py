"""Judges the responses of a new version against those of the old one.

Handles versions that fail or slow down at once, late, under load, or on one
route only: each route is judged by itself, and all of them together.
"""

import dataclasses
import math
from collections.abc import Mapping

from oriolestage.rollouts._counts import BUCKET_RATIO, RouteCounts

#: A response is slow if it takes more than this multiple of the typical
#: processing time of its route at the old version.
SLOW_FACTOR = 3.0
#: Responses of the old version from which the typical time is derived.
MIN_TYPICAL_RESPONSES = 5
#: Rate of bad responses that is assumed of a good version, as a multiple of
#: the old version's.
RATE_FACTOR = 2.0
#: Rates of bad responses between which the end of a phase decides: that of a
#: version that fails or is slow at least, and that of a good one at most.
FAILING_RATE = 0.3
FAILING_GOOD_RATE = 0.005
SLOW_RATE = 0.6
SLOW_GOOD_RATE = 0.03
#: Odds of a bad version up to which a good one is taken to be shown, and the
#: share of the old version's responses from which a route needs that.
GOOD_ODDS = 0.05
MIN_ROUTE_SHARE = 0.1
#: Part of a probability below which further terms of it are left out.
NEGLIGIBLE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Threshold:
    """When a number of bad responses speaks against a version."""

    #: Lowest rate that is assumed of a good version.
    min_rate: float
    #: Probability of the number below which it speaks against the version.
    probability: float
    #: Fewest bad responses.
    min_bad: int

    def exceeded(self, bad: int, responses: int, old_rate: float) -> bool:
        """Return whether the number of bad responses is too high."""
        if bad < self.min_bad:
            return False
        rate = min(1.0, max(self.min_rate, RATE_FACTOR * old_rate))
        return tail_probability(bad, responses, rate) < self.probability


#: The version is bad, at any time of the roll-out.
BAD_MIN_RATE = 0.05
BAD_PROBABILITY = 0.001
BAD = Threshold(BAD_MIN_RATE, BAD_PROBABILITY, min_bad=3)
#: The version is not taken to be good at the end of a phase.
DOUBTFUL_MIN_RATE = 0.02
DOUBTFUL_PROBABILITY = 0.05
DOUBTFUL = Threshold(DOUBTFUL_MIN_RATE, DOUBTFUL_PROBABILITY, min_bad=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the responses say about a version."""

    #: Why the version is bad; empty if it is not.
    bad_because: str = ''
    #: Why it is not taken to be good; empty if it is.
    doubtful_because: str = ''
    responses: int = 0
    bad: int = 0
    #: Whether a bad version is unlikely to have responded like this, on each
    #: route of some weight and during the ramp.
    convincing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Tally:
    """Responses of one version on one route, or on all routes."""

    responses: int = 0
    failures: int = 0
    #: Slow responses, and attempts that were given up as late.
    slow: int = 0

    @property
    def bad(self) -> int:
        """Number of bad responses."""
        return self.failures + self.slow

    def plus(self, other: '_Tally') -> '_Tally':
        """Return the sum of two tallies."""
        return _Tally(
            self.responses + other.responses,
            self.failures + other.failures,
            self.slow + other.slow,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """Responses of both versions on one route, or on all routes."""

    name: str
    old: _Tally
    new: _Tally

    def exceeds(self, threshold: Threshold) -> bool:
        """Return whether there are too many bad responses."""
        old_rate = self.old.bad / max(1, self.old.responses)
        return threshold.exceeded(self.new.bad, self.new.responses, old_rate)

    def resembles_bad(self) -> bool:
        """Return whether a bad version explains the responses better.

        This decides when there are too few of them for a threshold.
        """
        return max(self._log_odds()) > 0

    def convinces(self, old_responses: int) -> bool:
        """Return whether a good version explains the responses far better.

        That is not asked of a route with a small part of ``old_responses``.
        """
        if self.old.responses < MIN_ROUTE_SHARE * old_responses:
            return True
        return max(self._log_odds()) <= math.log(GOOD_ODDS)

    def _log_odds(self) -> tuple[float, float]:
        """Return how much better a bad version explains the responses.

        That is the logarithm of the odds, by its failures and its slowness.
        """
        new, old = self.new, self.old
        return (
            _log_odds(
                new.failures,
                new.responses,
                FAILING_RATE,
                max(FAILING_GOOD_RATE, old.failures / max(1, old.responses)),
            ),
            _log_odds(
                new.slow,
                new.responses,
                SLOW_RATE,
                max(SLOW_GOOD_RATE, old.slow / max(1, old.responses)),
            ),
        )

    def describe(self) -> str:
        """Return the counts in a form for the log and the status."""
        return (
            f'{self.name}:{self.new.failures}_failed_{self.new.slow}_slow'
            f'_of_{self.new.responses}'
            f'_old_{self.old.bad}_of_{self.old.responses}'
        )


def judge(
    old: Mapping[str, RouteCounts],
    new: Mapping[str, RouteCounts],
    ramp: Mapping[str, RouteCounts],
    base: Mapping[str, RouteCounts],
) -> Verdict:
    """Return the verdict on the responses by route of a new version.

    ``old`` has the responses of the old version in the same time, and ``base``
    those from before, which only show what is typical: a fault before the
    order would excuse a bad version.
    ``ramp`` has those of its responses that came during the ramp. They are
    judged by themselves too: a version that fails under load has many good
    responses from before.
    """
    total, *by_route = _samples('', old, new, base)
    bad_because = ''
    doubtful_because = ''
    ramp_total, *ramp_by_route = _samples('ramp_', old, ramp, base)
    for judged in (total, *by_route, ramp_total, *ramp_by_route):
        if judged.exceeds(BAD):
            bad_because = bad_because or judged.describe()
        if judged.exceeds(DOUBTFUL) or judged.resembles_bad():
            doubtful_because = doubtful_because or judged.describe()
    return Verdict(
        bad_because,
        doubtful_because,
        responses=total.new.responses,
        bad=total.new.bad,
        convincing=all(
            judged.convinces(total.old.responses)
            for judged in (ramp_total, *by_route)
        ),
    )


def tail_probability(bad: int, responses: int, rate: float) -> float:
    """Return the probability of ``bad`` or more of some responses.

    Each one is bad with the probability ``rate``. 1 is returned for any
    number up to the expected one.
    """
    if bad <= responses * rate:
        return 1
    probability: float = 0
    for count in range(bad, responses + 1):
        term = _term(count, responses, rate)
        probability += term
        # Equal if the first term is below the smallest number: so are all.
        if term <= probability * NEGLIGIBLE:
            break
    return probability


def _term(count: int, responses: int, rate: float) -> float:
    if rate >= 1:
        return float(count == responses)
    combinations = (
        math.lgamma(responses + 1)
        - math.lgamma(count + 1)
        - math.lgamma(responses - count + 1)
    )
    return math.exp(
        combinations
        + count * math.log(rate)
        + (responses - count) * math.log1p(-rate)
    )


def _samples(
    prefix: str,
    old: Mapping[str, RouteCounts],
    new: Mapping[str, RouteCounts],
    base: Mapping[str, RouteCounts],
) -> list[_Sample]:
    """Return the sample of all routes, followed by that of each route."""
    by_route = [
        _sample(
            f'{prefix}{route}',
            old.get(route, RouteCounts()),
            counts,
            base.get(route, RouteCounts()),
        )
        for route, counts in sorted(new.items())
    ]
    old_total = _Tally()
    new_total = _Tally()
    for sample in by_route:
        old_total = old_total.plus(sample.old)
        new_total = new_total.plus(sample.new)
    return [_Sample(f'{prefix}all', old_total, new_total), *by_route]


def _log_odds(
    bad: int, responses: int, bad_rate: float, good_rate: float
) -> float:
    if good_rate >= bad_rate:
        return float('-inf')
    return bad * math.log(bad_rate / good_rate) - (responses - bad) * (
        math.log1p(-good_rate) - math.log1p(-bad_rate)
    )


def _sample(
    name: str, old: RouteCounts, new: RouteCounts, base: RouteCounts
) -> _Sample:
    slow_bucket = math.inf
    before = base.copy()
    before.add(old)
    typical = before.median_bucket()
    if typical is not None and before.responses >= MIN_TYPICAL_RESPONSES:
        slow_bucket = typical + math.log(SLOW_FACTOR) / math.log(BUCKET_RATIO)
    return _Sample(name, _count(old, slow_bucket), _count(new, slow_bucket))


def _count(counts: RouteCounts, slow_bucket: float) -> _Tally:
    """Return the number of responses and of bad ones.

    An attempt without a response counts if it had the time for one that is
    not slow; it is slow then.
    """
    slow = _above(counts.work, slow_bucket)
    silent = _above(counts.abandoned, slow_bucket)
    return _Tally(counts.responses + silent, counts.failures, slow + silent)


def _above(histogram: Mapping[int, int], slow_bucket: float) -> int:
    return sum(
        number for bucket, number in histogram.items() if bucket > slow_bucket
    )
