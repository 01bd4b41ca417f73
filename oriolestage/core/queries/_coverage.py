"""Works out what a set of shard answers covers of the key space."""

import bisect
from collections.abc import Iterable, Sequence

from oriolestage.core.queries._outcomes import Answered, Coverage, KeyRange


def keep_disjoint(answers: Iterable[Answered]) -> list[Answered]:
    """Keep answers whose ranges do not overlap.

    Answers of a newer partition map go before older ones, so that a range
    read twice during a repartition is merged once.
    """
    ordered = sorted(
        answers,
        key=lambda answer: (-answer.partition_revision, answer.covered),
    )
    kept: list[Answered] = []
    spans: list[KeyRange] = []
    for answer in ordered:
        span = answer.covered
        place = bisect.bisect_left(spans, span)
        # Kept spans are disjoint, so only neighbours can overlap.
        neighbours = spans[max(0, place - 1) : place + 1]
        if span.end <= span.start or _overlaps_any(span, neighbours):
            continue
        spans.insert(place, span)
        kept.append(answer)
    return kept


def coverage_of(ranges: Iterable[KeyRange], wanted: KeyRange) -> Coverage:
    """Join ``ranges`` and tell what of ``wanted`` they leave out."""
    covered: list[KeyRange] = []
    for span in sorted(ranges):
        if covered and span.start <= covered[-1].end:
            end = max(covered[-1].end, span.end)
            covered[-1] = KeyRange(covered[-1].start, end)
            continue
        covered.append(span)
    return Coverage(tuple(covered), _gaps(covered, wanted))


def covered_keys(ranges: Iterable[KeyRange]) -> int:
    """Count the keys in disjoint ranges."""
    return sum(span.end - span.start for span in ranges)


def _gaps(
    covered: Sequence[KeyRange],
    wanted: KeyRange,
) -> tuple[KeyRange, ...]:
    gaps: list[KeyRange] = []
    position = wanted.start
    for span in covered:
        if span.start > position:
            gaps.append(KeyRange(position, min(span.start, wanted.end)))
        position = max(position, span.end)
    if position < wanted.end:
        gaps.append(KeyRange(position, wanted.end))
    return tuple(gaps)


def _overlaps_any(span: KeyRange, others: Sequence[KeyRange]) -> bool:
    return any(
        span.start < other.end and other.start < span.end for other in others
    )
