"""Tests of the pace of one target at one host."""

import unittest

from oriolestage.pacing._target_pace import (
    FULL_FRACTION,
    LIMIT_S,
    MIN_FRACTION,
    PROMPT_RATIO,
    RAISE_RATIO,
    SLOW_RATIO,
    START_FRACTION,
    PaceCause,
    Step,
    TargetPace,
    TargetSize,
)

#: A target whose slots are busy at 200 requests per second.
SLOTS = 2
WORK_S = 0.01


def _size(hosts: int) -> TargetSize:
    return TargetSize(SLOTS, WORK_S, hosts)


class FirstRequestTest(unittest.TestCase):
    """Guards against one request of each host at the same moment."""

    def test_spread(self) -> None:
        """First requests follow one another at the rate of the start."""
        for hosts in (6, 75, 300):
            spacing_s = WORK_S / SLOTS / START_FRACTION
            for rank in range(hosts):
                pace = TargetPace(PaceCause.STARTED, 1 - rank / hosts, 0)
                with self.subTest(hosts=hosts, rank=rank):
                    wait_s = pace.wait_s(_size(hosts), 0)
                    self.assertAlmostEqual(wait_s, rank * spacing_s)

    def test_idle_host(self) -> None:
        """A host that has sent nothing for seconds may send one request."""
        pace = TargetPace(PaceCause.STARTED, 0, 0)
        self.assertFalse(pace.wait_s(_size(75), 5))
        pace.record_sent()
        self.assertTrue(pace.wait_s(_size(75), 5))

    def test_withdrawn(self) -> None:
        """An attempt that is not sent after all does not use the turn."""
        pace = TargetPace(PaceCause.STARTED, 1, 0)
        pace.record_sent()
        pace.record_withdrawn()
        self.assertFalse(pace.wait_s(_size(75), 0))
        self.assertEqual(pace.sent, 0)


class StepsTest(unittest.TestCase):
    """The replies of a target raise and lower its pace."""

    def setUp(self) -> None:
        """Start a pace."""
        self._pace = TargetPace(PaceCause.STARTED, 1, 0)

    def test_prompt(self) -> None:
        """Prompt replies raise it until the target carries its part."""
        for _ in range(3):
            self.assertEqual(self._pace.record_ratio(1), Step.UP)
            self.assertFalse(self._pace.reached_siblings)
        self._pace.record_ratio(1)
        self.assertTrue(self._pace.reached_siblings)

    def test_cold(self) -> None:
        """A target that takes 1.6 times as long is not left idle.

        The pace goes on: what it carries is not what siblings carry.
        """
        for _ in range(20):
            self._pace.record_ratio(1.6)
        self.assertEqual(self._pace.fraction, FULL_FRACTION)
        self.assertFalse(self._pace.reached_siblings)

    def test_slow(self) -> None:
        """Replies far slower than those of siblings lower it."""
        for _ in range(3):
            self._pace.record_ratio(SLOW_RATIO + 1)
        before = self._pace.fraction
        self.assertEqual(self._pace.record_ratio(SLOW_RATIO + 1), Step.DOWN)
        self.assertLess(self._pace.fraction, before)

    def test_hold(self) -> None:
        """Between the two it stays as it is."""
        ratio = (RAISE_RATIO + SLOW_RATIO) / 2
        for _ in range(6):
            self._pace.record_ratio(ratio)
        self.assertEqual(self._pace.record_ratio(ratio), Step.HOLD)

    def test_failed(self) -> None:
        """Refusals lower it down to a rate that still tries the target."""
        for _ in range(9):
            self._pace.record_failed()
        self.assertEqual(self._pace.fraction, MIN_FRACTION)
        self.assertLess(self._pace.wait_s(_size(75), 10), 2)

    def test_lone_outlier(self) -> None:
        """One long reply among prompt ones does not lower it."""
        self._pace.record_ratio(PROMPT_RATIO)
        self.assertNotEqual(self._pace.record_ratio(100), Step.DOWN)

    def test_age(self) -> None:
        """Without replies it ends."""
        self.assertFalse(self._pace.overdue(LIMIT_S - 1))
        self.assertTrue(self._pace.overdue(LIMIT_S))


class YieldTest(unittest.TestCase):
    """Guards against a service that is starved since it has one target."""

    def test_lone_target(self) -> None:
        """One host fills the slots without waiting for replies."""
        pace = TargetPace(PaceCause.STARTED, 1, -1)
        for _ in range(SLOTS):
            self.assertFalse(pace.yielded_wait_s(_size(1), 0))
            pace.record_sent()
        self.assertTrue(pace.yielded_wait_s(_size(1), 0))

    def test_lowered(self) -> None:
        """After refusals it yields more than the pace, at most the slots."""
        pace = TargetPace(PaceCause.STARTED, 0, 0)
        for _ in range(9):
            pace.record_failed()
        size = _size(75)
        self.assertLess(pace.yielded_wait_s(size, 0.1), pace.wait_s(size, 0.1))
