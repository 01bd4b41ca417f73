"""Computes the outcomes of queries that end before all shards answered.

A query ends early when one of its shards has only overloaded targets: the
remaining capacity then serves queries that can still get a complete answer,
and the caller learns at once when to retry. A quarantined query ends early
because it makes targets crash.
"""

from collections.abc import Iterable

from oriolestage.core.queries._outcomes import (
    CallerOutcome,
    MayHaveRun,
    NotRun,
    QueryAnswer,
    Reason,
)
from oriolestage.core.queries._query import Query, ShardState
from oriolestage.core.queries._shard_sender import ShardSender


def overload_outcome(
    query: Query,
    shards: Iterable[ShardState],
    sender: ShardSender,
) -> CallerOutcome | None:
    """Return the outcome of a query that overload ends, or None.

    A query ends when all targets of one of ``shards`` are overloaded and the
    shard has no attempt in flight. The outcome is the partial answer if any
    shard has answered.
    """
    for shard in shards:
        wait_s = sender.overloaded_for_s(shard.service, query.version)
        if wait_s <= 0 or shard.attempts:
            continue
        outcome_type = MayHaveRun if query.may_have_started() else NotRun
        shard.failure = outcome_type(
            Reason.OVERLOADED,
            'entry.admission',
            shard.service,
            retry_after_ms=int(wait_s * 1000) + 1,
        )
        outcome = query.outcome()
        if isinstance(outcome, QueryAnswer):
            return outcome
        return shard.failure
    return None


def quarantine_outcome(query: Query, retry_after_ms: int) -> CallerOutcome:
    """Return the outcome of a query whose fingerprint is quarantined."""
    outcome_type = MayHaveRun if query.may_have_started() else NotRun
    return outcome_type(
        Reason.QUARANTINED,
        'entry.dispatch',
        query.route.group,
        retry_after_ms=retry_after_ms,
    )
