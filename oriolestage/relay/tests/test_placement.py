"""Tests of the choice of targets and of what it tells."""

import unittest

from oriolestage.relay._beliefs import BeliefChanged
from oriolestage.relay._placement import DECLINED_S, Placement
from oriolestage.relay._placement_types import (
    Chosen,
    HostPlace,
    NoRoom,
    Placed,
    Wanted,
)
from oriolestage.relay._target_load import SILENCE_S, SILENT_RUN
from oriolestage.relay._targets import TargetDirectory
from oriolestage.relay._warm_up import WarmUpBounds
from oriolestage.relay.tests.builders import REGIONS, make_record

SERVICE = 'shard-0'
WANTED = Wanted(SERVICE, 'route')


class PlacementTest(unittest.TestCase):
    """Targets that have no room or do not answer are passed over."""

    def setUp(self) -> None:
        """Know one target in each of two other regions."""
        self._directory = TargetDirectory()
        for identity, data_centre in (('t-b', 'dc-b'), ('t-c', 'dc-c')):
            record = make_record(identity, SERVICE, data_centre)
            self._directory.register(record, 0)
        self._told: list[BeliefChanged] = []
        self._placement = Placement(
            HostPlace('host-1', 'dc-a', REGIONS),
            self._directory,
            WarmUpBounds(),
            self._told.append,
        )

    def _choose(self, now: float) -> Placed:
        return self._placement.choose(WANTED, (), now)

    def _abandon(self, identity: str, attempt: int, now: float) -> None:
        target = self._directory.find(identity)
        assert target is not None
        seen = self._placement.seen
        seen.note_sent(target, attempt, now)
        seen.note_abandoned(target, attempt, 0.02, now + SILENCE_S)

    def test_declined(self) -> None:
        """What another host has no room for is not sent there again."""
        self._placement.note_declined(SERVICE, 'region-b', 0.01, 1)
        for _ in range(3):
            placed = self._choose(1.01)
            assert isinstance(placed, Chosen)
            self.assertEqual(placed.target.record.identity, 't-c')
        self._placement.note_declined(SERVICE, 'region-c', 2, 1)
        placed = self._choose(1.01)
        assert isinstance(placed, NoRoom)
        self.assertLess(placed.wait_s, DECLINED_S)
        placed = self._choose(1 + DECLINED_S)
        assert isinstance(placed, Chosen)
        self.assertEqual(placed.target.record.identity, 't-b')

    def test_left_alone_is_told(self) -> None:
        """A target that falls silent and answers again is told of."""
        for attempt in range(SILENT_RUN):
            self._abandon('t-b', attempt, 1)
        self.assertEqual(
            [change.event for change in self._told],
            ['target_left_alone'],
        )
        fields = dict(self._told[0].fields)
        self.assertEqual(fields['target'], 't-b')
        self.assertEqual(fields['cause'], 'silent')
        target = self._directory.find('t-b')
        assert target is not None
        self._placement.seen.note_sent(target, 9, 3)
        self._placement.seen.record_answer(target, 9, 3.1)
        self.assertEqual(self._told[-1].event, 'target_answers_again')
