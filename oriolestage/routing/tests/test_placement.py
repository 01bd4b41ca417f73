"""Tests of the choice of targets and its log events."""

import unittest

from oriolestage.routing._placement import MIN_DECLINED_S, Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    HostLocation,
    NoCapacity,
    PlacementResult,
    TargetRequirements,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_load import MIN_SILENCE_S, MIN_UNANSWERED
from oriolestage.routing._targets import TargetDirectory
from oriolestage.routing._warm_up import WarmUpBounds
from oriolestage.routing.tests.builders import REGIONS, make_record

SERVICE = 'shard-0'
REQUIREMENTS = TargetRequirements(SERVICE, 'route')


class PlacementTest(unittest.TestCase):
    """Targets without capacity and silent targets are skipped."""

    def setUp(self) -> None:
        """Register one target in each of two other regions."""
        self._directory = TargetDirectory()
        for identity, data_centre in (('t-b', 'dc-b'), ('t-c', 'dc-c')):
            record = make_record(identity, SERVICE, data_centre)
            self._directory.register(record, 0)
        self._changes: list[StateChange] = []
        self._placement = Placement(
            HostLocation('host-1', 'dc-a', REGIONS),
            self._directory,
            WarmUpBounds(),
            self._changes.append,
        )

    def _choose(self, now: float) -> PlacementResult:
        return self._placement.choose(REQUIREMENTS, (), now)

    def _abandon(self, identity: str, attempt: int, now: float) -> None:
        target = self._directory.find(identity)
        assert target is not None
        observations = self._placement.observations
        observations.record_sent(target, attempt, now)
        observations.record_abandoned(
            target, attempt, 0.02, now + MIN_SILENCE_S
        )

    def test_declined(self) -> None:
        """Targets that another host declined are skipped for a while."""
        self._placement.record_declined(SERVICE, 'region-b', 0.01, 1)
        for _ in range(3):
            placed = self._choose(1.01)
            assert isinstance(placed, ChosenTarget)
            self.assertEqual(placed.target.record.identity, 't-c')
        self._placement.record_declined(SERVICE, 'region-c', 2, 1)
        placed = self._choose(1.01)
        assert isinstance(placed, NoCapacity)
        self.assertLess(placed.wait_s, MIN_DECLINED_S)
        placed = self._choose(1 + MIN_DECLINED_S)
        assert isinstance(placed, ChosenTarget)
        self.assertEqual(placed.target.record.identity, 't-b')

    def test_backoff_is_reported(self) -> None:
        """Back-off of a silent target, and its next answer, are reported."""
        for attempt in range(MIN_UNANSWERED):
            self._abandon('t-b', attempt, 1)
        self.assertEqual(
            [change.event for change in self._changes],
            ['target_left_alone'],
        )
        fields = dict(self._changes[0].fields)
        self.assertEqual(fields['target'], 't-b')
        self.assertEqual(fields['cause'], 'silent')
        target = self._directory.find('t-b')
        assert target is not None
        self._placement.observations.record_sent(target, 9, 3)
        self._placement.observations.record_answer(target, 9, 3.1)
        self.assertEqual(self._changes[-1].event, 'target_answers_again')
