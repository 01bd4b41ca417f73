"""Tests of the quarantine of requests that crash targets."""

import asyncio
import time
import unittest
from collections.abc import Sequence

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._crash_tracking import (
    REPORT_INTERVAL_S,
    CrashReporter,
    CrashTrackingSender,
)
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._ports import Lease, RequestMetadata, StoreError
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._target_client import TargetCall
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Failed,
    GiveUpReason,
    NotRunReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._crash_detector import (
    QUARANTINE_S,
    CrashDetector,
    CrashReport,
    fingerprint_of,
)
from oriolestage.routing._facts import ConfigurationStored, TargetRemoved
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing.tests.builders import (
    make_answer,
    make_crash_detector,
    make_placement,
    make_record,
    make_rule,
)

#: Fingerprints of the request whose connections break and of another one.
FINGERPRINT = 1
OTHER_FINGERPRINT = 2
BROKEN = AttemptLost('target.ConnectionResetError', broken=True)
NOT_REACHED = AttemptNotRun(NotRunReason.NOT_REACHED)


class CrashingTargets:
    """Fails each attempt with a broken connection."""

    def __init__(self) -> None:
        """Create targets without attempts."""
        self.crashed: list[str] = []

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Return the outcome of a broken connection."""
        self.crashed.append(call.target)
        return AttemptLost('target.ClientOSError', broken=True)


class ScriptedOutcomes:
    """Ends attempts with given outcomes, in order."""

    def __init__(self, outcomes: Sequence[AttemptOutcome]) -> None:
        """Create a sender of attempts that end with ``outcomes``."""
        self._outcomes = list(outcomes)

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Return the next outcome."""
        return self._outcomes.pop(0)


class RefusedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A refused connection shows a crash only if other targets are reached.

    When a host loses its links, connections break and are refused at once;
    the requests on them were taken for the cause and refused everywhere.
    """

    async def _end_attempts(
        self, *ends: tuple[str, AttemptOutcome]
    ) -> CrashDetector:
        """Send one request's attempts to the named targets."""
        detector = make_crash_detector()
        sender = CrashTrackingSender(
            ScriptedOutcomes([outcome for _, outcome in ends]), detector
        )
        for target, outcome in ends:
            fingerprint = OTHER_FINGERPRINT
            if isinstance(outcome, AttemptLost | AttemptNotRun):
                fingerprint = FINGERPRINT
            await sender.send(
                TargetCall(
                    request_id='a',
                    method='GET',
                    path='/x',
                    headers=(),
                    body=b'',
                    repeatable=True,
                    target=target,
                    address='10.0.0.1:1',
                    time_left_s=1,
                    fingerprint=fingerprint,
                )
            )
        return detector

    async def test_lost_links(self) -> None:
        """Requests in flight when the links are lost are not quarantined."""
        detector = await self._end_attempts(
            ('t-1', BROKEN),
            ('t-2', BROKEN),
            ('t-1', NOT_REACHED),
            ('t-2', NOT_REACHED),
        )
        left_s = detector.quarantine_left_s(FINGERPRINT, time.monotonic())
        self.assertEqual(left_s, 0)

    async def test_crashed_targets(self) -> None:
        """A request whose targets alone are down is quarantined."""
        detector = await self._end_attempts(
            ('t-1', BROKEN),
            ('t-2', BROKEN),
            ('t-3', AttemptAnswered(make_answer())),
            ('t-1', NOT_REACHED),
            ('t-2', NOT_REACHED),
        )
        left_s = detector.quarantine_left_s(FINGERPRINT, time.monotonic())
        self.assertGreater(left_s, 0)


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    """A request that crashed two targets is refused without an attempt."""

    def setUp(self) -> None:
        """Create a router that knows four targets of one service."""
        records = tuple(
            make_record(f't-{target_number}') for target_number in range(4)
        )
        placement, directory = make_placement(records=records)
        peers = PeerDirectory(placement.location)
        self._targets = CrashingTargets()
        crash_detector = make_crash_detector()
        self._cluster_state = ClusterState(
            directory, placement, peers, crash_detector
        )
        rule = make_rule(repeatable=False)
        table = build_table(1, (rule,), (), CallerLimits())
        self._cluster_state.apply(ConfigurationStored(table), 0)
        self._router = RequestRouter(
            self._cluster_state,
            placement,
            peers,
            CrashTrackingSender(self._targets, crash_detector),
            crash_detector,
            PeerClient(lambda _: None),
            BudgetBounds(),
            RequestLog(EntryMetrics(), float),
        )

    async def _serve(self, path: str) -> RequestResult:
        return await self._router.serve(
            CallerRequest(
                metadata=RequestMetadata('a', 1.0),
                method='POST',
                host='search.example',
                path=path,
                headers=(('Host', 'search.example'),),
                body=b'poison',
                arrived_at=time.monotonic(),
                network_delay_s=0,
                fingerprint=fingerprint_of('POST', 'search.example', path, b''),
            ),
        )

    async def test_quarantine(self) -> None:
        """A quarantined request gets no further target; others do."""
        for _ in range(2):
            result = await self._serve('/rota/poison')
            self.assertIsInstance(result, Failed)
            crashed = self._targets.crashed[-1]
            self._cluster_state.apply(TargetRemoved(crashed), time.monotonic())
        result = await self._serve('/rota/poison')
        assert isinstance(result, Refused)
        self.assertEqual(result.reason, GiveUpReason.QUARANTINED)
        self.assertAlmostEqual(result.retry_after_s, QUARANTINE_S, delta=2)
        self.assertEqual(len(self._targets.crashed), 2)
        await self._serve('/rota/other')
        self.assertEqual(len(self._targets.crashed), 3)


class RecordingStore:
    """Collects crash reports; the next ``failures`` leases fail."""

    def __init__(self) -> None:
        """Create a store without reports."""
        self.reported: list[CrashReport] = []
        self.failures = 0

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Return a lease or raise :class:`StoreError`."""
        if self.failures:
            self.failures -= 1
            raise StoreError('store.kv-lease', 'store:1', 'status 503')
        return Lease(None, 1)

    async def report_crashes(
        self,
        reports: Sequence[CrashReport],
        lease: Lease,
    ) -> None:
        """Collect reports."""
        self.reported.extend(reports)


class CrashReporterTest(unittest.IsolatedAsyncioTestCase):
    """Detected crashes are written to the store."""

    async def test_store_fails_once(self) -> None:
        """A failed report does not stop later ones."""
        store = RecordingStore()
        store.failures = 1
        detector = make_crash_detector()
        reporter = CrashReporter(store, detector)  # type: ignore[arg-type]
        running = asyncio.create_task(reporter.run())
        for number in range(2):
            detector.record_connection_loss(number, 't-1', 1)
            detector.record_target_down('t-1', 1)
            await asyncio.sleep(REPORT_INTERVAL_S * 1.5)
        running.cancel()
        self.assertEqual(store.reported, [CrashReport(1, 't-1')])
