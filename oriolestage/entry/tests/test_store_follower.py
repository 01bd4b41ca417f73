"""Tests of how a host follows the store."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry._ports import (
    HistoryLostError,
    Lease,
    StoreChanges,
    StoreContents,
    StoreError,
    StorePosition,
)
from oriolestage.entry._store_eras import StoreEras
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry._supervision import keep_running
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._crash_detector import QuarantineReport
from oriolestage.routing._facts import (
    ConfigurationStored,
    HostRecord,
    StoredFact,
    TargetRemoved,
    TargetStored,
)
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._rules import CallerLimits, RoutingTable, build_table
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._trials import TrialReport
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
    make_record,
)

PROPAGATION_LIMIT_S = 5.0
#: A fact on which the host fails, as it would on an error in its own code.
BROKEN_FACT = TargetStored(None)  # type: ignore[arg-type]


def _table(version: int) -> ConfigurationStored:
    return ConfigurationStored(build_table(version, (), (), CallerLimits()))


def _at(revision: int) -> StorePosition:
    return StorePosition(None, revision)


def _fail_once() -> Callable[..., list[StateChange]]:
    """Return ``ClusterState.replace_all`` with an error in its first call."""
    replace_all = ClusterState.replace_all
    errors = [ValueError('unforeseen')]

    def failing(
        state: ClusterState, facts: Iterable[StoredFact], now: float
    ) -> list[StateChange]:
        if errors:
            raise errors.pop()
        return replace_all(state, facts, now)

    return failing


def _fail_second(error: Exception) -> Callable[..., list[StateChange]]:
    """Return ``ClusterState._apply_table`` with an error in its second call."""
    apply_table = ClusterState._apply_table
    errors: list[Exception | None] = [error, None]

    def failing(state: ClusterState, table: RoutingTable) -> list[StateChange]:
        due = errors.pop() if errors else None
        if due is not None:
            raise due
        return apply_table(state, table)

    return failing


class ScriptedStore:
    """A store that returns scripted answers, then blocks."""

    def __init__(
        self, *steps: StoreContents | StoreChanges | Exception
    ) -> None:
        """Create a store that answers reads and watches with ``steps``."""
        self.eras = StoreEras()
        self._steps = list(steps)
        self.waits: list[float] = []
        self.reads = 0

    async def close(self) -> None:
        """Do nothing."""

    async def read_all(self) -> StoreContents:
        """Return the next step, which has to be a full read."""
        self.reads += 1
        step = await self._next()
        assert isinstance(step, StoreContents)
        return step

    async def changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Return the next step, which has to be changes."""
        self.waits.append(wait_s)
        step = await self._next()
        assert isinstance(step, StoreChanges)
        return step

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Return a lease."""
        return Lease(None, 1)

    async def renew_lease(self, lease: Lease) -> None:
        """Do nothing."""

    async def end_lease(self, lease: Lease) -> None:
        """Do nothing."""

    async def register_host(self, record: HostRecord, lease: Lease) -> bool:
        """Do nothing."""
        return True

    async def report_crashes(
        self,
        reports: Sequence[QuarantineReport],
        lease: Lease,
    ) -> None:
        """Do nothing."""

    async def claim_trial(self, trial: TrialReport, lease: Lease) -> None:
        """Do nothing."""

    async def _next(self) -> StoreContents | StoreChanges:
        if not self._steps:
            await asyncio.Event().wait()
        step = self._steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


class StoreFollowerTest(IsolatedAsyncioTestCase):
    """Changes are known in time, also after lost history and failures."""

    async def _follow(self, store: ScriptedStore) -> ClusterState:
        placement, self._directory = make_placement()
        cluster_state = ClusterState(
            self._directory,
            placement,
            PeerDirectory(placement.location),
            make_crash_detector(),
        )
        follower = StoreFollower(
            store, cluster_state, self._directory, PROPAGATION_LIMIT_S
        )
        task = asyncio.create_task(keep_running('follow', follower.run))
        await asyncio.sleep(1.2)
        task.cancel()
        return cluster_state

    async def test_watch_wait(self) -> None:
        """A watch ends well within the propagation limit.

        Otherwise changes that the store dropped without an error would be
        known too late.
        """
        store = ScriptedStore(StoreContents((_table(4),), _at(1)))
        await self._follow(store)
        self.assertLess(store.waits[0] + 1, PROPAGATION_LIMIT_S)

    async def test_history_lost(self) -> None:
        """Everything is read again if the store has discarded changes."""
        store = ScriptedStore(
            StoreContents((_table(4),), _at(1)),
            HistoryLostError('watch', 'store', 'lost'),
            StoreContents((_table(8),), _at(9)),
        )
        cluster_state = await self._follow(store)
        self.assertEqual(store.reads, 2)
        self.assertIsNotNone(cluster_state.table)
        if cluster_state.table is not None:
            self.assertEqual(cluster_state.table.version, 8)

    async def test_older_configuration(self) -> None:
        """An older configuration never replaces a newer one."""
        store = ScriptedStore(
            StoreContents((_table(8),), _at(1)),
            StoreChanges((_table(4),), _at(2)),
        )
        cluster_state = await self._follow(store)
        if cluster_state.table is not None:
            self.assertEqual(cluster_state.table.version, 8)

    async def test_error_in_one_change(self) -> None:
        """Guards against losing the changes after one that raises an error.

        The watch continues after all of them, so they would never be seen.
        """
        facts = (_table(4), TargetStored(make_record('t-2')))
        store = ScriptedStore(
            StoreContents(facts, _at(1)),
            StoreChanges(
                (BROKEN_FACT, _table(8), TargetRemoved('t-2')), _at(2)
            ),
        )
        cluster_state = await self._follow(store)
        assert cluster_state.table is not None
        self.assertEqual(cluster_state.table.version, 8)
        self.assertIsNone(self._directory.find('t-2'))

    async def test_change_that_is_not_applied(self) -> None:
        """Guards against a change that is dropped for good after an error.

        The store reports each change once.
        """
        store = ScriptedStore(
            StoreContents((_table(4),), _at(1)),
            StoreChanges((_table(8),), _at(2)),
            StoreContents((_table(8),), _at(2)),
        )
        error = ValueError('unforeseen')
        with mock.patch.object(
            ClusterState, '_apply_table', _fail_second(error)
        ):
            cluster_state = await self._follow(store)
        assert cluster_state.table is not None
        self.assertEqual(cluster_state.table.version, 8)
        self.assertEqual(store.reads, 2)

    async def test_error_in_first_read(self) -> None:
        """The store is read again after an error on a read as a whole."""
        store = ScriptedStore(
            StoreContents((_table(4),), _at(1)),
            StoreContents((_table(8),), _at(2)),
        )
        with mock.patch.object(ClusterState, 'replace_all', _fail_once()):
            cluster_state = await self._follow(store)
        assert cluster_state.table is not None
        self.assertEqual(cluster_state.table.version, 8)

    async def test_error_in_one_item_of_full_read(self) -> None:
        """Guards against losing a whole read because of one of its items.

        The next read holds the same item, so no read would ever succeed.
        """
        facts = (BROKEN_FACT, _table(4), TargetStored(make_record('t-2')))
        store = ScriptedStore(StoreContents(facts, _at(1)))
        cluster_state = await self._follow(store)
        assert cluster_state.table is not None
        self.assertEqual(cluster_state.table.version, 4)
        self.assertIsNotNone(self._directory.find('t-2'))
        self.assertEqual(len(store.waits), 1)

    async def test_unexpected_error_in_watch(self) -> None:
        """Guards against asking again for an answer that cannot be used."""
        for error in (RecursionError('deep'), OverflowError('port')):
            with self.subTest(error=error):
                store = ScriptedStore(
                    StoreContents((_table(4),), _at(1)),
                    error,
                    StoreContents((_table(8),), _at(2)),
                )
                cluster_state = await self._follow(store)
                assert cluster_state.table is not None
                self.assertEqual(cluster_state.table.version, 8)

    async def test_failed_calls(self) -> None:
        """A failed call is repeated, and the known state is kept."""
        facts: tuple[StoredFact, ...] = (
            _table(4),
            TargetStored(make_record('t-1')),
            TargetStored(make_record('t-2')),
        )
        store = ScriptedStore(
            StoreContents(facts, _at(1)),
            StoreError('watch', 'store', 'reset'),
            StoreChanges((TargetRemoved('t-2'),), _at(2)),
        )
        await self._follow(store)
        self.assertIsNotNone(self._directory.find('t-1'))
        self.assertIsNone(self._directory.find('t-2'))

    async def test_first_call_after_failure_does_not_wait(self) -> None:
        """A call that the returning store never got ends soon.

        A watch that was sent just before the return of the store was lost and
        kept a host from a new configuration for its whole waiting time.
        """
        store = ScriptedStore(
            StoreContents((_table(4),), _at(1)),
            StoreError('watch', 'store', 'timeout'),
            StoreChanges((_table(8),), _at(2)),
        )
        cluster_state = await self._follow(store)
        usual_s, first_s, following_s = store.waits
        self.assertEqual(first_s, 0)
        self.assertEqual(following_s, usual_s)
        assert cluster_state.table is not None
        self.assertEqual(cluster_state.table.version, 8)
