"""Builds the result of a request from the state of its parts."""

from collections.abc import Sequence

from oriolestage.routing._answers import (
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._merge import GatheredRecords, merge_records
from oriolestage.routing._parts import Part
from oriolestage.routing._rules import Destination, ShardGroup

#: Floating-point tolerance, for coverages such as 0.95 of 20 shards.
ROUNDING = 1e-9


def min_parts(destination: Destination, total: int) -> int:
    """Return the minimum number of answered parts that makes an answer."""
    match destination:
        case ShardGroup(min_coverage=min_coverage):
            for count in range(1, total):
                if count / total >= min_coverage - ROUNDING:
                    return count
            return total
        case _:
            return 1


def build_result(
    destination: Destination,
    parts: Sequence[Part],
    records: GatheredRecords,
    *,
    late_reason: GiveUpReason | None,
) -> RequestResult:
    """Return the result of a request.

    ``records`` holds the records that were merged already, which are not in
    the answers of their parts. ``late_reason`` is the reason for the deadline
    if it has passed, else None.
    """
    answered = [part for part in parts if part.answer is not None]
    match destination:
        case ShardGroup(top_records=top_records):
            if len(answered) >= min_parts(destination, len(parts)):
                return _gathered(answered, records, top_records, len(parts))
        case _:
            for part in parts:
                answer = part.answer or part.failure
                if answer is not None:
                    return Delivered(answer)
    return _without_answer(parts, late_reason)


def _gathered(
    answered: Sequence[Part],
    records: GatheredRecords,
    top_records: int,
    total: int,
) -> Gathered:
    answers = [part.answer for part in answered if part.answer is not None]
    bodies = [answer.body for answer in answers if answer.body]
    return Gathered(
        body=merge_records([*bodies, records.merged], top_records),
        signatures=tuple(answer.signature for answer in answers),
        missing=total - len(answers),
    )


def _without_answer(
    parts: Sequence[Part], late_reason: GiveUpReason | None
) -> RequestResult:
    may_have_run = any(
        part.may_have_run or part.in_flight or part.answer is not None
        for part in parts
    )
    unanswered = [part for part in parts if part.answer is None]
    # The parts that were given up caused the end; others may only be
    # unfinished.
    causes = [part for part in unanswered if part.given_up] or unanswered
    reason = late_reason or causes[0].reason
    if may_have_run:
        return Failed(reason)
    return Refused(reason, max(part.retry_after_s for part in unanswered))
