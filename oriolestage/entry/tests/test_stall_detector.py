"""Tests of noticing a copy of the store that is not kept up to date."""

import time
import unittest

from oriolestage.entry._stall_detector import (
    FollowProgress,
    FollowStep,
    StallDetector,
)

LIMIT_S = 5.0


class StallDetectorTest(unittest.TestCase):
    """A stall is reported once at its start and once at its end."""

    def setUp(self) -> None:
        """Create a detector."""
        self._progress = FollowProgress()
        self._detector = StallDetector(LIMIT_S, self._progress)

    def _events(self, *ages_s: float) -> list[str]:
        changes = [self._detector.check(age_s) for age_s in ages_s]
        return [change.event for change in changes if change is not None]

    def test_changes(self) -> None:
        """Each change of state is one event."""
        for ages_s, expected in (
            ((0, 3, 4.9), []),
            ((3, 5, 8, 25), ['store_stalled']),
            ((3, 5, 8, 0.1, 3), ['store_stalled', 'store_current']),
            (
                (6, 0, 7),
                ['store_stalled', 'store_current', 'store_stalled'],
            ),
        ):
            with self.subTest(ages_s=ages_s):
                self.setUp()
                self.assertEqual(self._events(*ages_s), expected)

    def test_cause(self) -> None:
        """A stall names the number of failed attempts and the last cause."""
        self._detector.check(3)
        self._detector.record_failure('an earlier one')
        self._detector.check(0.1)
        for age_s in (1, 2, 3):
            self._detector.record_failure(f'after {age_s} s')
            self._detector.check(age_s)
        change = self._detector.check(6)
        assert change is not None
        fields = dict(change.fields)
        self.assertEqual(fields['last_failure'], 'after 3 s')
        self.assertEqual(fields['failures'], 3)

    def test_stall_without_failure(self) -> None:
        """A stall without a failed attempt says so: nothing was tried."""
        change = self._detector.check(6)
        assert change is not None
        fields = dict(change.fields)
        self.assertEqual(
            (fields['failures'], fields['last_failure']), (0, 'none')
        )

    def test_progress(self) -> None:
        """A silent store is told from a task that does not get on."""
        for step in FollowStep:
            with self.subTest(step=step.value):
                self.setUp()
                self._progress.enter(step)
                self._progress.since = time.monotonic() - LIMIT_S
                change = self._detector.check(LIMIT_S)
                assert change is not None
                fields = dict(change.fields)
                self.assertEqual(fields['follower'], step.value)
                follower_s = fields['follower_s']
                assert isinstance(follower_s, float)
                self.assertGreaterEqual(follower_s, LIMIT_S)
