"""Random histories of the store, checked against what was written."""

import asyncio
import dataclasses
import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry.tests.model_store import ModelStore, ModelStoreClient
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
)

PROPAGATION_LIMIT_S = 5.0
HOST = HostRecord('host-1', 'dc-a', '127.0.0.1:9')
#: Time from a restoration until its writers have written again, in seconds;
#: by the platform's contract about 2 s.
WRITTEN_AGAIN_S = 1.5
#: Time after the last step within which the host has to agree with the store,
#: in seconds: the propagation limit and the grace period of lapses.
SETTLE_S = 8.0

#: What happens to the store, with an argument.
OPERATIONS: dict[str, Callable[[ModelStore, int], None]] = {  # noqa: WPS407
    'configure': lambda store, _: store.configure(),
    'register': lambda store, number: store.register(
        f't-{number}', draining=False
    ),
    'drain': lambda store, number: store.register(f't-{number}', draining=True),
    'remove': lambda store, number: store.remove(f't-{number}'),
    'close': lambda store, number: store.close_data_centre(f'dc-{number}'),
    'open': lambda store, number: store.open_data_centre(f'dc-{number}'),
    'compact': lambda store, _: store.compact(),
    'copy': lambda store, _: store.take_copy(),
    'restore': lambda store, _: store.restore(),
    'other_lease': lambda store, _: store.open_other_lease(),
    'silent': lambda store, _: setattr(store, 'silent', True),
    'answering': lambda store, _: setattr(store, 'silent', False),
}

STEPS = st.lists(
    st.tuples(
        st.sampled_from(sorted(OPERATIONS)),
        st.integers(0, 2),
        st.sampled_from((0, 0.001, 0.1, 0.35, 1, 3.5)),
    ),
    max_size=25,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a host knows, or has to know, of the store."""

    version: int
    usable: frozenset[str]
    closed: frozenset[str]
    registered: bool


async def _follow(
    steps: list[tuple[str, int, float]],
) -> tuple[Outcome, Outcome]:
    """Let a host follow a store; return what it knows and has to know."""
    store = ModelStore()
    placement, directory = make_placement()
    state = ClusterState(
        directory,
        placement,
        PeerDirectory(placement.location),
        make_crash_detector(),
    )
    client = ModelStoreClient(store)
    follower = StoreFollower(client, state, directory, PROPAGATION_LIMIT_S)
    registration = HostRegistration(client, HOST)
    tasks = [
        asyncio.create_task(work())
        for work in (follower.run, follower.expire, registration.run)
    ]
    writers: list[asyncio.Task[None]] = []
    for name, argument, pause_s in steps:
        OPERATIONS[name](store, argument)
        if name == 'restore':
            writers.append(asyncio.create_task(_write_again(store)))
        await asyncio.sleep(pause_s)
    store.silent = False
    await asyncio.sleep(WRITTEN_AGAIN_S + SETTLE_S)
    for task in (*tasks, *writers):
        task.cancel()
    truth = store.truth
    known = Outcome(
        -1 if state.table is None else state.table.version,
        frozenset(
            target.record.identity for target in directory.usable('shard-0')
        ),
        directory.closed_data_centres,
        HOST.name in store.registered_hosts,
    )
    expected = Outcome(
        truth.version,
        frozenset(
            record.identity
            for record in truth.targets.values()
            if not record.draining
        ),
        frozenset(truth.closed),
        registered=True,
    )
    return known, expected


async def _write_again(store: ModelStore) -> None:
    await asyncio.sleep(WRITTEN_AGAIN_S)
    store.write_again()


class StoreModelTest(unittest.TestCase):
    """A host agrees with the store in time, whatever happened to it."""

    @given(STEPS, st.integers(0, 2**16))
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_agrees(
        self, steps: list[tuple[str, int, float]], seed: int
    ) -> None:
        """After outages, lost history and restorations, nothing is missed."""
        random.seed(seed)
        known, expected = run_in_virtual_time(VirtualTimeLoop(), _follow(steps))
        self.assertEqual(known, expected)
