"""Tests of the writes of one host about roll-outs."""

import asyncio
import dataclasses
import unittest
from collections.abc import Sequence
from typing import cast

from oriolestage.entry._ports import (
    Lease,
    LeaseEndedError,
    RolloutStore,
    StoreError,
)
from oriolestage.entry._rollout_controller import (
    DECISION_INTERVAL_S,
    LEASE_TTL_S,
    RENEWAL_INTERVAL_S,
    REPORT_INTERVAL_S,
    REPORT_RATE_LIMIT,
    RETRY_INTERVAL_S,
    RolloutController,
    report_interval_s,
)
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.rollouts._orders import HostEvidence, RolloutStatus
from oriolestage.rollouts.tests.builders import (
    NEW,
    OLD,
    SERVICE,
    Host,
    make_order,
    make_status,
    targets_of,
)
from oriolestage.routing._facts import OrderStored, StatusStored

REFUSED = StoreError('store.write', 'store:1', 'status 503')
ENDED = LeaseEndedError('store.write', 'store:1', 'not found')


class RecordingStore:
    """Collects counters, statuses and leases."""

    def __init__(self) -> None:
        """Create a store in which calls succeed."""
        self.reports: list[HostEvidence] = []
        self.statuses: list[RolloutStatus] = []
        self.leases = 0
        self.renewals = 0
        #: Errors of the next writes, in order.
        self.errors: list[StoreError] = []

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Return a lease."""
        self.leases += 1
        return Lease(None, self.leases)

    async def renew_lease(self, lease: Lease) -> None:
        """Count a renewal."""
        self.renewals += 1

    async def write_evidence(
        self, reports: Sequence[HostEvidence], lease: Lease
    ) -> None:
        """Collect counters or raise an error."""
        self._fail()
        self.reports.extend(reports)

    async def write_status(self, status: RolloutStatus) -> None:
        """Collect a status or raise an error."""
        self._fail()
        self.statuses.append(status)

    def _fail(self) -> None:
        if self.errors:
            raise self.errors.pop(0)


class ControllerTest(unittest.TestCase):
    """Counters and statuses are written as often as they are needed."""

    def setUp(self) -> None:
        """Create a host that decides alone, with one order."""
        self._loop = VirtualTimeLoop()
        self.addCleanup(self._loop.close)
        self._store = RecordingStore()
        self._host = Host(hosts=('host-0',))
        self._host.book.replace_all(targets_of(OLD), 0)
        now = self._loop.time()
        self._host.book.apply(OrderStored(make_order()), now)

    def _run(self, duration_s: float, requests_per_s: float = 0) -> None:
        async def play() -> None:
            controller = RolloutController(
                cast(RolloutStore, self._store),
                self._host.book,
                self._host.decider,
                lambda: 1,
                self._loop.time,
            )
            task = asyncio.create_task(controller.run())
            for _ in range(round(duration_s * requests_per_s)):
                await asyncio.sleep(1 / requests_per_s)
                self._host.book.own.record_sent(SERVICE, NEW)
            await asyncio.sleep(0 if requests_per_s else duration_s)
            task.cancel()
            await asyncio.wait((task,))

        run_in_virtual_time(self._loop, play())

    def _start_canary(self) -> None:
        status = make_status()
        self._host.book.apply(StatusStored(status), self._loop.time())

    def test_status(self) -> None:
        """Guards against a status that is written in each interval."""
        self._run(2)
        self.assertEqual(len(self._store.statuses), 1)

    def test_refused_status(self) -> None:
        """Guards against a refused status that is written again at once."""
        self._store.errors = [REFUSED]
        self._run(RETRY_INTERVAL_S)
        self.assertEqual(self._store.statuses, [])

    def test_repeated_status(self) -> None:
        """Guards against a refused status that is not written again."""
        self._store.errors = [REFUSED]
        self._run(RETRY_INTERVAL_S * 2 + 0.1)
        self.assertEqual(len(self._store.statuses), 1)

    def test_other_statuses(self) -> None:
        """Guards against a decision that is written after a long call."""
        now = self._loop.time()
        order = dataclasses.replace(make_order(), service='other')
        self._host.book.apply(OrderStored(order), now)
        self._store.errors = [REFUSED]
        self._run(DECISION_INTERVAL_S * 1.5)
        self.assertEqual(self._store.statuses, [])

    def test_counters(self) -> None:
        """Counters that change all the time are written at the interval."""
        self._start_canary()
        self._run(2, requests_per_s=50)
        self.assertLessEqual(len(self._store.reports), 2 / REPORT_INTERVAL_S)
        self.assertGreaterEqual(len(self._store.reports), 3)

    def test_unchanged_counters(self) -> None:
        """Guards against writes without new requests."""
        self._start_canary()
        self._host.book.own.record_sent(SERVICE, NEW)
        self._run(5)
        self.assertEqual(len(self._store.reports), 1)

    def test_ended_lease(self) -> None:
        """Counters are written under another lease if theirs has ended."""
        self._start_canary()
        self._store.errors = [ENDED]
        self._host.book.own.record_sent(SERVICE, NEW)
        self._run(1.9)
        self.assertEqual(self._store.leases, 2)
        self.assertEqual(len(self._store.reports), 1)

    def test_lost_counters(self) -> None:
        """Counters that the store has lost are written again unchanged."""
        self._start_canary()
        self._host.book.own.record_sent(SERVICE, NEW)
        self._loop.call_later(2, self._host.book.start_restoration, 0)
        self._run(5)
        self.assertEqual(len(self._store.reports), 2)

    def test_counters_of_an_ended_lease(self) -> None:
        """All counters of an ended lease are written under the next one."""
        self._start_canary()
        now = self._loop.time()
        order = dataclasses.replace(make_order(), service='other')
        self._host.book.apply(OrderStored(order), now)
        status = make_status(service='other')
        self._host.book.apply(StatusStored(status), now)
        for service in (SERVICE, 'other'):
            self._host.book.own.record_sent(service, NEW)
        self._loop.call_later(2, self._store.errors.append, ENDED)
        self._loop.call_later(2, self._host.book.own.record_sent, 'other', NEW)
        self._run(7)
        written = [report.service for report in self._store.reports]
        self.assertEqual(written.count(SERVICE), 2)

    def test_renewal(self) -> None:
        """Guards against counters that vanish while they are needed."""
        self._start_canary()
        self._run(RENEWAL_INTERVAL_S + 2, requests_per_s=2)
        self.assertEqual(self._store.leases, 1)
        self.assertEqual(self._store.renewals, 1)
        self.assertLess(RENEWAL_INTERVAL_S * 2, LEASE_TTL_S)

    def test_interval_with_many_hosts(self) -> None:
        """Guards against more writes than the store takes of all hosts."""
        for hosts in (1, 75, 300, 620):
            rate = hosts / report_interval_s(hosts)
            self.assertLessEqual(rate, REPORT_RATE_LIMIT, hosts)
