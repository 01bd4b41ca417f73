"""Tests of recognising that no target is reached."""

import unittest

from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_reach import (
    MIN_SILENCE_S,
    MIN_UNREACHED_TARGETS,
    TargetReach,
)


class TargetReachTest(unittest.TestCase):
    """A host is cut off if several targets are silent and none responds."""

    def setUp(self) -> None:
        """Create a host that had a response at time 0."""
        self._changes: list[StateChange] = []
        self._reach = TargetReach(self._changes.append)
        self._reach.record_response(0)

    def _lose(self, targets: int, sent_at: float, now: float) -> None:
        for number in range(targets):
            self._reach.record_unreached(f't-{number}', sent_at, now)

    def test_cut_off_and_back(self) -> None:
        """Silent targets cut the host off until any target responds."""
        self._lose(MIN_UNREACHED_TARGETS, 0.1, 1)
        self.assertTrue(self._reach.cut_off)
        self._reach.record_response(3)
        self.assertFalse(self._reach.cut_off)
        self.assertEqual(
            [change.event for change in self._changes],
            ['targets_unreached', 'targets_reached_again'],
        )

    def test_not_cut_off(self) -> None:
        """Few targets, a short silence or an old attempt do not suffice."""
        self._lose(MIN_UNREACHED_TARGETS - 1, 0.1, 1)
        self.assertFalse(self._reach.cut_off)
        self._reach.record_response(1)
        self._lose(MIN_UNREACHED_TARGETS, 1.1, 1 + MIN_SILENCE_S / 2)
        self.assertFalse(self._reach.cut_off)
        self._reach.record_response(2)
        self._lose(MIN_UNREACHED_TARGETS, 1.9, 3)
        self.assertFalse(self._reach.cut_off)

    def test_idle_host(self) -> None:
        """Time without any attempt is no silence of the targets."""
        self._lose(MIN_UNREACHED_TARGETS, 60, 60 + MIN_SILENCE_S / 2)
        self.assertFalse(self._reach.cut_off)
