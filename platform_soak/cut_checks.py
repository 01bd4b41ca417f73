"""Checks of connections that end without an answer."""

from collections.abc import Iterator

from platform_soak.breaches import Breach, breach_of
from platform_soak.clients import DEADLINE, LEFT, Call
from platform_soak.configurations import TIMEOUT_MS
from platform_soak.disruptions import CONTACT_S, STORE, UNPLANNED
from platform_soak.faults import GRACE_S
from platform_soak.history import History
from platform_soak.placement_checks import APPLY_S

#: Requests sent later than this after a stop signal are never excused, in
#: seconds, and the last part of the grace.
EXCUSED_S = 3.0
LAST_PART = 5 / 6
#: Time after ``graceS`` and ``configApplyMs`` that counts as planned work, in
#: seconds.
AFTERWARDS_S = 1.0
#: Time after its last byte within which a request that was not passed on may
#: be cut (``lossSlackMs``), in seconds.
LOSS_SLACK_S = 0.2
#: Requests that may be cut outside of planned work.
CUT_ALLOWED = 3
#: Beside a configuration, cuts count if there are so many times as many as
#: usual, for requests that have used less than this share of their time.
USUAL_TIMES = 3
MOST_USED = 0.7
MS_PER_S = 1000
#: Problems of calls that no host has caused.
EXCUSES = frozenset((DEADLINE, LEFT))


def check_planned_work(history: History) -> Iterator[Breach]:
    """LOST: stops and reloads cut no request that a host has read."""
    for call in _cut_beside_plans(history):
        host = history.hosts[call.host.name]
        for stopped_at in host.stopped_at:
            if _is_excused(history, call, stopped_at):
                continue
            after_s = call.last_sent_at - stopped_at
            yield breach_of(
                'LOST', call, f'sent {after_s:.2f} s after SIGTERM and cut'
            )
        for reloaded_at in host.reloaded_at:
            sent_after_s = call.last_sent_at - reloaded_at
            if sent_after_s <= APPLY_S and call.ended_at > reloaded_at:
                yield breach_of('LOST', call, 'cut after SIGHUP')


def check_reconfigurations(history: History) -> Iterator[Breach]:
    """LOST: versions that come into force cut no request."""
    for name in history.hosts:
        calls = [call for call in history.calls if call.host.name == name]
        beside = [call for call in calls if _is_beside(history, call)]
        cut = [
            call
            for call in _cut_beside_plans(history)
            if call.host.name == name and not _is_in_stop(history, call)
        ]
        cut_beside = [call for call in cut if _is_beside(history, call)]
        counted = [call for call in cut_beside if not _is_nearly_over(call)]
        others = len(cut) - len(cut_beside)
        usual = others * len(beside)
        if len(counted) * (len(calls) - len(beside)) <= USUAL_TIMES * usual:
            continue
        for call in counted:
            yield breach_of('LOST', call, 'cut beside a new version')


def check_kept_connections(history: History) -> Iterator[Breach]:
    """LOST: hosts do not close kept connections on requests passed on."""
    reached = history.targets_by_attempt()
    cut = [
        call
        for call in _cut(history)
        if call.kept
        and reached.get(call.attempt)
        and not _is_disturbed(history, call, reached[call.attempt])
        and history.disruptions.in_touch(
            call.host.name, call.last_sent_at, call.ended_at
        )
    ]
    if len(cut) > CUT_ALLOWED:
        for call in cut:
            yield breach_of('LOST', call, 'closed after it was passed on')


def _cut_beside_plans(history: History) -> Iterator[Call]:
    """Yield the calls that were cut with no unplanned disruption."""
    for call in _cut(history):
        since = call.last_sent_at - CONTACT_S
        disturbed = any(
            history.disruptions.touches(name, since, call.ended_at, UNPLANNED)
            for name in (call.host.name, STORE)
        )
        if not disturbed:
            yield call


def _cut(history: History) -> Iterator[Call]:
    """Yield the calls without an answer for which a target is not to blame.

    Those are left out that reached their deadline, that their caller gave up,
    or that were cut at once without having been passed on.
    """
    reached = history.targets_by_attempt()
    broken = history.broken_attempts()
    for call in history.calls:
        if call.answer is not None or call.sent_at is None:
            continue
        if call.problem in EXCUSES or call.attempt in broken:
            continue
        targets = reached.get(call.attempt, ())
        counts = targets or call.ended_at > call.sent_at + LOSS_SLACK_S
        if counts and not history.went_down(
            targets, call.sent_at, call.ended_at
        ):
            yield call


def _is_disturbed(
    history: History, call: Call, targets: tuple[str, ...]
) -> bool:
    return any(
        history.disruptions.touches(name, call.last_sent_at, call.ended_at)
        for name in targets
    )


def _is_beside(history: History, call: Call) -> bool:
    """Return whether a call ended while a version came into force."""
    return any(
        0 <= call.ended_at - version.acknowledged_at <= APPLY_S + AFTERWARDS_S
        for version in history.versions
    )


def _is_nearly_over(call: Call) -> bool:
    used_s = call.ended_at - call.last_sent_at
    return used_s >= MOST_USED * TIMEOUT_MS / MS_PER_S


def _is_in_stop(history: History, call: Call) -> bool:
    return any(
        0 <= call.ended_at - stopped_at <= GRACE_S + AFTERWARDS_S
        for stopped_at in history.hosts[call.host.name].stopped_at
    )


def _is_excused(history: History, call: Call, stopped_at: float) -> bool:
    """Return whether a call that was cut does not count for a stop."""
    if not 0 <= call.ended_at - stopped_at <= GRACE_S + AFTERWARDS_S:
        return True
    last_part_at = stopped_at + GRACE_S * LAST_PART
    return (
        call.last_sent_at <= stopped_at + EXCUSED_S
        and call.ended_at >= last_part_at
        and history.was_at_work(call.attempt, last_part_at)
    )
