"""Draws the plan of a run: a pure function of its seed."""

import itertools
import random
import types
from collections.abc import Callable, Mapping

from platform_soak.plan import (
    BROKEN_ANSWERS,
    HOST_COUNT,
    ODD_ENTRIES,
    ROLLOUTS,
    STORE_WAYS,
    ZONES,
    BreakAnswers,
    ChangeConfiguration,
    CloseDataCentre,
    CrashTarget,
    DiscardHistory,
    DisturbStore,
    Fault,
    KillHost,
    LeaveTarget,
    LimitTarget,
    LoseWrites,
    OddEntry,
    OverwriteTarget,
    PauseHost,
    Plan,
    ReloadHost,
    RestoreStore,
    RollOut,
    SlowTarget,
    StopHost,
    TurnAway,
)

#: Time before the first and after the last fault, in seconds. The hosts have
#: to serve callers as usual at the end.
CALM_START_S = 3.0
CALM_END_S = 14.0
#: Mean time between two faults, in seconds.
FAULT_INTERVAL_S = 1.6
#: Longest times for which a host is paused and the store is away, in seconds.
MAX_PAUSE_S = 4.0
MAX_STORE_S = 6.0
#: Greatest age of the copy that the store comes back from, and the longest
#: time for which it is away meanwhile, in seconds.
MAX_COPY_AGE_S = 6.0
MAX_AWAY_S = 2.0
#: Entries that another writer leaves at once, if many.
MANY_ENTRIES = 24
#: Time until a host that was stopped is replaced, in seconds.
MAX_DOWN_S = 4.0
#: Share of the runs that have accounts.
ACCOUNT_SHARE = 0.5
#: Share of the runs that have a roll-out, and the time that it takes until
#: the targets of a bad version have ended, in seconds.
ROLLOUT_SHARE = 0.4
ROLLOUT_S = 25.0

_Maker = Callable[[random.Random, float, int], Fault]


def make_plan(seed: int, length_s: float, target_count: int) -> Plan:
    """Return the plan of a seed."""
    draw = random.Random(seed)
    makers = _draw_kinds(draw)
    faults: list[Fault] = []
    at_s = CALM_START_S
    while True:
        at_s += draw.expovariate(1 / FAULT_INTERVAL_S)
        if at_s > length_s - CALM_END_S:
            accounts = (
                random.Random(f'{seed}/accounts').random() < ACCOUNT_SHARE
            )
            faults.extend(_draw_rollout(seed, length_s))
            faults.sort(key=lambda fault: fault.at_s)
            return Plan(seed, length_s, tuple(faults), accounts=accounts)
        make = draw.choice(makers)
        faults.append(make(draw, round(at_s, 2), target_count))


def _draw_rollout(seed: int, length_s: float) -> list[Fault]:
    """Return the roll-out of a run, if it has one that is over in time."""
    draw = random.Random(f'{seed}/rollout')
    latest_s = length_s - CALM_END_S - ROLLOUT_S
    if latest_s < CALM_START_S or draw.random() >= ROLLOUT_SHARE:
        return []
    at_s = _seconds(draw, CALM_START_S, latest_s)
    return [RollOut(at_s=at_s, kind=draw.choice(ROLLOUTS))]


def _draw_kinds(draw: random.Random) -> list[_Maker]:
    """Return the kinds of faults of a run, those drawn most often repeated.

    Each run leaves out many kinds: a fault that excuses what another one
    breaks, such as an outage of the store, would hide it in every run.
    """
    makers: list[_Maker] = []
    for make, weight in _MAKERS.items():
        if make in _IN_EACH_RUN or draw.randrange(3) == 0:
            makers.extend(itertools.repeat(make, weight))
    return makers


def _seconds(draw: random.Random, least_s: float, most_s: float) -> float:
    return round(draw.uniform(least_s, most_s), 2)


def _host(draw: random.Random) -> int:
    return draw.randrange(HOST_COUNT)


def _stop_host(draw: random.Random, at_s: float, _: int) -> Fault:
    down_s = draw.choice((0, 0, MAX_DOWN_S))
    return StopHost(at_s=at_s, host=_host(draw), down_s=down_s)


def _kill_host(draw: random.Random, at_s: float, _: int) -> Fault:
    return KillHost(at_s=at_s, host=_host(draw), down_s=_seconds(draw, 0.1, 3))


def _pause_host(draw: random.Random, at_s: float, _: int) -> Fault:
    for_s = _seconds(draw, 0.2, MAX_PAUSE_S)
    return PauseHost(at_s=at_s, host=_host(draw), for_s=for_s)


def _reload_host(draw: random.Random, at_s: float, _: int) -> Fault:
    return ReloadHost(at_s=at_s, host=_host(draw))


def _disturb_store(draw: random.Random, at_s: float, _: int) -> Fault:
    count = draw.choice((1, 2, HOST_COUNT))
    return DisturbStore(
        at_s=at_s,
        hosts=tuple(sorted(draw.sample(range(HOST_COUNT), count))),
        way=draw.choice(STORE_WAYS),
        for_s=_seconds(draw, 0.5, MAX_STORE_S),
    )


def _lose_writes(draw: random.Random, at_s: float, _: int) -> Fault:
    return LoseWrites(
        at_s=at_s,
        for_s=_seconds(draw, 0.5, 4),
        delay_s=_seconds(draw, 0.5, 6),
    )


def _discard_history(draw: random.Random, at_s: float, targets: int) -> Fault:
    return DiscardHistory(at_s=at_s)


def _odd_entry(draw: random.Random, at_s: float, _: int) -> Fault:
    return OddEntry(
        at_s=at_s,
        entry=draw.choice(ODD_ENTRIES),
        for_s=_seconds(draw, 0.5, 8),
        count=draw.choice((1, 1, MANY_ENTRIES)),
    )


def _overwrite_target(draw: random.Random, at_s: float, targets: int) -> Fault:
    return OverwriteTarget(
        at_s=at_s,
        target=draw.randrange(targets),
        entry=draw.choice(ODD_ENTRIES),
    )


def _restore_store(draw: random.Random, at_s: float, _: int) -> Fault:
    return RestoreStore(
        at_s=at_s,
        copy_age_s=_seconds(draw, 0.5, MAX_COPY_AGE_S),
        away_s=_seconds(draw, 0, MAX_AWAY_S),
    )


def _crash_target(draw: random.Random, at_s: float, targets: int) -> Fault:
    return CrashTarget(
        at_s=at_s,
        target=draw.randrange(targets),
        down_s=_seconds(draw, 0.5, 4),
    )


def _leave_target(draw: random.Random, at_s: float, targets: int) -> Fault:
    return LeaveTarget(
        at_s=at_s,
        target=draw.randrange(targets),
        announced=draw.choice((True, True, False)),
    )


def _break_answers(draw: random.Random, at_s: float, targets: int) -> Fault:
    return BreakAnswers(
        at_s=at_s,
        target=draw.randrange(targets),
        way=draw.choice(BROKEN_ANSWERS),
        for_s=_seconds(draw, 0.5, 4),
    )


def _limit_target(draw: random.Random, at_s: float, targets: int) -> Fault:
    return LimitTarget(
        at_s=at_s,
        target=draw.randrange(targets),
        per_s=_seconds(draw, 1, 4),
        for_s=_seconds(draw, 8, 12),
    )


def _turn_away(draw: random.Random, at_s: float, targets: int) -> Fault:
    return TurnAway(
        at_s=at_s,
        target=draw.randrange(targets),
        retry_after_s=draw.randint(2, 4),
        for_s=_seconds(draw, 2, 8),
    )


def _slow_target(draw: random.Random, at_s: float, targets: int) -> Fault:
    return SlowTarget(
        at_s=at_s,
        target=draw.randrange(targets),
        for_s=_seconds(draw, 4, 12),
    )


def _change_configuration(
    draw: random.Random, at_s: float, targets: int
) -> Fault:
    return ChangeConfiguration(at_s=at_s)


def _close_data_centre(draw: random.Random, at_s: float, _: int) -> Fault:
    return CloseDataCentre(
        at_s=at_s, zone=draw.choice(ZONES), for_s=_seconds(draw, 4, 10)
    )


#: How often each kind of fault is drawn.
_MAKERS: Mapping[_Maker, int] = types.MappingProxyType(
    {
        _stop_host: 3,
        _kill_host: 1,
        _pause_host: 1,
        _reload_host: 1,
        _disturb_store: 2,
        _lose_writes: 1,
        _discard_history: 1,
        _odd_entry: 2,
        _crash_target: 2,
        _leave_target: 3,
        _break_answers: 3,
        _limit_target: 1,
        _turn_away: 2,
        _slow_target: 1,
        _change_configuration: 4,
        _close_data_centre: 1,
        _overwrite_target: 2,
        _restore_store: 1,
    }
)
#: Kinds that each run has: without them there is nothing to miss.
_IN_EACH_RUN = frozenset((_change_configuration, _leave_target))
