"""Checks of the targets that requests reach.

A bound of some seconds after an acknowledgement holds for a host that has
been in touch for as long, also if it was not at the acknowledgement.
"""

from collections.abc import Iterator, Sequence
from http import HTTPStatus

from platform_soak.answers import SEARCH_PREFIX
from platform_soak.breaches import Breach, breach_of
from platform_soak.clients import Call
from platform_soak.configurations import Version, service_of
from platform_soak.disruptions import CONTACT_S, STORE
from platform_soak.history import History, Run

#: Time within which an acknowledged version is in force (``configApplyMs``),
#: a target that leaves gets nothing more (``drainMs``) and an evacuated data
#: centre neither (``evacuateMs``), in seconds.
APPLY_S = 4.0
DRAIN_S = 4.0
EVACUATE_S = 5.0


def check_configuration(history: History) -> Iterator[Breach]:
    """CONFIG: requests are handled as a version that is due allows."""
    runs = history.runs_by_attempt()
    for call in history.calls:
        due = due_versions(history, call)
        if not due or call.path.startswith(SEARCH_PREFIX):
            continue
        problem = handling_problem(call, runs.get(call.attempt, ()), due)
        if problem:
            yield breach_of('CONFIG', call, problem)


def check_leaving(history: History) -> Iterator[Breach]:
    """DRAIN: nothing new reaches a target that has left."""
    left_at = {
        event['server']: event['at']
        for event in history.events
        if event['kind'] == 'leaving'
    }
    for arrival in history.arrivals():
        call, server, reached_at = arrival.call, arrival.server, arrival.at
        since = left_at.get(server, reached_at)
        late_s = reached_at - since
        if late_s <= DRAIN_S:
            continue
        if history.disruptions.touches(STORE, since - CONTACT_S, since):
            continue
        if is_in_touch(history, call, reached_at, DRAIN_S):
            text = f'reached {server} after {late_s:.2f} s'
            yield breach_of('DRAIN', call, text)


def check_evacuations(history: History) -> Iterator[Breach]:
    """EVAC: nothing new reaches an evacuated data centre."""
    for arrival in history.arrivals():
        call, server, reached_at = arrival.call, arrival.server, arrival.at
        closed = any(
            evacuation.zone == history.zones.get(server)
            and evacuation.start + EVACUATE_S < reached_at < evacuation.end
            for evacuation in history.evacuations
        )
        if closed and is_in_touch(history, call, reached_at, EVACUATE_S):
            yield breach_of('EVAC', call, f'reached {server}')


def is_in_touch(history: History, call: Call, at: float, for_s: float) -> bool:
    """Return whether the host of a call has been in touch for a time."""
    return history.disruptions.in_touch(call.host.name, at - for_s, at)


def handling_problem(
    call: Call, runs: Sequence[Run], versions: Sequence[Version]
) -> str:
    """Return what no version allows of how a call was handled, or nothing."""
    allowed = {service_of(version, call.path) for version in versions}
    for run in runs:
        if run.service not in allowed:
            return f'run by {run.service}'
    refused = call.answer is not None and (
        call.answer.status == HTTPStatus.NOT_FOUND
    )
    if refused and '' not in allowed:
        return f'404 from version {versions[0].number} on'
    return ''


def due_versions(history: History, call: Call) -> list[Version]:
    """Return the version that is due for a request and all newer ones.

    There is none for hosts that are not in touch.
    """
    sent_at = call.sent_at
    if sent_at is None or not is_in_touch(history, call, sent_at, APPLY_S):
        return []
    due = [
        version.number
        for version in history.versions
        if version.acknowledged_at + APPLY_S < sent_at
    ]
    if not due:
        return []
    return [
        version
        for version in history.versions
        if version.number >= due[-1] and version.acknowledged_at < call.ended_at
    ]
