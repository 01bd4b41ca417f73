"""Tests of a host that can use no answer about changes, again and again."""

import asyncio
from collections.abc import Iterable, Mapping
from unittest import TestCase, mock

from oriolestage.entry._ports import (
    AnswerRejectedError,
    HistoryLostError,
    StoreChanges,
    StoreContents,
    StoreError,
    StorePosition,
)
from oriolestage.entry._store_eras import StoreEras
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry._store_pacing import INITIAL_BACKOFF_S, MAX_BACKOFF_S
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import StoredFact
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
)

PROPAGATION_LIMIT_S = 5.0
#: Time that a call takes, in seconds.
CALL_S = 0.005
#: Time for which the host follows the store, in seconds.
DURATION_S = 60.0
#: Most full reads in that time: the back-off doubles with each, and is never
#: shorter than half of its value.
MOST_READS = (
    DURATION_S / (MAX_BACKOFF_S / 2) + MAX_BACKOFF_S / INITIAL_BACKOFF_S
)
REJECTED = AnswerRejectedError('store.watch', 'store', 'status 400')
LOST = HistoryLostError('store.watch', 'store', 'history lost')


class RefusingStore:
    """A store that can be read, but whose changes fail with one error."""

    def __init__(self, error: StoreError) -> None:
        """Create a store whose watches raise ``error``."""
        self.eras = StoreEras()
        self.read_at: list[float] = []
        #: Failures that the host has counted in the end, by step.
        self.failures: Mapping[str, int] = {}
        self._error = error

    async def read_all(self) -> StoreContents:
        """Return that there are no items."""
        self.read_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(CALL_S)
        return StoreContents((), StorePosition(None, len(self.read_at)))

    async def changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Raise the error."""
        await asyncio.sleep(CALL_S)
        raise self._error


class RepeatedRejectionTest(TestCase):
    """Guards against a host that reads the whole store without a pause.

    The calls of all hosts draw on one limit: others would be refused theirs.
    """

    def test_watches(self) -> None:
        """Full reads back off, and still come within the limit."""
        for error in (REJECTED, LOST):
            with self.subTest(error=error):
                self._check(_read_times(error))

    def test_state(self) -> None:
        """An error of the host on each full read is no reason for more."""
        with mock.patch.object(ClusterState, 'replace_all', _fail):
            self._check(_read_times(REJECTED))

    def test_age(self) -> None:
        """Guards against a copy that counts as recent but is never applied.

        Other hosts would prefer this one, and no stall would be reported.
        """
        store = RefusingStore(REJECTED)
        with mock.patch.object(ClusterState, 'replace_all', _fail):
            age_s = run_in_virtual_time(VirtualTimeLoop(), _follow(store))
        self.assertGreaterEqual(age_s, DURATION_S)

    def test_counts(self) -> None:
        """Guards against lost history that no counter shows."""
        for error in (REJECTED, LOST):
            with self.subTest(error=error):
                store = RefusingStore(error)
                run_in_virtual_time(VirtualTimeLoop(), _follow(store))
                counted = store.failures.get(error.step, 0)
                self.assertGreaterEqual(counted, len(store.read_at) - 1)

    def _check(self, read_at: list[float]) -> None:
        self.assertLessEqual(len(read_at), MOST_READS)
        pauses = [
            later - earlier
            for earlier, later in zip(read_at, read_at[1:], strict=False)
        ]
        self.assertLess(max(pauses), PROPAGATION_LIMIT_S)


def _read_times(error: StoreError) -> list[float]:
    store = RefusingStore(error)
    loop = VirtualTimeLoop()
    run_in_virtual_time(loop, _follow(store))
    return store.read_at


async def _follow(store: RefusingStore) -> float:
    """Follow a store; return the age of the copy in the end, in seconds."""
    placement, directory = make_placement()
    state = ClusterState(
        directory,
        placement,
        PeerDirectory(placement.location),
        make_crash_detector(),
    )
    follower = StoreFollower(
        store,  # type: ignore[arg-type]
        state,
        directory,
        PROPAGATION_LIMIT_S,
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(DURATION_S)
    task.cancel()
    store.failures = follower.failures
    return follower.age_s


def _fail(
    _: ClusterState, _facts: Iterable[StoredFact], _now: float
) -> list[StateChange]:
    raise ValueError('unforeseen')
