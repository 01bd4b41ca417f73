"""Mirrors the store into this host's state."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Mapping

from oriolestage._logging import log_event
from oriolestage.entry._ports import (
    AnswerRejectedError,
    HistoryLostError,
    HistoryReplacedError,
    Store,
    StoreChanges,
    StoreError,
    StorePosition,
)
from oriolestage.entry._stall_detector import (
    FollowProgress,
    FollowStep,
    StallDetector,
)
from oriolestage.entry._store_pacing import COALESCING_DELAY_S, StorePacing
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._state_changes import Freshness, StateChange
from oriolestage.routing._targets import TargetDirectory

#: Outage of the store after which registrations may have lapsed only because
#: they could not be renewed, so that missing ones are kept for a while, in
#: seconds.
LONG_OUTAGE_S = 1.0
#: Step of an error that is none of a call to the store.
FOLLOW_STEP = 'store.follow'


class StoreFollower:
    """Reads the whole store once, then applies its changes as they come."""

    def __init__(
        self,
        store: Store,
        cluster_state: ClusterState,
        directory: TargetDirectory,
        propagation_limit_s: float,
    ) -> None:
        """Create a follower that has read nothing.

        ``propagation_limit_s`` is the time within which a host that reaches
        the store has to know of a change, in seconds.
        """
        self._pacing = StorePacing(
            propagation_limit_s, lambda: cluster_state.host_count
        )
        self._store = store
        self._cluster_state = cluster_state
        self._directory = directory
        #: Point up to which changes were applied; None before a full read.
        self._position: StorePosition | None = None
        self._known = StorePosition(None, 0)
        self._answered_at = time.monotonic()
        #: Monotonic time at which an answer was last applied.
        self._applied_at = self._answered_at
        self._outage_since: float | None = None
        self._failures: Counter[str] = Counter()
        self._progress = FollowProgress()
        self._stalls = StallDetector(propagation_limit_s, self._progress)
        self._first_read = asyncio.Event()
        #: Limits the call for changes that is in progress.
        self._call_limit: asyncio.Timeout | None = None
        store.eras.subscribe(self._interrupt_call)

    @property
    def age_s(self) -> float:
        """Time since an answer of the store was last applied, in seconds.

        Counts from the creation of the follower before the first answer.
        """
        return time.monotonic() - self._applied_at

    @property
    def freshness(self) -> Freshness:
        """Revision, era and age of this host's copy of the store.

        The revision is 0 before the first read.
        """
        return Freshness(self._known.revision, self.age_s, self._known.era)

    @property
    def failures(self) -> Mapping[str, int]:
        """Number of failed attempts to follow the store, by step."""
        return self._failures

    @property
    def stalled(self) -> bool:
        """Whether the copy is older than the propagation limit."""
        return self._stalls.stalled

    async def wait_first_read(self, timeout_s: float) -> bool:
        """Wait for the first read of the store, up to ``timeout_s`` seconds.

        Return whether it is done.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._first_read.wait()
        except TimeoutError:
            return False

    async def run(self) -> None:
        """Follow the store until cancelled.

        Reads everything again if the store has discarded changes or if its
        answer cannot be used, and retries with back-off if a call fails.
        """
        while True:
            try:
                await self._follow_once()
            except Exception as error:
                await self._recover(error)

    async def expire(self) -> None:
        """Drop targets, hosts and closed data centres that did not return.

        Also report a copy of the store that is stalled. Runs until cancelled.
        """
        while True:
            await asyncio.sleep(COALESCING_DELAY_S)
            now = time.monotonic()
            for identity in self._directory.expire(now):
                log_event('target_expired', {'target': identity})
            self._log(self._cluster_state.expire(now))
            stall = self._stalls.check(self.age_s)
            if stall is not None:
                self._log((stall,))

    async def _follow_once(self) -> None:
        if self._position is None:
            await self._read_all()
            return
        # A call that is lost in an outage takes until its timeout, which
        # includes the time that it may wait for changes.
        wait_s = self._pacing.watch_wait_s if self._outage_since is None else 0
        self._progress.enter(FollowStep.WATCH)
        changes = await self._changes_after(self._position, wait_s)
        self._progress.enter(FollowStep.APPLY)
        self._record_success()
        self._set_position(changes.position)
        now = time.monotonic()
        unapplied = self._cluster_state.unapplied_count
        for fact in changes.facts:
            self._log(self._cluster_state.apply(fact, now))
        if self._cluster_state.unapplied_count > unapplied:
            # The store reports a change once; a full read has its outcome.
            await self._read_again(FOLLOW_STEP, 'a change was not applied')
            return
        self._applied_at = now
        self._pacing.reset_backoff()
        if changes.facts:
            grace_left_s = self._directory.grace_left_s(now)
            await self._pause(self._pacing.pause_after_changes_s(grace_left_s))

    async def _read_all(self) -> None:
        self._progress.enter(FollowStep.READ)
        stored = await self._store.read_all()
        self._progress.enter(FollowStep.APPLY)
        self._record_success()
        self._set_position(stored.position)
        log_event(
            'store_read',
            {
                'step': 'store',
                'items': len(stored.facts),
                **self._log_position(),
            },
        )
        self._log(
            self._cluster_state.replace_all(stored.facts, time.monotonic())
        )
        self._applied_at = time.monotonic()
        self._first_read.set()

    async def _pause(self, pause_s: float) -> None:
        self._progress.enter(FollowStep.PAUSE)
        await asyncio.sleep(pause_s)

    async def _changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Return the changes after a position.

        Raises :class:`HistoryReplacedError` as soon as any call learns that
        the position's era has ended; a watch may never be answered then.
        """
        limit = asyncio.timeout(None)
        self._call_limit = limit
        try:
            async with limit:
                if position.era == self._store.eras.era:
                    return await self._store.changes_after(position, wait_s)
        except TimeoutError as error:
            # Ended by the rise of the era; the call has no other limit.
            raise self._era_ended(position) from error
        finally:
            self._call_limit = None
        raise self._era_ended(position)

    def _era_ended(self, position: StorePosition) -> HistoryReplacedError:
        return HistoryReplacedError(
            'store.era',
            'store',
            f'era {self._store.eras.era} after {position.era}',
        )

    def _interrupt_call(self) -> None:
        if self._call_limit is not None:
            now = asyncio.get_running_loop().time()
            self._call_limit.reschedule(now)

    def _set_position(self, position: StorePosition) -> None:
        replaced = self._first_read.is_set() and (
            position.era != self._known.era
        )
        self._position = position
        self._known = position
        if replaced:
            self._cluster_state.start_restoration(time.monotonic())

    def _record_success(self) -> None:
        now = time.monotonic()
        if self._outage_since is not None:
            # It may have been away since its last answer: a lost watch fails
            # only after its waiting time and its time-out.
            outage_s = now - self._answered_at
            self._outage_since = None
            log_event(
                'store_regained',
                {'step': 'store', 'away_s': outage_s, **self._log_position()},
            )
            self._cluster_state.record_outage(outage_s, now)
            if outage_s >= LONG_OUTAGE_S:
                self._directory.start_lapse_grace_period(now)
        self._answered_at = now

    def _record_failure(self, step: str, cause: str) -> None:
        self._failures[step] += 1
        self._stalls.record_failure(cause)

    async def _recover(self, error: Exception) -> None:
        """Prepare the next attempt after an error."""
        match error:
            case HistoryLostError(step=step):
                self._record_failure(step, str(error))
                log_event('store_history_lost', {'error': error})
                self._position = None
                await self._pause(
                    self._pacing.pause_before_reading_again_s(spread=False)
                )
            case AnswerRejectedError(step=step, cause=cause):
                await self._read_again(step, cause)
            case StoreError(step=step):
                self._record_failure(step, str(error))
                await self._handle_failure(error)
            case _:
                await self._read_again(FOLLOW_STEP, repr(error))

    async def _handle_failure(self, error: StoreError) -> None:
        if self._outage_since is None:
            self._outage_since = time.monotonic()
            log_event(
                'store_lost',
                {
                    'step': error.step,
                    'peer': error.peer,
                    'cause': error.cause,
                    **self._log_position(),
                    'targets': len(self._directory),
                },
            )
        await self._pause(self._pacing.next_backoff_s())

    async def _read_again(self, step: str, cause: str) -> None:
        """Give up the position, since the same call would fail again.

        A full read that fails in this way is repeated with back-off.
        """
        self._record_failure(step, cause)
        log_event(
            'store_answer_rejected',
            {'step': step, 'cause': cause, **self._log_position()},
        )
        if self._position is None:
            await self._pause(self._pacing.next_backoff_s())
            return
        self._position = None
        await self._pause(
            self._pacing.pause_before_reading_again_s(spread=True)
        )

    def _log(self, changes: Iterable[StateChange]) -> None:
        for change in changes:
            log_event(
                change.event,
                {**dict(change.fields), 'revision': self._known.revision},
            )

    def _log_position(self) -> dict[str, object]:
        """Return the revision of this host's copy with its era."""
        era = self._known.era
        return {
            'revision': self._known.revision,
            'era': 'none' if era is None else era,
        }
