"""Checks a run against the rules of the platform, from outside of the hosts.

Each check returns a line for each breach. Where a rule has excuses that need
more than a run records, a check counts less than the rule does, never more.
"""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from http import HTTPStatus

from platform_soak.answers import SEARCH_PREFIX, answer_body, part_records
from platform_soak.callers import PROMISES
from platform_soak.clients import Call
from platform_soak.configurations import (
    MIN_COVERAGE,
    SHARDS,
    TOP_RECORDS,
    Version,
)
from platform_soak.disruptions import STORE
from platform_soak.faults import GRACE_S
from platform_soak.history import History

#: Time within which an acknowledged version is in force (``configApplyMs``),
#: a target that leaves gets nothing more (``drainMs``) and an evacuated data
#: centre neither (``evacuateMs``), in seconds.
APPLY_S = 4.0
DRAIN_S = 4.0
EVACUATE_S = 5.0
#: Time between the sending of a request and its arrival at a target that the
#: checks allow for in addition, in seconds.
TRANSFER_S = 0.25
#: Requests sent later than this after a stop signal are never excused, in
#: seconds, and the last part of the grace.
EXCUSED_S = 3.0
LAST_PART = 5 / 6
#: Requests that may be cut outside of planned work.
CUT_ALLOWED = 3
#: Share of the requests in the calm at the end that have to be answered.
SERVED_SHARE = 0.98
#: Memory of a host, in MB, and the most that it may log, in bytes a second.
MEMORY_MB = 300
LOG_BYTES_PER_S = 200_000


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken."""

    rule: str
    #: Time of the record, in seconds.
    at: float
    text: str


def check_all(history: History) -> list[Breach]:
    """Return all breaches, by time."""
    breaches: list[Breach] = []
    for check in CHECKS:
        breaches.extend(check(history))
    return sorted(breaches, key=lambda breach: breach.at)


def check_runs(history: History) -> Iterator[Breach]:
    """TWICE and REFUSED: what may run once, and what was refused."""
    runs = history.runs_by_attempt()
    for call in history.calls:
        count = len(runs.get(call.attempt, ()))
        if call.repeatable or not count:
            continue
        if count > 1:
            yield _breach('TWICE', call, f'ran {count} times')
        if call.answer is not None and call.answer.status in PROMISES:
            yield _breach('REFUSED', call, f'{call.answer.status} and ran')


def check_answers(history: History) -> Iterator[Breach]:
    """MIXED: a success is the whole answer of targets to this request."""
    stamps = history.stamps_by_attempt()
    for call in history.calls:
        answer = call.answer
        if answer is None:
            continue
        echoed = answer.headers.get('attempt-id', call.attempt)
        if echoed != call.attempt:
            yield _breach('MIXED', call, f'answer to {echoed}')
        if answer.status != HTTPStatus.OK:
            continue
        own = stamps.get(call.attempt, {})
        if call.path.startswith(SEARCH_PREFIX):
            problem = _gathered_problem(call, own)
        else:
            problem = _single_problem(call, own)
        if problem:
            yield _breach('MIXED', call, problem)


def check_configuration(history: History) -> Iterator[Breach]:
    """CONFIG: requests are handled as a version that is due allows."""
    runs = history.runs_by_attempt()
    for call in history.calls:
        due = _due_version(history, call)
        if due is None or call.path.startswith(SEARCH_PREFIX):
            continue
        allowed = {
            _service_of(version, call.path)
            for version in history.versions
            if version.number >= due.number
        }
        for run in runs.get(call.attempt, ()):
            if run.service not in allowed:
                yield _breach('CONFIG', call, f'run by {run.service}')
        refused = call.answer is not None and (
            call.answer.status == HTTPStatus.NOT_FOUND
        )
        if refused and '' not in allowed:
            yield _breach('CONFIG', call, f'404 at version {due.number}')


def check_leaving(history: History) -> Iterator[Breach]:
    """DRAIN: nothing new reaches a target that has left."""
    left_at = {
        event['server']: event['at']
        for event in history.events
        if event['kind'] == 'leaving'
    }
    for call, server, reached_at in _arrivals(history):
        since = left_at.get(server)
        if since is None or reached_at <= since + DRAIN_S + TRANSFER_S:
            continue
        if history.disruptions.in_touch(call.host.name, since, reached_at):
            late_s = reached_at - since
            yield _breach(
                'DRAIN', call, f'reached {server} after {late_s:.2f} s'
            )


def check_evacuations(history: History) -> Iterator[Breach]:
    """EVAC: nothing new reaches an evacuated data centre."""
    for call, server, reached_at in _arrivals(history):
        for evacuation in history.evacuations:
            due_at = evacuation.start + EVACUATE_S + TRANSFER_S
            if history.zones.get(server) != evacuation.zone:
                continue
            if not due_at < reached_at < evacuation.end:
                continue
            if history.disruptions.in_touch(
                call.host.name, evacuation.start, reached_at
            ):
                yield _breach('EVAC', call, f'reached {server}')


def check_planned_stops(history: History) -> Iterator[Breach]:
    """LOST: a planned stop cuts nothing that was passed on."""
    for call in _cut_while_running(history):
        for stopped_at in history.hosts[call.host.name].stopped_at:
            if _is_excused(call, stopped_at):
                continue
            after_s = _sent_at(call) - stopped_at
            yield _breach(
                'LOST', call, f'sent {after_s:.2f} s after SIGTERM and cut'
            )


def check_kept_connections(history: History) -> Iterator[Breach]:
    """LOST: hosts do not close kept connections on running requests."""
    cut = [
        call
        for call in _cut_while_running(history)
        if call.kept
        and history.disruptions.in_touch(
            call.host.name, _sent_at(call), call.ended_at
        )
    ]
    if len(cut) > CUT_ALLOWED:
        for call in cut:
            yield _breach('LOST', call, 'closed while it ran')


def check_processes(history: History) -> Iterator[Breach]:
    """Hosts that end by themselves, take too much memory or log too much."""
    for name, host in history.hosts.items():
        for ended_at in host.ended_at:
            yield Breach('ENDED', ended_at, f'{name} ended by itself')
        if host.memory_mb > MEMORY_MB:
            text = f'{name} took {host.memory_mb:.0f} MB'
            yield Breach('MEMORY', history.length_s, text)
        if host.log_bytes > LOG_BYTES_PER_S * history.length_s:
            text = f'{name} logged {host.log_bytes} bytes'
            yield Breach('LOG', history.length_s, text)


def check_recovery(history: History) -> Iterator[Breach]:
    """SERVED: once nothing is disturbed, callers are served."""
    calls = [
        call
        for call in history.calls
        if call.started_at >= history.calm_from
        and not call.path.startswith('/added-')
    ]
    served = sum(
        1
        for call in calls
        if call.answer is not None and call.answer.status == HTTPStatus.OK
    )
    if not calls:
        yield Breach('SERVED', history.calm_from, 'no requests at the end')
    elif served < SERVED_SHARE * len(calls):
        text = f'{served} of {len(calls)} requests at the end'
        yield Breach('SERVED', history.calm_from, text)


Check = Callable[[History], Iterator[Breach]]
CHECKS: tuple[Check, ...] = (
    check_runs,
    check_answers,
    check_configuration,
    check_leaving,
    check_evacuations,
    check_planned_stops,
    check_kept_connections,
    check_processes,
    check_recovery,
)


def _breach(rule: str, call: Call, text: str) -> Breach:
    return Breach(
        rule,
        _sent_at(call),
        f'{call.attempt} {call.path} at {call.host.name}: {text}',
    )


def _single_problem(call: Call, own: Mapping[str, str]) -> str:
    """Return what is wrong with the answer of one target, or nothing."""
    assert call.answer is not None
    stamp = call.answer.headers.get('server-stamp', '')
    if stamp not in own:
        return f'signature {stamp!r}'
    expected = answer_body(call.path, call.attempt, own[stamp])
    return '' if call.answer.body == expected else 'another body'


def _gathered_problem(call: Call, own: Mapping[str, str]) -> str:
    """Return what is wrong with a gathered answer, or nothing."""
    assert call.answer is not None
    headers = call.answer.headers
    listed = headers.get('part-stamps', '')
    stamps = [text.strip() for text in listed.split(',') if text.strip()]
    unknown = [stamp for stamp in stamps if stamp not in own]
    if unknown or not stamps:
        return f'signatures {unknown}'
    services = [own[stamp] for stamp in stamps]
    missing = int(headers.get('missing-shards', '0'))
    if len(set(services)) != len(services):
        return 'two parts of one shard'
    if len(services) + missing != len(SHARDS):
        return f'{len(services)} parts and {missing} missing'
    if len(services) < MIN_COVERAGE * len(SHARDS):
        return f'{len(services)} parts'
    records: list[bytes] = []
    for service in services:
        records.extend(part_records(call.attempt, service))
    expected = b''.join(sorted(records, reverse=True)[:TOP_RECORDS])
    return '' if call.answer.body == expected else 'other records'


def _due_version(history: History, call: Call) -> Version | None:
    """Return the version that is due for a request; None if none is."""
    if call.sent_at is None:
        return None
    due = [
        version
        for version in history.versions
        if version.acknowledged_at + APPLY_S < call.sent_at
    ]
    if not due:
        return None
    newest = due[-1]
    calm = history.disruptions.in_touch(
        call.host.name, newest.acknowledged_at, call.sent_at
    )
    return newest if calm else None


def _service_of(version: Version, path: str) -> str:
    """Return the service of a path, empty if there is no route."""
    for prefix, service in version.services.items():
        if path.startswith(prefix):
            return service
    return ''


def _arrivals(history: History) -> Iterator[tuple[Call, str, float]]:
    """Yield each arrival at a target with its call."""
    calls = {call.attempt: call for call in history.calls}
    for event in history.events:
        call = calls.get(event.get('attempt', ''))
        if event['kind'] == 'reached' and call is not None:
            yield call, event['server'], event['at']


def _cut_while_running(history: History) -> Iterator[Call]:
    """Yield the calls that were passed on and ended without an answer.

    Those are left out that reached their deadline, or during which a target
    that ran them or the store was disturbed.
    """
    runs = history.runs_by_attempt()
    for call in history.calls:
        if call.answer is not None or call.sent_at is None:
            continue
        names = [run.server for run in runs.get(call.attempt, ())]
        if not names or call.problem == 'deadline':
            continue
        disturbed = any(
            history.disruptions.touches(name, call.sent_at, call.ended_at)
            for name in (*names, STORE)
        )
        if not disturbed:
            yield call


def _is_excused(call: Call, stopped_at: float) -> bool:
    """Return whether a call that was cut does not count for a stop."""
    if not stopped_at <= call.ended_at <= stopped_at + GRACE_S + 1:
        return True
    in_last_part = call.ended_at >= stopped_at + GRACE_S * LAST_PART
    return in_last_part and _sent_at(call) <= stopped_at + EXCUSED_S


def _sent_at(call: Call) -> float:
    return call.started_at if call.sent_at is None else call.sent_at
