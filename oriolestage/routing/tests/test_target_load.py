"""Tests of the load and health of one target."""

import unittest

from oriolestage.routing._target_load import (
    BACKOFF_S,
    LATE_SLOWNESS_LIMIT,
    MIN_SILENCE_S,
    MIN_UNANSWERED,
    TargetLoad,
)

ROUND_TRIP_S = 0.001
WORK_S = 0.01


class TargetLoadTest(unittest.TestCase):
    """Slow and failing targets get a longer expected delay, or back-off."""

    def setUp(self) -> None:
        """Start with a healthy, idle target."""
        self._load = TargetLoad()

    def _expected_s(self, now: float) -> float:
        return self._load.expected_s(ROUND_TRIP_S, WORK_S, 2, now)

    def test_healthy(self) -> None:
        """The delay of a healthy target is the round trip and the work."""
        self.assertAlmostEqual(self._expected_s(1), ROUND_TRIP_S + WORK_S)

    def test_queue(self) -> None:
        """Attempts beyond the slots wait for a slot."""
        for attempt in range(2):
            self._load.record_sent(attempt, 1)
        self.assertAlmostEqual(self._expected_s(1), ROUND_TRIP_S + 1.5 * WORK_S)

    def test_late_in_a_row(self) -> None:
        """Each late attempt doubles the slowness, up to a limit."""
        slowness: list[float] = []
        for step in range(6):
            self._load.record_late(step * 0.2)
            slowness.append(self._load.slowness(step * 0.2))
        self.assertEqual(slowness[:3], [2, 4, 8])
        self.assertEqual(slowness[-1], LATE_SLOWNESS_LIMIT)

    def test_late_together(self) -> None:
        """Attempts that one pause of the target delays count once."""
        for step in range(5):
            self._load.record_late(step * 0.02)
        self.assertEqual(self._load.slowness(0.1), 2)

    def test_slowness_decays(self) -> None:
        """The slowness decays, so that a slow target is chosen again."""
        for step in range(4):
            self._load.record_late(step * 0.2)
        self.assertGreater(self._load.slowness(1), 8)
        self.assertLess(self._load.slowness(12), 1.2)

    def test_oldest_attempt(self) -> None:
        """An overdue attempt raises the expected delay."""
        self._load.record_sent(1, 1)
        self.assertGreater(self._expected_s(1.1), 0.08)

    def test_not_reached(self) -> None:
        """Each failed connect lengthens the back-off of a target."""
        self._load.record_not_reached(1, 1)
        first = self._load.backoff_until - 1
        self.assertTrue(self._load.in_backoff(1 + first / 2))
        self.assertFalse(self._load.in_backoff(1 + first))
        self._load.record_not_reached(2, 2)
        self.assertGreater(self._load.backoff_until - 2, first)

    def test_not_reached_together(self) -> None:
        """Attempts that fail together lengthen the back-off once."""
        for attempt in range(4):
            self._load.record_sent(attempt, 1)
        for attempt in range(4):
            self._load.record_not_reached(attempt, 1.3)
        self.assertAlmostEqual(self._load.backoff_until - 1.3, BACKOFF_S)

    def test_silent_together(self) -> None:
        """Attempts abandoned together start one back-off."""
        for attempt in range(MIN_UNANSWERED + 3):
            self._load.record_sent(attempt, 1 + attempt * 0.01)
        abandoned_at = 1 + MIN_SILENCE_S
        for attempt in range(MIN_UNANSWERED + 3):
            self._load.record_abandoned(attempt, abandoned_at, 0.02)
        self.assertAlmostEqual(
            self._load.backoff_until - abandoned_at, BACKOFF_S
        )

    def test_probe_after_backoff(self) -> None:
        """After back-off one attempt probes the target until it answers."""
        self._load.record_not_reached(1, 1)
        self._load.record_sent(2, 2)
        self.assertTrue(self._load.in_backoff(2))
        self._load.record_answer(2, 2.1, failed=False)
        self.assertFalse(self._load.in_backoff(2.1))

    def test_failures(self) -> None:
        """A failing target has a longer delay than one in another region."""
        for attempt in range(6):
            self._load.record_answer(attempt, 1, failed=True)
        self.assertGreater(self._expected_s(1), 0.1)
