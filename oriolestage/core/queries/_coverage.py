"""Computes which part of the key space a set of shard answers covers."""

import bisect
from collections.abc import Iterable, Sequence

from oriolestage.core.queries._outcomes import Answered, Coverage, KeyRange


def keep_disjoint(answers: Iterable[Answered]) -> list[Answered]:
    """Return a subset of the answers whose key ranges do not overlap.

    Where ranges overlap, the answer from the newer partition map is kept, so
    that keys which two shards read during a repartition are merged once.
    Answers with an empty range are dropped.
    """
    ordered = sorted(
        answers,
        key=lambda answer: (-answer.partition_revision, answer.covered),
    )
    kept: list[Answered] = []
    spans: list[KeyRange] = []
    for answer in ordered:
        span = answer.covered
        index = bisect.bisect_left(spans, span)
        # Kept spans are disjoint and sorted, so only the neighbours of the
        # insertion point can overlap the new span.
        neighbours = spans[max(0, index - 1) : index + 1]
        if span.end <= span.start or _overlaps_any(span, neighbours):
            continue
        spans.insert(index, span)
        kept.append(answer)
    return kept


def coverage_of(ranges: Iterable[KeyRange], wanted: KeyRange) -> Coverage:
    """Merge ``ranges`` and find the gaps that they leave in ``wanted``."""
    covered: list[KeyRange] = []
    for span in sorted(ranges):
        if covered and span.start <= covered[-1].end:
            end = max(covered[-1].end, span.end)
            covered[-1] = KeyRange(covered[-1].start, end)
            continue
        covered.append(span)
    return Coverage(tuple(covered), _gaps(covered, wanted))


def covered_keys(ranges: Iterable[KeyRange]) -> int:
    """Return the number of keys in disjoint ranges."""
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
