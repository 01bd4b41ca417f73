"""HTTP headers and statuses of the exchange with callers and targets."""

from collections.abc import Iterable, Mapping
from http import HTTPStatus

from oriolestage._logging import log_event
from oriolestage.entry._ports import RequestMetadata, Response
from oriolestage.platform import _names
from oriolestage.platform._header_values import (
    can_be_sent,
    is_list_element,
    is_visible,
    malformed,
    parse_decimal,
    parse_whole,
)
from oriolestage.routing._answers import (
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
    RequestResult,
    TargetAnswer,
)

MS_PER_S = 1000
#: Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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
#: Headers of a caller's request that are not forwarded, because they are set
#: anew for each target.
REPLACED_REQUEST_HEADERS = frozenset(
    (
        'content-length',
        'expect',
        _names.DEADLINE_HEADER.lower(),
        _names.TARGET_HEADER.lower(),
    ),
)
#: Headers that are forwarded even if ``Connection`` lists them: without them,
#: nobody can tell which request or answer it is (RFC 9110, section 7.6.1).
END_TO_END_HEADERS = frozenset(
    (
        'host',
        'content-length',
        'content-encoding',
        _names.REQUEST_ID_HEADER.lower(),
        _names.SIGNATURE_HEADER.lower(),
    ),
)
#: Headers of a caller's request that are not forwarded if the configuration
#: has accounts.
ACCOUNT_HEADERS = frozenset(
    (_names.KEY_HEADER.lower(), _names.ACCOUNT_HEADER.lower()),
)
#: Values of the header that says whether a target leaves.
LEAVING = '1'
NOT_LEAVING = '0'
#: Highest rate limit of a target, in requests per second.
MAX_RATE_LIMIT = 1_000_000_000.0
#: Longest time for which a target wants no request, in seconds: a day.
MAX_REST_S = 86_400.0
#: Maximum number of signatures in one header line; more take several lines.
SIGNATURES_PER_LINE = 50


class PlatformWireProtocol:
    """Implements the wire protocol of the platform."""

    def request_metadata(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the identity and deadline of a request from its headers.

        Raises ``ValueError`` if one of them is malformed or comes twice.
        """
        for name in (_names.DEADLINE_HEADER, _names.REQUEST_ID_HEADER):
            if len(_texts_of(headers.items(), name)) > 1:
                raise ValueError(f'{name} comes twice')
        text = headers.get(_names.DEADLINE_HEADER)
        time_left_s: float | None = None
        if text is not None:
            # Whole milliseconds, counted from when the caller sent the request.
            time_left_s = parse_whole(_names.DEADLINE_HEADER, text) / MS_PER_S
        request_id = headers.get(_names.REQUEST_ID_HEADER, '')
        if not is_visible(request_id):
            raise malformed(_names.REQUEST_ID_HEADER, request_id)
        return RequestMetadata(request_id, time_left_s)

    def account_key(self, headers: tuple[tuple[str, str], ...]) -> str | None:
        """Return the key of an account in a request's headers.

        None if there is none, if the header comes twice, or if it does not
        consist of the scheme, spaces and a key.
        """
        texts = _texts_of(headers, _names.KEY_HEADER)
        if len(texts) != 1:
            return None
        scheme, _, rest = texts[0].partition(' ')
        if scheme.lower() != _names.KEY_SCHEME.lower():
            return None
        return rest.strip(' ') or None

    def account_headers(
        self, headers: tuple[tuple[str, str], ...], account: str | None
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers to pass on, with the name of an account.

        The headers that ``Connection`` lists are removed here: it may list
        that of the account, which must stay.
        """
        passed_on = end_to_end_headers(headers, ACCOUNT_HEADERS)
        if account is not None:
            passed_on.append((_names.ACCOUNT_HEADER, account))
        return tuple(passed_on)

    def target_headers(
        self,
        headers: tuple[tuple[str, str], ...],
        target: str,
        time_left_s: float,
    ) -> list[tuple[str, str]]:
        """Return the headers to send to a target, from those of the caller."""
        forwarded = end_to_end_headers(headers, REPLACED_REQUEST_HEADERS)
        time_left_ms = max(1, int(time_left_s * MS_PER_S))
        forwarded.append((_names.DEADLINE_HEADER, str(time_left_ms)))
        # Only this target may run the request; any other one refuses it.
        forwarded.append((_names.TARGET_HEADER, target))
        return forwarded

    def outcome(self, request_id: str, answer: TargetAnswer) -> AttemptOutcome:
        """Return the outcome of an attempt from the response of the target.

        An attempt counts as not run only if the target says so. It is lost if
        the response may belong to another request, has different signatures
        or is a success without one.
        """
        echoed_ids = _texts_of(answer.headers, _names.REQUEST_ID_HEADER)
        if any(echoed_id != request_id for echoed_id in echoed_ids):
            return AttemptLost(step='answer.other_request')
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return AttemptNotRun(NotRunReason.OTHER_TARGET)
        if _texts_of(answer.headers, _names.NOT_RUN_HEADER):
            return AttemptNotRun(NotRunReason.SHED)
        if answer.success and not answer.signature:
            return AttemptLost(step='answer.unsigned')
        if len(set(_texts_of(answer.headers, _names.SIGNATURE_HEADER))) > 1:
            return AttemptLost(step='answer.signatures')
        return AttemptAnswered(answer)

    def rate_limit(self, headers: Mapping[str, str]) -> float | None:
        """Return the rate limit that a target states, None if it has none.

        Raises ``ValueError`` for anything but a decimal number from 0 to
        `MAX_RATE_LIMIT`.
        """
        text = headers.get(_names.RATE_LIMIT_HEADER)
        if text is None:
            return None
        return parse_decimal(_names.RATE_LIMIT_HEADER, text, MAX_RATE_LIMIT)

    def leaving(self, headers: Mapping[str, str]) -> bool:
        """Return whether a target states that it is about to leave.

        Raises ``ValueError`` if it states anything else.
        """
        text = headers.get(_names.LEAVING_HEADER, NOT_LEAVING)
        if text not in {LEAVING, NOT_LEAVING}:
            raise malformed(_names.LEAVING_HEADER, text)
        return text == LEAVING

    def rest_s(self, status: int, headers: Mapping[str, str]) -> float:
        """Return for how long a target wants no request of this host.

        0 if its response does not say so. Raises ``ValueError`` for anything
        but a decimal number from 0 to `MAX_REST_S`.
        """
        text = headers.get(_names.RETRY_AFTER_HEADER)
        if text is None or status != HTTPStatus.SERVICE_UNAVAILABLE:
            return 0
        return parse_decimal(_names.RETRY_AFTER_HEADER, text, MAX_REST_S)

    def signature(self, headers: Mapping[str, str]) -> str:
        """Return the signature of a target's response, empty if it has none.

        A text that cannot stand in a list of signatures is none, nor are
        several different ones.
        """
        signatures = set(_texts_of(headers.items(), _names.SIGNATURE_HEADER))
        if len(signatures) != 1:
            return ''
        text = signatures.pop()
        return text if is_list_element(text) else ''

    def response(self, result: RequestResult, request_id: str) -> Response:
        """Return the response to the caller for the result of its request."""
        match result:
            case Delivered(answer=answer):
                return Response(
                    answer.status,
                    _sendable_headers(answer),
                    answer.body,
                )
            case Gathered():
                return _build_merged_response(result, request_id)
            case Refused(reason=reason, retry_after_s=retry_after_s):
                return _build_refusal(reason, retry_after_s)
            case Failed(reason=reason):
                status = HTTPStatus.BAD_GATEWAY
                if reason == GiveUpReason.DEADLINE:
                    status = HTTPStatus.GATEWAY_TIMEOUT
                return Response(status, (), reason.value.encode())


def _texts_of(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    """Return the values of a header, one for each line with its name."""
    lower_name = name.lower()
    return [text for other, text in headers if other.lower() == lower_name]


def end_to_end_headers(
    headers: tuple[tuple[str, str], ...],
    excluded: frozenset[str],
) -> list[tuple[str, str]]:
    """Return the headers to forward, in order.

    Leaves out hop-by-hop headers, headers that ``Connection`` lists except
    for `END_TO_END_HEADERS`, and those whose lower-case names are in
    ``excluded``.
    """
    listed = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = HOP_BY_HOP_HEADERS | (listed - END_TO_END_HEADERS) | excluded
    return [
        (name, text) for name, text in headers if name.lower() not in dropped
    ]


def _sendable_headers(answer: TargetAnswer) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer to pass on to the caller.

    Headers with control characters are logged and left out: with them, the
    response could not be written at all.
    """
    sendable: list[tuple[str, str]] = []
    for name, text in end_to_end_headers(answer.headers, frozenset()):
        if can_be_sent(name) and can_be_sent(text):
            sendable.append((name, text))
            continue
        log_event('header_dropped', {'step': 'answer', 'name': name})
    return tuple(sendable)


def _build_merged_response(result: Gathered, request_id: str) -> Response:
    lines: list[tuple[str, str]] = [(_names.REQUEST_ID_HEADER, request_id)]
    signatures = result.signatures
    for start in range(0, len(signatures), SIGNATURES_PER_LINE):
        line = ', '.join(signatures[start : start + SIGNATURES_PER_LINE])
        lines.append((_names.SHARD_SIGNATURES_HEADER, line))
    lines.append((_names.MISSING_SHARDS_HEADER, str(result.missing)))
    return Response(HTTPStatus.OK, tuple(lines), result.body)


def _build_refusal(reason: GiveUpReason, retry_after_s: float) -> Response:
    if reason == GiveUpReason.UNKNOWN_ROUTE:
        return Response(HTTPStatus.NOT_FOUND, (), reason.value.encode())
    if reason == GiveUpReason.UNKNOWN_KEY:
        return Response(
            HTTPStatus.UNAUTHORIZED,
            ((_names.CHALLENGE_HEADER, _names.KEY_SCHEME),),
            reason.value.encode(),
        )
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if reason == GiveUpReason.OVER_QUOTA:
        status = HTTPStatus.TOO_MANY_REQUESTS
    return Response(
        status,
        ((_names.RETRY_AFTER_HEADER, f'{retry_after_s:.3f}'),),
        reason.value.encode(),
    )
