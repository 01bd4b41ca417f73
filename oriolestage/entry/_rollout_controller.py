"""Takes part in roll-outs: writes this host's counters and statuses."""

import asyncio
import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._ports import (
    Lease,
    LeaseEndedError,
    RolloutStore,
    StoreError,
)
from oriolestage.rollouts._book import RolloutBook
from oriolestage.rollouts._decisions import RolloutDecider
from oriolestage.rollouts._orders import RolloutStatus
from oriolestage.rollouts._reports import RolloutReports

#: Interval at which decisions are made, in seconds.
DECISION_INTERVAL_S = 0.2
#: The same while there is no order, in seconds.
IDLE_INTERVAL_S = 0.5
#: Interval at which counters are written, in seconds, and how many at once.
REPORT_INTERVAL_S = 0.5
REPORTS_LIMIT = 32
#: Writes of counters per second of all hosts together, at most.
REPORT_RATE_LIMIT = 600
#: Time after a failed call before the next one of its kind, in seconds.
RETRY_INTERVAL_S = 0.5
#: Time after the write of a status for which its change is awaited, in
#: seconds.
AWAIT_CHANGE_S = 3.0
#: Time to live of the lease of the counters, and the interval at which it is
#: renewed, in seconds.
LEASE_TTL_S = 60.0
RENEWAL_INTERVAL_S = 20.0


class RolloutController:
    """Writes counters and statuses of roll-outs until cancelled."""

    def __init__(
        self,
        store: RolloutStore,
        book: RolloutBook,
        decider: RolloutDecider,
        host_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a controller that has written nothing.

        ``host_count`` returns the number of hosts that share the store.
        """
        self._host_count = host_count
        self._store = store
        self._book = book
        self._reports = RolloutReports(book)
        self._decider = decider
        self._clock = clock
        self._lease: Lease | None = None
        self._renew_at = float('-inf')
        self._report_at = float('-inf')

    async def run(self) -> None:
        """Write what is due until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_reports())
            tasks.create_task(self._run_decisions())

    async def _run_reports(self) -> None:
        while True:
            await asyncio.sleep(report_interval_s(self._host_count()))
            await self._report()

    async def _run_decisions(self) -> None:
        while True:
            await asyncio.sleep(
                DECISION_INTERVAL_S if self._book.busy else IDLE_INTERVAL_S
            )
            now = self._clock()
            changes = self._book.remove_unconfirmed(now)
            changes += self._book.changes_of_shares(now)
            for change in changes:
                log_event(change.event, dict(change.fields))
            for status in self._decider.due_statuses(now):
                if not await self._write_status(status):
                    # The others were decided before this call had failed,
                    # which may have taken seconds.
                    break

    async def _report(self) -> None:
        if not self._book.busy:
            return
        now = self._clock()
        reports = self._reports.due(now, REPORTS_LIMIT)
        if not reports or now < self._report_at:
            return
        try:
            lease = await self._usable_lease(now)
            await self._store.write_evidence(reports, lease)
        except StoreError as error:
            if isinstance(error, LeaseEndedError):
                self._lease = None
                self._book.own.forget_written()
            self._report_at = self._clock() + RETRY_INTERVAL_S
            log_event(
                'rollout_reports_delayed',
                {'reports': len(reports), 'error': error},
            )
        else:
            self._reports.record_written(reports, now)

    async def _usable_lease(self, now: float) -> Lease:
        lease = self._lease
        if lease is None:
            lease = await self._store.open_lease(LEASE_TTL_S)
        elif now >= self._renew_at:
            await self._store.renew_lease(lease)
        else:
            return lease
        self._lease = lease
        self._renew_at = now + RENEWAL_INTERVAL_S
        return lease

    async def _write_status(self, status: RolloutStatus) -> bool:
        """Write a status; return whether that was done."""
        named = {
            'service': status.service,
            'version': status.target_version,
            'state': status.state.value,
            'phase': status.phase.value,
            'share': status.share,
            'elapsed_s': status.elapsed_s,
            'reason': status.reason,
        }
        written = False
        try:
            await self._store.write_status(status)
        except StoreError as error:
            # Another host may have been faster, or the call may be done late.
            quiet_s = RETRY_INTERVAL_S
            log_event('rollout_status_not_written', {**named, 'error': error})
        else:
            quiet_s = AWAIT_CHANGE_S
            log_event('rollout_status_written', named)
            written = True
        self._decider.record_write(status.service, self._clock() + quiet_s)
        return written


def report_interval_s(hosts: int) -> float:
    """Return the interval at which each of some hosts writes counters."""
    return max(REPORT_INTERVAL_S, hosts / REPORT_RATE_LIMIT)
