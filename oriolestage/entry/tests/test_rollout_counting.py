"""Tests of the counts of attempts by version and route."""

import asyncio
import dataclasses
import unittest

from oriolestage.entry._rollout_counting import RolloutCountingSender
from oriolestage.entry._target_client import ExchangeTimer, TargetCall
from oriolestage.rollouts._evidence import OwnEvidence
from oriolestage.rollouts._orders import HostEvidence
from oriolestage.rollouts.tests.builders import make_order
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing.tests.builders import (
    make_answer,
    make_placement,
    make_record,
)

SERVICE = 'search'
CALL = TargetCall(
    request_id='a',
    method='GET',
    path='/x',
    headers=(),
    body=b'',
    repeatable=True,
    target='t-v2',
    address='10.0.0.1:1',
    time_left_s=1,
    fingerprint=1,
    route='r-1',
)


class FixedOutcome:
    """Sends attempts at a time and ends them with one outcome."""

    def __init__(self, outcome: AttemptOutcome | None, *, sends: bool) -> None:
        """Create a sender; without an outcome, attempts are cancelled."""
        self._outcome = outcome
        self._sends = sends

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Return the outcome."""
        if self._sends:
            call.timer.sent_at = 0
        if self._outcome is None:
            raise asyncio.CancelledError
        return self._outcome


class CountingTest(unittest.IsolatedAsyncioTestCase):
    """Responses are counted as what they say about a version."""

    async def _count(
        self,
        outcome: AttemptOutcome | None,
        target: str = 't-v2',
        *,
        sends: bool = True,
    ) -> HostEvidence:
        placement, _ = make_placement(
            records=tuple(
                make_record(f't-{version}', SERVICE, version=version)
                for version in ('v1', 'v2')
            )
        )
        own = OwnEvidence('host-1', 'p')
        own.start(make_order())
        sender = RolloutCountingSender(
            FixedOutcome(outcome, sends=sends), own, placement, lambda: 0.5
        )
        call = dataclasses.replace(CALL, target=target, timer=ExchangeTimer())
        if outcome is None:
            with self.assertRaises(asyncio.CancelledError):
                await sender.send(call)
        else:
            self.assertIs(await sender.send(call), outcome)
        evidence = own.take(SERVICE, 1)
        assert evidence is not None
        return evidence

    async def test_versions(self) -> None:
        """Each response counts for the version of its target."""
        answered = AttemptAnswered(make_answer())
        evidence = await self._count(answered)
        self.assertEqual((evidence.requests, evidence.exposed), (1, 1))
        self.assertEqual(evidence.new['r-1'].responses, 1)
        evidence = await self._count(answered, 't-v1')
        self.assertEqual((evidence.requests, evidence.exposed), (1, 0))
        self.assertEqual(evidence.old['r-1'].responses, 1)

    async def test_failures(self) -> None:
        """Errors, broken connections and invalid responses are failures."""
        for outcome in (
            AttemptAnswered(make_answer(500)),
            AttemptLost('target.ConnectionResetError', broken=True),
            AttemptLost('target.MalformedResponseError'),
        ):
            evidence = await self._count(outcome)
            self.assertEqual(evidence.new['r-1'].failures, 1, outcome)
        evidence = await self._count(AttemptAnswered(make_answer(404)))
        self.assertEqual(evidence.new['r-1'].failures, 0)

    async def test_without_response(self) -> None:
        """Guards against a slow version whose attempts are all given up."""
        for outcome in (None, AttemptLost('target.deadline')):
            evidence = await self._count(outcome)
            counts = evidence.new['r-1']
            self.assertEqual(counts.responses, 0, outcome)
            self.assertEqual(counts.abandoned.total(), 1, outcome)

    async def test_not_sent(self) -> None:
        """Guards against refusals and lost links that count as failures."""
        shed = AttemptNotRun(NotRunReason.SHED)
        self.assertEqual((await self._count(shed)).new, {})
        evidence = await self._count(None, sends=False)
        self.assertEqual(evidence.new, {})
