"""Tests of reports of crashes when calls to the store are lost or late."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from typing import cast

from oriolestage.entry._crash_tracking import (
    CLAIM_TIMEOUT_S,
    CLAIMS_LIMIT,
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
from oriolestage.entry._ports import (
    AnswerRejectedError,
    Lease,
    LeaseEndedError,
    Store,
    StoreError,
)
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._crash_detector import (
    REPORT_LIFETIME_S,
    REPORTS_LIMIT,
    CrashDetector,
    CrashReport,
    Fleet,
    QuarantineReport,
)
from oriolestage.routing._trials import TRIAL_DELAYS_S, TrialReport
from oriolestage.routing.tests.builders import make_crash_detector

#: Time in which a repeated report is written, in seconds.
REPEATED_S = REPORT_INTERVAL_S * 2 + RETRY_INTERVAL_S * max(RETRY_JITTER)
REFUSED = StoreError('store.write', 'store:1', 'status 503')
TAKEN = AnswerRejectedError('store.write', 'store:1', 'status 412')
ENDED = LeaseEndedError('store.write', 'store:1', 'not found')


class RecordingStore:
    """Collects crash reports and leases."""

    def __init__(self) -> None:
        """Create a store without reports."""
        #: Reports with the number of their lease.
        self.reported: list[tuple[QuarantineReport, int]] = []
        #: Time to live of each lease, in seconds.
        self.leases: list[float] = []
        #: Errors of the next calls of each kind, in order.
        self.open_errors: list[StoreError] = []
        self.report_errors: list[StoreError] = []
        self.claim_errors: list[StoreError] = []
        #: Claims of trials with the number of their lease.
        self.claimed: list[tuple[TrialReport, int]] = []
        #: Time that a claim takes, in seconds.
        self.claim_s: float = 0
        #: True while all calls fail.
        self.away = False

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Return a lease or raise an error."""
        self._fail(self.open_errors)
        self.leases.append(time_to_live_s)
        return Lease(None, len(self.leases))

    async def report_crashes(
        self, reports: Sequence[QuarantineReport], lease: Lease
    ) -> None:
        """Collect reports or raise an error."""
        self._fail(self.report_errors)
        self.reported.extend((report, lease.number) for report in reports)

    async def claim_trial(self, trial: TrialReport, lease: Lease) -> None:
        """Collect a claim, or raise an error if it was claimed before."""
        await asyncio.sleep(self.claim_s)
        self._fail(self.claim_errors)
        self.claimed.append((trial, lease.number))

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
        self.reporter = CrashReporter(cast(Store, store), self.detector)
        self._running = asyncio.create_task(self.reporter.run())

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
                REPORT_LIFETIME_S + used_s + LATEST_WRITE_S, LEASE_TTL_S
            )
        self.assertLessEqual(len(store.leases), 30 / LEASE_USE_S + 1)


class TrialClaimTest(unittest.TestCase):
    """A trial of a request needs a claim in the store."""

    def _claim(self, store: RecordingStore, claims: int = 1) -> list[bool]:
        """Return whether claims that are made at once succeed."""

        async def play() -> list[bool]:
            reporting = Reporting(store)
            granted = await asyncio.gather(
                *(
                    reporting.reporter.claim_trial(TrialReport(number, 1))
                    for number in range(claims)
                )
            )
            reporting.stop()
            return granted

        return run_in_virtual_time(VirtualTimeLoop(), play())

    def test_granted(self) -> None:
        """A claim that the store takes is granted, under a lease."""
        store = RecordingStore()
        self.assertEqual(self._claim(store), [True])
        self.assertEqual(store.claimed, [(TrialReport(0, 1), 1)])
        self.assertEqual(store.leases, [LEASE_TTL_S])

    def test_not_granted(self) -> None:
        """Guards against two hosts that run the same trial.

        A claim without an answer may have been done, and another host's may
        have been done before.
        """
        for error in (TAKEN, REFUSED, ENDED):
            store = RecordingStore()
            store.claim_errors.append(error)
            with self.subTest(error=error):
                self.assertEqual(self._claim(store), [False])
        store = RecordingStore()
        store.claim_s = CLAIM_TIMEOUT_S * 2
        self.assertEqual(self._claim(store), [False])

    def test_taken_trial(self) -> None:
        """The next claim after a taken trial is that of the next trial."""
        store = RecordingStore()
        store.claim_errors.append(TAKEN)
        numbers: list[int] = []

        async def play() -> None:
            reporting = Reporting(store)
            detector = reporting.detector
            for target in ('t-1', 't-2'):
                detector.record_report(CrashReport(7, target), 1000)
            fleet = Fleet('host-1', ('host-1',))
            for _ in range(2):
                await asyncio.sleep(TRIAL_DELAYS_S[1] + 1)
                now = asyncio.get_running_loop().time()
                trial = detector.take_due_trial(7, now, fleet)
                assert trial is not None
                numbers.append(trial.number)
                await reporting.reporter.claim_trial(trial)
            reporting.stop()

        run_in_virtual_time(VirtualTimeLoop(), play())
        self.assertEqual(numbers, [1, 2])

    def test_many_at_once(self) -> None:
        """Guards against a burst of claims after a power cut at the targets.

        Each request that was in flight is quarantined then.
        """
        store = RecordingStore()
        store.claim_s = CLAIM_TIMEOUT_S / 2
        granted = self._claim(store, claims=CLAIMS_LIMIT * 3)
        self.assertEqual(granted.count(True), CLAIMS_LIMIT)
