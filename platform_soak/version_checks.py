"""Checks that hosts do not go back to older versions, and deny nothing."""

import dataclasses
from collections.abc import Iterator, Sequence
from http import HTTPStatus

from platform_soak.answers import SEARCH_PREFIX
from platform_soak.breaches import Breach, breach_of
from platform_soak.clients import Call
from platform_soak.configurations import Version, service_of
from platform_soak.disruptions import RESTARTS
from platform_soak.history import History, Run
from platform_soak.placement_checks import (
    APPLY_S,
    handling_problem,
    is_in_touch,
)

#: Time after a target has seen the effect of a version from which its host
#: may not go back (``downgradeSlackMs``), in seconds.
DOWNGRADE_SLACK_S = 0.25
#: Own answers with these statuses promise that nothing has run.
PROMISES = frozenset((408, 421, 429))
#: Own answers that say that a request is not allowed.
DENIALS = frozenset((401, 403, 404))
#: Requests that the rules allow to be denied: so many, and one in so many; and
#: those that hosts that are not in touch may deny.
DENIED_ALLOWED = 5
DENIED_SHARE = 1 / 500
DENIED_OUT_OF_TOUCH_ALLOWED = 10


@dataclasses.dataclass(frozen=True, slots=True)
class _Effect:
    """A run that only a version and newer ones allow."""

    at: float
    number: int


def check_downgrades(history: History) -> Iterator[Breach]:
    """CONFIG: a host that has used a version does not use an older one."""
    for name in history.hosts:
        calls = [
            call
            for call in history.calls
            if call.host.name == name and _is_changed(history, call)
        ]
        yield from _downgrades(history, calls)


def check_denied(history: History) -> Iterator[Breach]:
    """DENIED: hosts do not deny what each version in force allows."""
    denied = [
        call
        for call in history.calls
        if _is_denied(call) and _is_allowed(history, call)
    ]
    in_touch = [
        call
        for call in denied
        if is_in_touch(history, call, call.last_sent_at, APPLY_S)
    ]
    out_of_touch = [
        call
        for call in denied
        if not is_in_touch(history, call, call.last_sent_at, APPLY_S)
        and _status(call) in DENIALS
        and _is_always_allowed(history, call)
    ]
    counted = [*in_touch, *out_of_touch]
    too_many = len(counted) > (
        DENIED_ALLOWED + DENIED_SHARE * len(history.calls)
    )
    if too_many or len(out_of_touch) > DENIED_OUT_OF_TOUCH_ALLOWED:
        for call in counted:
            yield breach_of('DENIED', call, f'own {_status(call)}')


def _downgrades(history: History, calls: Sequence[Call]) -> Iterator[Breach]:
    """Yield the breaches among the calls of one host."""
    runs = history.runs_by_attempt()
    effects = [
        _Effect(run.at, _oldest(history.versions, call.path, run))
        for call in calls
        for run in runs.get(call.attempt, ())
    ]
    for call in calls:
        versions = _not_older(history, effects, call)
        problem = handling_problem(call, runs.get(call.attempt, ()), versions)
        if problem:
            yield breach_of('CONFIG', call, f'went back: {problem}')


def _oldest(versions: Sequence[Version], path: str, run: Run) -> int:
    """Return the number of the oldest version that allows a run, or 0."""
    numbers = [
        version.number
        for version in versions
        if service_of(version, path) == run.service
    ]
    return min(numbers, default=0)


def _is_changed(history: History, call: Call) -> bool:
    """Return whether versions differ about the path of a call."""
    services = {service_of(version, call.path) for version in history.versions}
    return len(services) > 1


def _not_older(
    history: History, effects: Sequence[_Effect], call: Call
) -> list[Version]:
    """Return the versions by which a call may be handled.

    They are not older than those whose effect a target saw of the host since
    its last start.
    """
    sent_at = call.last_sent_at
    newest = max(
        (
            effect.number
            for effect in effects
            if effect.at + DOWNGRADE_SLACK_S < sent_at
            and not history.disruptions.touches(
                call.host.name, effect.at, sent_at, RESTARTS
            )
        ),
        default=0,
    )
    return [
        version
        for version in history.versions
        if version.number >= newest and version.acknowledged_at < call.ended_at
    ]


def _status(call: Call) -> int:
    return 0 if call.answer is None else call.answer.status


def _is_denied(call: Call) -> bool:
    """Return whether the answer is a 3xx or 4xx of the host itself."""
    status = _status(call)
    denies = HTTPStatus.MULTIPLE_CHOICES <= status
    denies = denies and status < HTTPStatus.INTERNAL_SERVER_ERROR
    return denies and status not in PROMISES


def _is_allowed(history: History, call: Call) -> bool:
    """Return whether each version that may be in force allows a call."""
    due = [
        version.number
        for version in history.versions
        if version.acknowledged_at + APPLY_S < call.last_sent_at
    ]
    oldest = max(due, default=0)
    return all(
        _allows(version, call)
        for version in history.versions
        if version.number >= oldest and version.acknowledged_at < call.ended_at
    )


def _is_always_allowed(history: History, call: Call) -> bool:
    return all(_allows(version, call) for version in history.versions)


def _allows(version: Version, call: Call) -> bool:
    if not version.allows_key(call.key):
        return False
    if call.path.startswith(SEARCH_PREFIX):
        return True
    return bool(service_of(version, call.path))
