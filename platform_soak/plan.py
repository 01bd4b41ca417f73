"""The plan of a run: what happens when. A pure function of its seed.

A plan is written as JSON, which can be edited and played again.
"""

import itertools
import random
import types
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

#: Hosts by number, and targets by number; see `deployment`.
HOST_COUNT = 6
#: Time before the first and after the last fault, in seconds. The hosts have
#: to serve callers as usual at the end.
CALM_START_S = 3.0
CALM_END_S = 14.0
#: Mean time between two faults, in seconds.
FAULT_INTERVAL_S = 1.6
#: Longest times for which a host is paused and the store is away, in seconds.
MAX_PAUSE_S = 4.0
MAX_STORE_S = 6.0
#: Time until a host that was stopped is replaced, in seconds.
MAX_DOWN_S = 4.0
STORE_WAYS = ('busy', 'silent', 'reset')
ODD_ENTRIES = ('nested', 'number', 'port', 'bytes', 'types')
BROKEN_ANSWERS = ('head', 'body', 'reset', 'extra', 'garbage', 'status_500')
ZONES = ('marmara-a', 'ege-a', 'ic-anadolu-a')


class _Fault(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    #: Time since the start of traffic, in seconds.
    at_s: float


class StopHost(_Fault, frozen=True, tag=True):
    """SIGTERM, SIGKILL at the end of the grace, and a start after that."""

    host: int
    #: Time between the end and the start, in seconds.
    down_s: float = 0


class KillHost(_Fault, frozen=True, tag=True):
    """SIGKILL, and a start some time later."""

    host: int
    down_s: float


class PauseHost(_Fault, frozen=True, tag=True):
    """SIGSTOP, and SIGCONT some time later."""

    host: int
    for_s: float


class ReloadHost(_Fault, frozen=True, tag=True):
    """SIGHUP."""

    host: int


class DisturbStore(_Fault, frozen=True, tag=True):
    """The store does not serve some hosts, or none of them."""

    hosts: tuple[int, ...]
    way: str
    for_s: float


class LoseWrites(_Fault, frozen=True, tag=True):
    """Answers to writes get lost, and the writes are done later."""

    for_s: float
    delay_s: float


class DiscardHistory(_Fault, frozen=True, tag=True):
    """The store forgets its changes."""


class OddEntry(_Fault, frozen=True, tag=True):
    """Another writer leaves an entry among the targets for a time."""

    entry: str
    for_s: float


class CrashTarget(_Fault, frozen=True, tag=True):
    """A target ends without a word and starts again."""

    target: int
    down_s: float


class LeaveTarget(_Fault, frozen=True, tag=True):
    """A target leaves, announced or not, and another one starts."""

    target: int
    announced: bool


class BreakAnswers(_Fault, frozen=True, tag=True):
    """A target breaks its answers in some way for a time."""

    target: int
    way: str
    for_s: float


class ChangeConfiguration(_Fault, frozen=True, tag=True):
    """A version moves a route and adds another one."""


class CloseDataCentre(_Fault, frozen=True, tag=True):
    """The operator evacuates a data centre for a time."""

    zone: str
    for_s: float


Fault = (
    StopHost
    | KillHost
    | PauseHost
    | ReloadHost
    | DisturbStore
    | LoseWrites
    | DiscardHistory
    | OddEntry
    | CrashTarget
    | LeaveTarget
    | BreakAnswers
    | ChangeConfiguration
    | CloseDataCentre
)


_Maker = Callable[[random.Random, float, int], Fault]


class Plan(msgspec.Struct, frozen=True):
    """What happens in one run."""

    seed: int
    #: Length of the traffic, in seconds.
    length_s: float
    faults: tuple[Fault, ...]
    #: Bookings a second in each data centre, each on a new connection.
    bookings_per_s: float = 15


def make_plan(seed: int, length_s: float, target_count: int) -> Plan:
    """Return the plan of a seed."""
    draw = random.Random(seed)
    makers = _draw_kinds(draw)
    faults: list[Fault] = []
    at_s = CALM_START_S
    while True:
        at_s += draw.expovariate(1 / FAULT_INTERVAL_S)
        if at_s > length_s - CALM_END_S:
            return Plan(seed, length_s, tuple(faults))
        make = draw.choice(makers)
        faults.append(make(draw, round(at_s, 2), target_count))


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


def write_plan(plan: Plan, path: Path) -> None:
    """Write a plan as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan)))


def read_plan(path: Path) -> Plan:
    """Read a plan.

    Raises ``msgspec.DecodeError`` with the position if it is malformed.
    """
    return msgspec.json.decode(path.read_bytes(), type=Plan)


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
        _change_configuration: 4,
        _close_data_centre: 1,
    }
)
#: Kinds that each run has: without them there is nothing to miss.
_IN_EACH_RUN = frozenset((_change_configuration, _leave_target))
