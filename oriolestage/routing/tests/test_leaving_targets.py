"""Tests of targets that say in their responses that they leave."""

import unittest

from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoTarget,
    TargetRequirements,
)
from oriolestage.routing.tests.builders import make_placement, make_record

REQUIREMENTS = TargetRequirements('shard-0', 'route')


class LeavingTargetTest(unittest.TestCase):
    """A target that leaves gets no new attempts, whatever the store says.

    While the store was away, hosts sent on until it told them of the target.
    """

    def setUp(self) -> None:
        """Register two targets; the nearer one says that it leaves."""
        self._placement, self._directory = make_placement(
            records=(
                make_record('t-1'),
                make_record('t-2', data_centre='dc-b'),
            ),
        )
        self.assertEqual(self._chosen(0), 't-1')
        self._placement.record_leaving('t-1')

    def _chosen(self, now: float) -> str:
        choice = self._placement.choose(REQUIREMENTS, (), now)
        if isinstance(choice, ChosenTarget):
            return choice.target.record.identity
        return type(choice).__name__

    def test_no_attempts(self) -> None:
        """The other target gets all attempts from then on."""
        self.assertEqual({self._chosen(now) for now in range(1, 60)}, {'t-2'})

    def test_registered_again(self) -> None:
        """A registration of the same process does not undo it."""
        self._directory.register(make_record('t-1', warm_up_left_s=1), 2)
        self._directory.replace_all(
            [make_record('t-1'), make_record('t-2', data_centre='dc-b')], 3
        )
        self.assertEqual(self._chosen(4), 't-2')

    def test_restarted(self) -> None:
        """A new process of the target is used."""
        self._directory.register(make_record('t-1', started_ms=2), 2)
        self.assertEqual(self._chosen(3), 't-1')

    def test_no_attempts_through_other_hosts(self) -> None:
        """Nor is it used through another host."""
        reached = self._placement.targets_in_region('shard-0', 'region-a')
        self.assertEqual(reached, [])

    def test_only_target(self) -> None:
        """A service whose only target leaves has none."""
        self._directory.remove('t-2', 2)
        self.assertEqual(self._chosen(3), NoTarget.__name__)
