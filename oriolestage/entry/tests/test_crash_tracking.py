"""Tests of the quarantine of requests that crash targets."""

import asyncio
import time
import unittest
from collections.abc import Sequence

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._crash_tracking import CrashTrackingSender
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._ports import RequestMetadata
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.account_checks import (
    make_unused_checker,
    make_unused_quotas,
)
from oriolestage.entry.tests.target_calls import make_call
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
    RETENTION_S,
    CrashDetector,
    fingerprint_of,
)
from oriolestage.routing._facts import (
    ConfigurationStored,
    TargetRemoved,
    TargetStored,
)
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing._trials import TRIAL_DELAYS_S, TrialReport
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
        #: Whether connections are refused instead.
        self.away = False
        #: Whether attempts have no outcome.
        self.silent = False

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Return the outcome of a broken connection."""
        if self.away:
            return NOT_REACHED
        self.crashed.append(call.target)
        if self.silent:
            await asyncio.Event().wait()
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
            await sender.send(make_call(target, fingerprint))
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

    async def test_answers(self) -> None:
        """Guards against an error of a failing target that clears a request.

        It may have been sent without running the request. Other answers show
        that targets do not crash with it.
        """
        for status, quarantined in (
            (200, False),
            (404, False),
            (500, True),
            (503, True),
        ):
            detector = make_crash_detector()
            answered = AttemptAnswered(make_answer(status))
            sender = CrashTrackingSender(
                ScriptedOutcomes([BROKEN, BROKEN, answered]), detector
            )
            for target in ('t-1', 't-2', 't-3'):
                await sender.send(make_call(target, FINGERPRINT))
            now = time.monotonic()
            for target in ('t-1', 't-2'):
                detector.record_target_down(target, now)
            left_s = detector.quarantine_left_s(FINGERPRINT, now)
            with self.subTest(status=status):
                self.assertEqual(left_s > 0, quarantined)


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
            make_unused_checker(),
            make_unused_quotas(),
            claim_trial=self._claim_trial,
        )
        self._may_claim = True
        self._claims = 0

    async def _claim_trial(self, _: TrialReport) -> bool:
        self._claims += 1
        return self._may_claim

    async def _serve(
        self, path: str, arrived_at: float | None = None
    ) -> RequestResult:
        return await self._router.serve(
            CallerRequest(
                metadata=RequestMetadata('a', 1.0),
                method='POST',
                host='search.example',
                path=path,
                headers=(('Host', 'search.example'),),
                body=b'poison',
                arrived_at=arrived_at or time.monotonic(),
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
        self.assertAlmostEqual(result.retry_after_s, TRIAL_DELAYS_S[0], delta=2)
        self.assertEqual(len(self._targets.crashed), 2)
        await self._serve('/rota/other')
        self.assertEqual(len(self._targets.crashed), 3)

    async def test_repeated_longer(self) -> None:
        """Guards against a request that is let through while it still comes.

        It crashed all targets of its service again each time that its
        quarantine ended. A few trials, at one target each, are all it gets.
        """
        for _ in range(2):
            await self._serve('/rota/poison')
            crashed = self._targets.crashed[-1]
            self._cluster_state.apply(TargetRemoved(crashed), time.monotonic())
        arrived_at = time.monotonic()
        result: RequestResult | None = None
        for repetition in range(1, 20):
            result = await self._serve(
                '/rota/poison', arrived_at + repetition * 30.0
            )
        self.assertEqual(len(self._targets.crashed), 2 + len(TRIAL_DELAYS_S))
        assert isinstance(result, Refused)
        # The sum and difference of monotonic times is not exact.
        self.assertAlmostEqual(result.retry_after_s, RETENTION_S)

    async def _quarantine(self) -> None:
        """Crash two targets with the request."""
        for _ in range(2):
            await self._serve('/rota/poison')
            crashed = self._targets.crashed[-1]
            self._cluster_state.apply(TargetRemoved(crashed), time.monotonic())

    async def test_unused_trial(self) -> None:
        """Guards against trials that are used up while targets are away.

        After an outage as long as the first two trials, a page that crashes
        no target was refused for five minutes.
        """
        await self._quarantine()
        self._targets.away = True
        arrived_at = time.monotonic()
        for repetition in range(1, 100):
            await self._serve('/rota/poison', arrived_at + repetition)
        self.assertEqual(len(self._targets.crashed), 2)
        self.assertEqual(self._claims, 1)
        self._targets.away = False
        # The known ones are in back-off.
        self._cluster_state.apply(TargetStored(make_record('t-9')), arrived_at)
        await self._serve('/rota/poison', arrived_at + 102)
        self.assertEqual(len(self._targets.crashed), 3)

    async def test_cancelled_trial(self) -> None:
        """Guards against a caller that leaves and so renews the trial."""
        await self._quarantine()
        self._targets.silent = True
        arrived_at = time.monotonic()
        for repetition in range(1, 20):
            serving = asyncio.create_task(
                self._serve('/rota/poison', arrived_at + repetition * 30.0)
            )
            await asyncio.sleep(0.01)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
        self.assertEqual(len(self._targets.crashed), 2 + len(TRIAL_DELAYS_S))

    async def test_trial_not_claimed(self) -> None:
        """A request is refused if another host, or none, may try it."""
        self._may_claim = False
        for _ in range(2):
            await self._serve('/rota/poison')
            crashed = self._targets.crashed[-1]
            self._cluster_state.apply(TargetRemoved(crashed), time.monotonic())
        arrived_at = time.monotonic()
        for repetition in range(1, 20):
            result = await self._serve(
                '/rota/poison', arrived_at + repetition * 30.0
            )
            assert isinstance(result, Refused)
            self.assertGreater(result.retry_after_s, 0)
        self.assertEqual(len(self._targets.crashed), 2)
