"""Requests and answers as callers and targets write them."""

from collections.abc import Mapping
from http import HTTPStatus

from oriolestage.entry._ports import RequestFacts, Response
from oriolestage.platform import _names
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    NotRunReason,
    Refused,
    TargetAnswer,
    Verdict,
)

MS_PER_S = 1000
#: Headers that concern one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
#: Headers of a request that are written anew for a target.
OWN_REQUEST_HEADERS = frozenset(
    (
        'content-length',
        'expect',
        _names.DEADLINE_HEADER.lower(),
        _names.TARGET_HEADER.lower(),
    ),
)
#: Signatures in one header line; longer lists use several lines.
SIGNATURES_IN_LINE = 50


class PlatformWireProtocol:
    """Implements the exchange port for the platform."""

    def request_facts(self, headers: Mapping[str, str]) -> RequestFacts:
        """Read what a caller says; raises ValueError for bad values."""
        text = headers.get(_names.DEADLINE_HEADER)
        time_left_s: float | None = None
        if text is not None:
            # Whole milliseconds that the caller waits from its sending on.
            time_left_s = int(text) / MS_PER_S
            if time_left_s < 0:
                raise ValueError(f'{_names.DEADLINE_HEADER} is negative')
        return RequestFacts(
            request_id=headers.get(_names.REQUEST_ID_HEADER, ''),
            time_left_s=time_left_s,
        )

    def target_headers(
        self,
        headers: tuple[tuple[str, str], ...],
        target: str,
        time_left_s: float,
    ) -> list[tuple[str, str]]:
        """Give the headers for a target from those of the caller."""
        passed = end_to_end(headers, OWN_REQUEST_HEADERS)
        left_ms = max(1, int(time_left_s * MS_PER_S))
        passed.append((_names.DEADLINE_HEADER, str(left_ms)))
        # Names the one target that may run the request; any other refuses.
        passed.append((_names.TARGET_HEADER, target))
        return passed

    def outcome(self, request_id: str, answer: TargetAnswer) -> AttemptOutcome:
        """Tell what a target's response means."""
        by_name = {name.lower(): text for name, text in answer.headers}
        echoed = by_name.get(_names.REQUEST_ID_HEADER.lower())
        if echoed is not None and echoed != request_id:
            return AttemptLost(step='answer.other_request')
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return AttemptNotRun(NotRunReason.OTHER_TARGET)
        if _names.NOT_RUN_HEADER.lower() in by_name:
            return AttemptNotRun(NotRunReason.SHED)
        if answer.success and not answer.signature:
            return AttemptLost(step='answer.unsigned')
        return AttemptAnswered(answer)

    def signature(self, headers: Mapping[str, str]) -> str:
        """Give the signature of a target's response."""
        return headers.get(_names.SIGNATURE_HEADER, '')

    def response(self, verdict: Verdict, request_id: str) -> Response:
        """Write the final answer of a request."""
        match verdict:
            case Delivered(answer=answer):
                return Response(
                    answer.status,
                    tuple(
                        end_to_end(answer.headers, frozenset()),
                    ),
                    answer.body,
                )
            case Gathered():
                return _gathered(verdict, request_id)
            case Refused(reason=reason, retry_after_s=retry_after_s):
                return _refused(reason, retry_after_s)
            case Failed(reason=reason):
                status = HTTPStatus.BAD_GATEWAY
                if reason == GiveUpReason.DEADLINE:
                    status = HTTPStatus.GATEWAY_TIMEOUT
                return Response(status, (), reason.value.encode())


def end_to_end(
    headers: tuple[tuple[str, str], ...],
    own: frozenset[str],
) -> list[tuple[str, str]]:
    """Give the headers that are passed on, without those in ``own``."""
    named = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = CONNECTION_HEADERS | named | own
    return [
        (name, text) for name, text in headers if name.lower() not in dropped
    ]


def _gathered(verdict: Gathered, request_id: str) -> Response:
    lines: list[tuple[str, str]] = [(_names.REQUEST_ID_HEADER, request_id)]
    signatures = verdict.signatures
    for start in range(0, len(signatures), SIGNATURES_IN_LINE):
        line = ', '.join(signatures[start : start + SIGNATURES_IN_LINE])
        lines.append((_names.SHARD_SIGNATURES_HEADER, line))
    lines.append((_names.MISSING_SHARDS_HEADER, str(verdict.missing)))
    return Response(HTTPStatus.OK, tuple(lines), verdict.body)


def _refused(reason: GiveUpReason, retry_after_s: float) -> Response:
    if reason == GiveUpReason.UNKNOWN_ROUTE:
        return Response(HTTPStatus.NOT_FOUND, (), reason.value.encode())
    return Response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        ((_names.RETRY_AFTER_HEADER, f'{retry_after_s:.3f}'),),
        reason.value.encode(),
    )
