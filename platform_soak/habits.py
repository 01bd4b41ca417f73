"""What the callers of a run send."""

import dataclasses
from collections.abc import Iterator

from platform_soak.accounts import (
    HOT_KEY,
    NO_KEY,
    STEADY_KEY,
    UNKNOWN_KEY,
    rotating_key,
)
from platform_soak.callers import Habit
from platform_soak.clients import Shape
from platform_soak.configurations import MOVED_PREFIX
from platform_soak.plan import Plan, RollOut

HOST_NAME = 'bakici.example'
#: Deadlines of requests to one service and over all shards, in milliseconds.
DEADLINE_MS = 3000
SEARCH_DEADLINE_MS = 1500
#: Callers of each data centre.
CALLERS_PER_ZONE = 4
#: Longest pause between two requests of these, in seconds.
MIXED_PAUSE_S = 0.25
#: Callers of each data centre that send one booking after the other.
BOOKERS_PER_ZONE = 2
#: Callers of each data centre that send bookings on connections that were idle
#: for a while, and the longest such time, in seconds.
IDLE_BOOKERS_PER_ZONE = 8
IDLE_S = 5.0
#: Callers of each data centre that leave before they have an answer, and the
#: longest time for which they wait, in seconds.
LEAVERS_PER_ZONE = 1
PATIENCE_S = 0.8
#: Callers of each data centre that send lookups beside a roll-out, so that a
#: version can get more than the slack of its bound, and the longest pause
#: between two of them, in seconds.
LOOKERS_PER_ZONE = 2
LOOKUP_PAUSE_S = 0.1
#: Callers of each data centre that try valid and other keys, and those of the
#: account that sends several times its limit.
KEY_PROBERS_PER_ZONE = 3
HOT_CALLERS_PER_ZONE = 3
BOOKING = Shape('POST', HOST_NAME, '/book/1', DEADLINE_MS, b'{"visit": 1}')
LONG = Shape('GET', HOST_NAME, '/lookup/1/long', DEADLINE_MS, repeatable=True)
LOOKUP = Shape('GET', HOST_NAME, '/lookup/1', DEADLINE_MS, repeatable=True)
SEARCH = Shape(
    'GET', HOST_NAME, '/search/1', SEARCH_DEADLINE_MS, repeatable=True
)
SHAPES = (
    LOOKUP,
    BOOKING,
    Shape('GET', HOST_NAME, f'{MOVED_PREFIX}1', DEADLINE_MS, repeatable=True),
    SEARCH,
)
#: Versions whose added routes are probed.
PROBED_VERSIONS = 12


def with_key(shape: Shape, plan: Plan) -> Shape:
    """Return a request with a key that is always valid, if keys matter."""
    return dataclasses.replace(shape, key=STEADY_KEY if plan.accounts else '')


def habits_of(plan: Plan) -> Iterator[Habit]:
    """Yield what each caller of a data centre does."""
    booking, long = with_key(BOOKING, plan), with_key(LONG, plan)
    mixed = tuple(with_key(shape, plan) for shape in (*SHAPES, *_probes()))
    for _ in range(CALLERS_PER_ZONE):
        yield Habit(mixed, MIXED_PAUSE_S)
    for _ in range(BOOKERS_PER_ZONE):
        yield Habit((booking,), 0)
    # They make processing times of a route too unlike to judge a version by.
    has_rollout = any(isinstance(fault, RollOut) for fault in plan.faults)
    for _ in range(0 if has_rollout else LEAVERS_PER_ZONE):
        yield Habit((long,), MIXED_PAUSE_S, PATIENCE_S)
    for _ in range(IDLE_BOOKERS_PER_ZONE):
        yield Habit((booking,), IDLE_S)
    for _ in range(LOOKERS_PER_ZONE if has_rollout else 0):
        yield Habit((with_key(LOOKUP, plan),), LOOKUP_PAUSE_S)
    if not plan.accounts:
        return
    for _ in range(KEY_PROBERS_PER_ZONE):
        yield Habit(_key_probes(), MIXED_PAUSE_S)
    for _ in range(HOT_CALLERS_PER_ZONE):
        yield Habit((dataclasses.replace(LOOKUP, key=HOT_KEY),), 0)


def _key_probes() -> tuple[Shape, ...]:
    """Return requests with keys that versions add and remove, and others."""
    keys = (
        *map(rotating_key, range(1, PROBED_VERSIONS)),
        UNKNOWN_KEY,
        NO_KEY,
    )
    return tuple(
        dataclasses.replace(shape, key=key)
        for shape in (LOOKUP, SEARCH)
        for key in keys
    )


def _probes() -> tuple[Shape, ...]:
    """Return requests of routes that versions add and remove."""
    return tuple(
        Shape(
            'GET', HOST_NAME, f'/added-{number}/1', DEADLINE_MS, repeatable=True
        )
        for number in range(2, PROBED_VERSIONS, 2)
    )
