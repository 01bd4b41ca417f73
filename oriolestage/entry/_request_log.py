"""Log events and metrics of requests."""

import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._run_driver import RunTimings
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._run_types import (
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    BatchOutcome,
    SendAttempt,
    SendBatch,
)

MS_PER_S = 1000


class RequestLog:
    """Logs and counts the outcomes of requests, attempts and batches."""

    def __init__(
        self,
        metrics: EntryMetrics,
        store_age_s: Callable[[], float],
    ) -> None:
        """Create a log.

        ``store_age_s`` returns the age of the copy of the store, which
        is logged with each request.
        """
        self._metrics = metrics
        self._store_age_s = store_age_s

    def record_completion(
        self,
        request: CallerRequest,
        route: str,
        version: int,
        result: RequestResult | str,
        summary: dict[str, object],
        timings: RunTimings,
    ) -> None:
        """Record the end of a request.

        ``result`` is the text ``caller_left`` if the caller closed the
        connection before there was a result. ``version`` is that of the
        configuration by which the request was routed, ``summary`` has
        further fields of the log event, and ``timings`` is the time that this
        host added.
        """
        duration_s = time.monotonic() - request.arrived_at
        self._metrics.record_request(route, result, duration_s)
        self._metrics.record_own_time(timings)
        log_event(
            'request_done',
            {
                'id': request.metadata.request_id,
                'route': route,
                'version': version,
                'outcome': _result_text(result),
                'took_ms': duration_s * MS_PER_S,
                'store_age_s': self._store_age_s(),
                'decision_ms': timings.decision_s * MS_PER_S,
                'event_delay_ms': timings.event_delay_s * MS_PER_S,
                'timer_delay_ms': timings.timer_delay_s * MS_PER_S,
                **summary,
            },
        )

    def record_refusal(self, request: CallerRequest, result: Refused) -> None:
        """Record a request that was refused without a run."""
        self._metrics.record_request('none', result, 0)
        if result.reason == GiveUpReason.OVER_QUOTA:
            # One line for many such requests is written elsewhere.
            return
        log_event(
            'request_refused',
            {
                'id': request.metadata.request_id,
                'host': request.host,
                'path': request.path,
                'reason': result.reason.value,
                'retry_after_s': result.retry_after_s,
                'store_age_s': self._store_age_s(),
            },
        )

    def record_attempt(
        self,
        request: CallerRequest,
        action: SendAttempt,
        outcome: AttemptOutcome,
        sent_at: float,
    ) -> None:
        """Record the outcome of an attempt; log it unless it succeeded."""
        self._metrics.record_attempt(outcome, action)
        failure_step = _failure_step(outcome)
        if not failure_step:
            return
        record = action.target.record
        log_event(
            'attempt_failed',
            {
                'id': request.metadata.request_id,
                'step': failure_step,
                'peer': record.address,
                'target': record.identity,
                'service': record.service,
                'hedge': action.hedge,
                'relay': '' if action.relay is None else action.relay.name,
                'after_ms': (time.monotonic() - sent_at) * MS_PER_S,
            },
        )

    def record_batch_reply(
        self,
        request: CallerRequest,
        action: SendBatch,
        outcome: BatchOutcome,
        sent_at: float,
    ) -> None:
        """Record a reply to a batch, or the loss of the batch."""
        self._metrics.record_batch_reply(outcome)
        log_event(
            'batch_reply',
            {
                'id': request.metadata.request_id,
                'step': _batch_step(outcome),
                'peer': action.peer.name,
                'shards': len(action.parts),
                'merged': action.merged,
                'after_ms': (time.monotonic() - sent_at) * MS_PER_S,
            },
        )


def _failure_step(outcome: AttemptOutcome) -> str:
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


def _result_text(result: RequestResult | str) -> str:
    if isinstance(result, str):
        return result
    name = type(result).__name__.lower()
    reason = getattr(result, 'reason', None)
    return name if reason is None else f'{name}:{reason.value}'
