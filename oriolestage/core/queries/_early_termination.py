"""Ends queries early that cannot be served or must not run.

When a shard has no target with room, what is left of the targets' time goes
to queries that can still be whole. The caller hears at once when to come
back.
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
    """Give the outcome of a query that ends now; None if it goes on."""
    for shard in shards:
        wait_s = sender.overloaded_for(shard.service, query.version)
        if wait_s <= 0 or shard.attempts:
            continue
        refusal = MayHaveRun if query.may_have_started() else NotRun
        shard.failure = refusal(
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
    """Give the outcome of a query that makes targets crash."""
    refusal = MayHaveRun if query.may_have_started() else NotRun
    return refusal(
        Reason.QUARANTINED,
        'entry.dispatch',
        query.route.group,
        retry_after_ms=retry_after_ms,
    )
