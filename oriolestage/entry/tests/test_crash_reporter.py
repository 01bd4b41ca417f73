"""Tests of reports of crashes when calls to the store are lost or late."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from typing import cast

from oriolestage.entry._crash_tracking import (
    LATEST_WRITE_S,
    LEASE_TTL_S,
    LEASE_USE_S,
    REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    RETRY_INTERVAL_S,
    RETRY_JITTER,
    WAITING_LIMIT,
    CrashReporter,
)
from oriolestage.entry._ports import Lease, LeaseEndedError, Store, StoreError
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._crash_detector import (
    QUARANTINE_S,
    REPORTS_LIMIT,
    CrashDetector,
    CrashReport,
)
from oriolestage.routing.tests.builders import make_crash_detector

#: Time in which a repeated report is written, in seconds.
REPEATED_S = REPORT_INTERVAL_S * 2 + RETRY_INTERVAL_S * max(RETRY_JITTER)
REFUSED = StoreError('store.write', 'store:1', 'status 503')
ENDED = LeaseEndedError('store.write', 'store:1', 'not found')


class RecordingStore:
    """Collects crash reports and leases."""

    def __init__(self) -> None:
        """Create a store without reports."""
        #: Reports with the number of their lease.
        self.reported: list[tuple[CrashReport, int]] = []
        #: Time to live of each lease, in seconds.
        self.leases: list[float] = []
        #: Errors of the next calls of each kind, in order.
        self.open_errors: list[StoreError] = []
        self.report_errors: list[StoreError] = []
        #: True while all calls fail.
        self.away = False

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Return a lease or raise an error."""
        self._fail(self.open_errors)
        self.leases.append(time_to_live_s)
        return Lease(None, len(self.leases))

    async def report_crashes(
        self, reports: Sequence[CrashReport], lease: Lease
    ) -> None:
        """Collect reports or raise an error."""
        self._fail(self.report_errors)
        self.reported.extend((report, lease.number) for report in reports)

    def _fail(self, errors: list[StoreError]) -> None:
        if self.away:
            raise REFUSED
        if errors:
            raise errors.pop(0)


class Reporting:
    """A reporter that runs, and its detector."""

    def __init__(self, store: RecordingStore) -> None:
        """Start a reporter."""
        self.store = store
        self.detector: CrashDetector = make_crash_detector()
        reporter = CrashReporter(cast(Store, store), self.detector)
        self._running = asyncio.create_task(reporter.run())

    def crash(self, fingerprint: int) -> None:
        """Let a request crash a target."""
        now = asyncio.get_running_loop().time()
        self.detector.record_connection_loss(fingerprint, 't-1', now)
        self.detector.record_target_down('t-1', now)

    def stop(self) -> None:
        """Stop the reporter."""
        self._running.cancel()


class CrashReporterTest(unittest.TestCase):
    """Detected crashes are written to the store."""

    def setUp(self) -> None:
        """Give the same random delays each time."""
        random.seed(7)

    def test_store_fails_once(self) -> None:
        """Guards against a report that is lost with one failed call.

        Until the others had found the crashes themselves, they let the
        request through.
        """

        async def play(store: RecordingStore) -> None:
            reporting = Reporting(store)
            for fingerprint in (0, 1):
                reporting.crash(fingerprint)
                await asyncio.sleep(REPEATED_S)
            reporting.stop()

        for error, leases in (
            ('open', (1, 1)),
            ('report', (1, 1)),
            ('ended', (2, 2)),
        ):
            store = RecordingStore()
            if error == 'open':
                store.open_errors.append(REFUSED)
            else:
                store.report_errors.append(
                    ENDED if error == 'ended' else REFUSED
                )
            with self.subTest(error=error):
                run_in_virtual_time(VirtualTimeLoop(), play(store))
                expected = [
                    (CrashReport(fingerprint, 't-1'), lease)
                    for fingerprint, lease in enumerate(leases)
                ]
                self.assertEqual(store.reported, expected)

    def test_store_away(self) -> None:
        """While the store is away, a bounded number of reports waits.

        They are dropped in the end; a request that still comes is reported
        again.
        """

        async def play(store: RecordingStore, away_s: float) -> None:
            reporting = Reporting(store)
            store.away = True
            for fingerprint in range(WAITING_LIMIT * 2):
                reporting.crash(fingerprint)
                await asyncio.sleep(0.01)
            await asyncio.sleep(away_s)
            store.away = False
            calls = WAITING_LIMIT / REPORTS_LIMIT
            await asyncio.sleep(REPEATED_S + calls * REPORT_INTERVAL_S)
            reporting.stop()

        for away_s, reported in ((0, WAITING_LIMIT), (REPORT_TIMEOUT_S, 0)):
            store = RecordingStore()
            with self.subTest(away_s=away_s):
                run_in_virtual_time(VirtualTimeLoop(), play(store, away_s))
                self.assertEqual(len(store.reported), reported)

    def test_late_report(self) -> None:
        """Guards against a late report that shortens a newer one.

        It takes the key to its older lease. That lease still lasts as long
        as a quarantine after the newer report.
        """

        async def play(store: RecordingStore) -> None:
            reporting = Reporting(store)
            for fingerprint in range(30):
                reporting.crash(fingerprint)
                await asyncio.sleep(1)
            reporting.stop()

        store = RecordingStore()
        run_in_virtual_time(VirtualTimeLoop(), play(store))
        self.assertEqual(set(store.leases), {LEASE_TTL_S})
        first: dict[int, int] = {}
        last: dict[int, int] = {}
        for report, lease in store.reported:
            first.setdefault(lease, report.fingerprint)
            last[lease] = report.fingerprint
        for lease, second in last.items():
            used_s = second - first[lease]
            self.assertLessEqual(
                QUARANTINE_S + used_s + LATEST_WRITE_S, LEASE_TTL_S
            )
        self.assertLessEqual(len(store.leases), 30 / LEASE_USE_S + 1)
