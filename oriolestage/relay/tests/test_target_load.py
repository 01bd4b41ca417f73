"""Tests of what is believed of a target's behaviour."""

import unittest

from oriolestage.relay._target_load import (
    BACKOFF_S,
    LATE_SLOWNESS_LIMIT,
    SILENCE_S,
    SILENT_RUN,
    TargetLoad,
)

WAY_S = 0.001
WORK_S = 0.01


class TargetLoadTest(unittest.TestCase):
    """Late, failing and silent targets are expected to answer later."""

    def setUp(self) -> None:
        """Know one usual target."""
        self._load = TargetLoad()

    def _expected_s(self, now: float) -> float:
        return self._load.expected_s(WAY_S, WORK_S, 2, now)

    def test_usual(self) -> None:
        """A usual target takes the way and the work."""
        self.assertAlmostEqual(self._expected_s(1), WAY_S + WORK_S)

    def test_queue(self) -> None:
        """Attempts beyond the slots wait for one another."""
        for attempt in range(2):
            self._load.note_sent(attempt, 1)
        self.assertAlmostEqual(self._expected_s(1), WAY_S + 1.5 * WORK_S)

    def test_late_in_a_row(self) -> None:
        """Each late attempt doubles the slowness, up to a limit."""
        seen: list[float] = []
        for step in range(6):
            self._load.note_late(step * 0.2)
            seen.append(self._load.slowness(step * 0.2))
        self.assertEqual(seen[:3], [2, 4, 8])
        self.assertEqual(seen[-1], LATE_SLOWNESS_LIMIT)

    def test_one_pause(self) -> None:
        """Attempts that one pause delays count once."""
        for step in range(5):
            self._load.note_late(step * 0.02)
        self.assertEqual(self._load.slowness(0.1), 2)

    def test_old_slowness_fades(self) -> None:
        """A slow target is tried again after a while."""
        for step in range(4):
            self._load.note_late(step * 0.2)
        self.assertGreater(self._load.slowness(1), 8)
        self.assertLess(self._load.slowness(12), 1.2)

    def test_oldest_attempt(self) -> None:
        """An attempt without an answer makes the target look paused."""
        self._load.note_sent(1, 1)
        self.assertGreater(self._expected_s(1.1), 0.08)

    def test_not_reached(self) -> None:
        """A target that cannot be reached is left alone ever longer."""
        self._load.note_not_reached(1, 1)
        first = self._load.down_until - 1
        self.assertTrue(self._load.is_down(1 + first / 2))
        self.assertFalse(self._load.is_down(1 + first))
        self._load.note_not_reached(2, 2)
        self.assertGreater(self._load.down_until - 2, first)

    def test_not_reached_together(self) -> None:
        """Attempts that fail together do not lengthen the time."""
        for attempt in range(4):
            self._load.note_sent(attempt, 1)
        for attempt in range(4):
            self._load.note_not_reached(attempt, 1.3)
        self.assertAlmostEqual(self._load.down_until - 1.3, BACKOFF_S)

    def test_silent_together(self) -> None:
        """Attempts given up after the target was left alone count once."""
        for attempt in range(SILENT_RUN + 3):
            self._load.note_sent(attempt, 1 + attempt * 0.01)
        given_up = 1 + SILENCE_S
        for attempt in range(SILENT_RUN + 3):
            self._load.note_abandoned(attempt, given_up, 0.02)
        self.assertAlmostEqual(self._load.down_until - given_up, BACKOFF_S)

    def test_tried_one_at_a_time(self) -> None:
        """A target that was left alone gets one attempt, then more."""
        self._load.note_not_reached(1, 1)
        self._load.note_sent(2, 2)
        self.assertTrue(self._load.is_down(2))
        self._load.record_answer(2, 2.1, failed=False)
        self.assertFalse(self._load.is_down(2.1))

    def test_failures(self) -> None:
        """A failing target is expected later than one far away."""
        for attempt in range(6):
            self._load.record_answer(attempt, 1, failed=True)
        self.assertGreater(self._expected_s(1), 0.1)
