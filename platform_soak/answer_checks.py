"""Checks of what callers got from their hosts."""

from collections.abc import Iterator, Mapping, Set
from http import HTTPStatus

from platform_soak.answers import SEARCH_PREFIX, answer_body, part_records
from platform_soak.breaches import Breach, breach_of
from platform_soak.clients import MALFORMED, Call
from platform_soak.configurations import MIN_COVERAGE, SHARDS, TOP_RECORDS
from platform_soak.history import History
from platform_soak.messages import Message

HUNDRED = 100
#: Way of breaking answers that leaves the target's own failure.
FAILURE_WAY = 'status_500'


def check_answers(history: History) -> Iterator[Breach]:
    """MIXED: a success is the whole answer of targets to this request."""
    stamps = history.stamps_by_attempt()
    broken = history.broken_attempts()
    failed = history.failed_stamps(FAILURE_WAY)
    for call in history.calls:
        if call.problem == MALFORMED and call.attempt not in broken:
            yield breach_of('MIXED', call, 'bytes that are no answer')
        if call.answer is None:
            continue
        own = stamps.get(call.attempt, {})
        problem = _problem(call, call.answer, own, failed)
        if problem:
            yield breach_of('MIXED', call, problem)


def _problem(
    call: Call, answer: Message, own: Mapping[str, str], failed: Set[str]
) -> str:
    """Return what is wrong with an answer, or nothing."""
    echoed = answer.headers.get('attempt-id', call.attempt)
    if echoed != call.attempt:
        return f'answer to {echoed}'
    stamp = answer.headers.get('server-stamp', '')
    if answer.status // HUNDRED != HTTPStatus.OK // HUNDRED:
        # Failures of the stand-ins bear no signature.
        return f'{answer.status} with signature {stamp!r}' if stamp else ''
    if call.path.startswith(SEARCH_PREFIX):
        return _gathered_problem(call, answer, own, failed)
    if stamp not in own or stamp in failed:
        return f'signature {stamp!r}'
    expected = answer_body(call.path, call.attempt, own[stamp])
    return '' if answer.body == expected else 'another body'


def _gathered_problem(
    call: Call, answer: Message, own: Mapping[str, str], failed: Set[str]
) -> str:
    """Return what is wrong with a gathered answer, or nothing."""
    listed = answer.headers.get('part-stamps', '')
    stamps = [text.strip() for text in listed.split(',') if text.strip()]
    unknown = [stamp for stamp in stamps if stamp not in own or stamp in failed]
    if unknown or not stamps:
        return f'signatures {unknown}'
    services = [own[stamp] for stamp in stamps]
    missing = answer.headers.get('missing-shards', '0')
    if len(set(services)) != len(services):
        return 'two parts of one shard'
    if str(len(SHARDS) - len(services)) != missing:
        return f'{len(services)} parts and {missing} missing'
    if len(services) < MIN_COVERAGE * len(SHARDS):
        return f'{len(services)} parts'
    records: list[bytes] = []
    for service in services:
        records.extend(part_records(call.attempt, service))
    expected = b''.join(sorted(records, reverse=True)[:TOP_RECORDS])
    return '' if answer.body == expected else 'other records'
