"""Follows the store and keeps this host registered in it."""

import asyncio
import random
import time
from collections.abc import Iterable

from oriolestage._logging import log_event
from oriolestage.entry._ports import (
    HistoryLostError,
    LeaseEndedError,
    Store,
    StoreError,
)
from oriolestage.relay._beliefs import BeliefChanged, Freshness
from oriolestage.relay._facts import HostRecord
from oriolestage.relay._knowledge import Knowledge
from oriolestage.relay._targets import TargetDirectory

#: Longest wait of one call for changes, as a part of the time after which
#: hosts must know what the store held when it became stable. A waiting call
#: may miss changes while the store drops its history, without being cut.
WATCH_PART = 0.6
#: Pause after changes, so that changes in a row come in one answer, seconds.
GATHER_PAUSE_S = 0.3
#: First and longest pause after a failed call, in seconds.
RETRY_PAUSE_S = 0.1
RETRY_PAUSE_LIMIT_S = 0.8
#: Time without any answer after which lapsed registrations are allowed for.
LAPSE_AFTER_S = 1.0
#: Time for which this host's registration outlives it, in seconds.
LEASE_S = 8.0
#: Time between renewals, in seconds.
RENEWAL_S = 2.5
#: Factors between which the time is drawn, so that hosts spread out.
RENEWAL_SPREAD = (0.9, 1.1)


class StoreFollower:
    """Reads the store once and then follows its changes."""

    def __init__(
        self,
        store: Store,
        knowledge: Knowledge,
        directory: TargetDirectory,
        propagation_limit_s: float,
    ) -> None:
        """Prepare to follow; nothing is read yet.

        ``contact_s`` is the time after which a host in touch with the store
        has to know what it holds.
        """
        self._wait_s = propagation_limit_s * WATCH_PART
        self._store = store
        self._knowledge = knowledge
        self._directory = directory
        self._revision: int | None = None
        self._known_revision = 0
        self._answered_at = time.monotonic()
        self._lost_since: float | None = None
        self._pause_s = RETRY_PAUSE_S
        self._first_read = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Time since the store last answered or was known to listen."""
        return time.monotonic() - self._answered_at

    @property
    def freshness(self) -> Freshness:
        """How new the knowledge is; revision 0 before the first reading."""
        return Freshness(self._known_revision, self.age_s)

    async def wait_first_read(self, limit_s: float) -> bool:
        """Wait until the store was read; tell whether it was in time."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._first_read.wait()
        except TimeoutError:
            return False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                log_event('store_history_lost', {'error': error})
                self._revision = None
            except StoreError as error:
                await self._note_failure(error)

    async def expire(self) -> None:
        """Forget targets and hosts whose registrations did not return."""
        while True:
            await asyncio.sleep(GATHER_PAUSE_S)
            now = time.monotonic()
            for identity in self._directory.expire(now):
                log_event('target_expired', {'target': identity})
            self._log(self._knowledge.expire_hosts(now))

    async def _step(self) -> None:
        if self._revision is None:
            view = await self._store.read_all()
            self._note_answer()
            self._log(
                self._knowledge.replace_all(view.facts, time.monotonic()),
            )
            self._note_revision(view.revision)
            self._first_read.set()
            return
        changes = await self._store.changes_after(
            self._revision,
            self._wait_s,
        )
        self._note_answer()
        now = time.monotonic()
        for fact in changes.facts:
            self._log(self._knowledge.apply(fact, now))
        self._note_revision(changes.revision)
        if changes.facts:
            await asyncio.sleep(GATHER_PAUSE_S)

    def _note_revision(self, revision: int) -> None:
        self._revision = revision
        self._known_revision = revision

    def _note_answer(self) -> None:
        now = time.monotonic()
        self._pause_s = RETRY_PAUSE_S
        if self._lost_since is not None:
            away_s = now - self._lost_since
            self._lost_since = None
            log_event('store_regained', {'step': 'store', 'away_s': away_s})
            if away_s >= LAPSE_AFTER_S:
                self._directory.expect_lapses(now)
        self._answered_at = now

    async def _note_failure(self, error: StoreError) -> None:
        if self._lost_since is None:
            self._lost_since = time.monotonic()
            log_event(
                'store_lost',
                {
                    'step': error.step,
                    'peer': error.peer,
                    'cause': error.cause,
                    'revision': self._revision,
                    'targets': len(self._directory),
                },
            )
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1))
        self._pause_s = min(RETRY_PAUSE_LIMIT_S, self._pause_s * 2)

    def _log(self, changes: Iterable[BeliefChanged]) -> None:
        for change in changes:
            log_event(
                change.event,
                {**dict(change.fields), 'revision': self._revision},
            )


class HostRegistration:
    """Keeps this host registered while it takes requests."""

    def __init__(self, store: Store, record: HostRecord) -> None:
        """Prepare the registration of ``record``."""
        self._store = store
        self._record = record
        self._lease: int | None = None

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            try:
                await self._step()
            except LeaseEndedError as error:
                log_event('registration_ended', {'error': error})
                self._lease = None
                continue
            except StoreError as error:
                log_event('registration_failed', {'error': error})
            await asyncio.sleep(RENEWAL_S * random.uniform(*RENEWAL_SPREAD))

    async def withdraw(self) -> None:
        """End the registration, so that other hosts stop counting on it."""
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as error:
            log_event('registration_not_ended', {'error': error})

    async def _step(self) -> None:
        if self._lease is not None:
            await self._store.renew_lease(self._lease)
            return
        lease = await self._store.open_lease(LEASE_S)
        await self._store.register_host(self._record, lease)
        self._lease = lease
        log_event('registered', {'host': self._record.name, 'lease': lease})
