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


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """Responses of one route, or of all routes."""

    name: str
    responses: int
    bad: int
    old_responses: int
    old_bad: int

    @property
    def old_rate(self) -> float:
        """Rate of bad responses of the old version."""
        if not self.old_responses:
            return 0
        return self.old_bad / self.old_responses

    def describe(self) -> str:
        """Return the counts in a form for the log and the status."""
        return (
            f'{self.name}:{self.bad}_of_{self.responses}'
            f'_old_{self.old_bad}_of_{self.old_responses}'
        )


def judge(
    old: Mapping[str, RouteCounts], new: Mapping[str, RouteCounts]
) -> Verdict:
    """Return the verdict on the responses by route of a new version."""
    samples = [
        _sample(route, old.get(route, RouteCounts()), counts)
        for route, counts in sorted(new.items())
    ]
    total = _total(samples)
    bad_because = ''
    doubtful_because = ''
    for sample in (total, *samples):
        if BAD.exceeded(sample.bad, sample.responses, sample.old_rate):
            bad_because = bad_because or sample.describe()
        if DOUBTFUL.exceeded(sample.bad, sample.responses, sample.old_rate):
            doubtful_because = doubtful_because or sample.describe()
    return Verdict(bad_because, doubtful_because, total.responses, total.bad)


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
        if term < probability * NEGLIGIBLE:
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


def _total(samples: list[_Sample]) -> _Sample:
    return _Sample(
        'all',
        sum(sample.responses for sample in samples),
        sum(sample.bad for sample in samples),
        sum(sample.old_responses for sample in samples),
        sum(sample.old_bad for sample in samples),
    )


def _sample(route: str, old: RouteCounts, new: RouteCounts) -> _Sample:
    slow_bucket = math.inf
    typical = old.median_bucket()
    if typical is not None and old.responses >= MIN_TYPICAL_RESPONSES:
        slow_bucket = typical + math.log(SLOW_FACTOR) / math.log(BUCKET_RATIO)
    responses, bad = _count(new, slow_bucket)
    old_responses, old_bad = _count(old, slow_bucket)
    return _Sample(route, responses, bad, old_responses, old_bad)


def _count(counts: RouteCounts, slow_bucket: float) -> tuple[int, int]:
    """Return the number of responses and of bad ones.

    An attempt without a response counts if it had the time for one that is
    not slow; it is bad then.
    """
    slow = sum(
        number for bucket, number in counts.work.items() if bucket > slow_bucket
    )
    silent = sum(
        number
        for bucket, number in counts.abandoned.items()
        if bucket > slow_bucket
    )
    return counts.responses + silent, counts.failures + slow + silent
