"""The lines and counts that one request leaves behind."""

import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Refused,
    RequestResult,
)
from oriolestage.relay._run_types import (
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
    SendAttempt,
    SendBatch,
)

MS_PER_S = 1000


class RequestLog:
    """Logs and counts what was decided on requests and why."""

    def __init__(
        self,
        metrics: EntryMetrics,
        store_age_s: Callable[[], float],
    ) -> None:
        """Log with the age of what is known from the store."""
        self._metrics = metrics
        self._store_age_s = store_age_s

    def note_done(
        self,
        request: CallerRequest,
        route: str,
        version: int,
        result: RequestResult | str,
        summary: dict[str, object],
    ) -> None:
        """Note how a request ended; ``caller_left`` if it was not waited for.

        ``summary`` is what its run did, ``version`` that of its table.
        """
        took_s = time.monotonic() - request.arrived
        self._metrics.note_request(route, result, took_s)
        log_event(
            'request_done',
            {
                'id': request.facts.request_id,
                'route': route,
                'version': version,
                'outcome': _outcome_text(result),
                'took_ms': took_s * MS_PER_S,
                'store_age_s': self._store_age_s(),
                **summary,
            },
        )

    def note_refused(self, request: CallerRequest, result: Refused) -> None:
        """Note a request that no rule applies to."""
        self._metrics.note_request('none', result, 0)
        log_event(
            'request_refused',
            {
                'id': request.facts.request_id,
                'host': request.host,
                'path': request.path,
                'reason': result.reason.value,
                'retry_after_s': result.retry_after_s,
                'store_age_s': self._store_age_s(),
            },
        )

    def note_attempt(
        self,
        request: CallerRequest,
        action: SendAttempt,
        outcome: AttemptOutcome,
        sent_at: float,
    ) -> None:
        """Note what became of an attempt at a target."""
        self._metrics.note_attempt(outcome, hedge=action.hedge)
        problem = _problem(outcome)
        if not problem:
            return
        record = action.target.record
        log_event(
            'attempt_failed',
            {
                'id': request.facts.request_id,
                'step': problem,
                'peer': record.address,
                'target': record.identity,
                'service': record.service,
                'hedge': action.hedge,
                'after_ms': (time.monotonic() - sent_at) * MS_PER_S,
            },
        )

    def note_batch(
        self,
        request: CallerRequest,
        action: SendBatch,
        outcome: BatchOutcome,
        sent_at: float,
    ) -> None:
        """Note a reply to a batch, or its loss."""
        self._metrics.note_batch(outcome)
        log_event(
            'batch_reply',
            {
                'id': request.facts.request_id,
                'step': _batch_step(outcome),
                'peer': action.peer.name,
                'shards': len(action.parts),
                'merged': action.merged,
                'after_ms': (time.monotonic() - sent_at) * MS_PER_S,
            },
        )


def _problem(outcome: AttemptOutcome) -> str:
    match outcome:
        case AttemptNotRun(reason=reason):
            return f'target.{reason.value}'
        case AttemptLost(step=step):
            return step
        case AttemptAnswered(answer=answer) if not answer.success:
            return f'target.status_{answer.status}'
    return ''


def _batch_step(outcome: BatchOutcome) -> str:
    match outcome:
        case BatchLost(step=step):
            return step
        case BatchAnswered(signatures=signatures):
            return f'answered_{len(signatures)}'
        case BatchDeclined(retry_after_s=retry_after_s):
            return f'declined_{len(retry_after_s)}'


def _outcome_text(result: RequestResult | str) -> str:
    if isinstance(result, str):
        return result
    name = type(result).__name__.lower()
    reason = getattr(result, 'reason', None)
    return name if reason is None else f'{name}:{reason.value}'
