"""Tests of what a host still does while it is being stopped."""

import unittest

from oriolestage.routing._recent_durations import (
    MIN_REQUESTS,
    WINDOW_S,
    RecentDurations,
)
from oriolestage.routing._stop_plan import (
    QUIET_S,
    RequestNeed,
    StopObservation,
    StopPhase,
    StopTimes,
    can_end_in_time,
    next_phase,
)

START = 100.0
TIMES = StopTimes(START, grace_s=6.0)
LONG_AGO = START - 60
BUSY = StopObservation(unfinished=1, accepted_at=LONG_AGO)
IDLE = StopObservation(unfinished=0, accepted_at=LONG_AGO)
ANNOUNCING = StopPhase.ANNOUNCING
FINISHING = StopPhase.FINISHING
ANSWERING = StopPhase.ANSWERING
STOPPED = StopPhase.STOPPED


def _connected(at: float) -> StopObservation:
    """Return an idle host with a connection that was made at a time."""
    return StopObservation(unfinished=1, accepted_at=at)


class StopTimesTest(unittest.TestCase):
    """Everything ends before the kill, whatever the grace."""

    def test_order(self) -> None:
        """Guards against a host that is killed before it has closed."""
        for grace_s in (1.0, 2.0, 3.0, 6.0, 30.0):
            times = StopTimes(START, grace_s)
            in_order = [
                START,
                times.announced_at,
                times.last_connections_at,
                times.requests_end_at,
                times.answers_end_at,
                START + grace_s,
            ]
            with self.subTest(grace_s=grace_s):
                self.assertEqual(in_order, sorted(in_order))
                self.assertLess(times.answers_end_at, START + grace_s)

    def test_host_that_was_never_ready(self) -> None:
        """The balancer need not notice that it is stopped."""
        times = StopTimes(START, 6.0, notice_s=0)
        self.assertEqual(times.announced_at, START)


class NextPhaseTest(unittest.TestCase):
    """A stop takes no longer than its requests and ends before the kill."""

    def test_cases(self) -> None:
        """Each phase ends by time or by what is seen."""
        announced = TIMES.announced_at
        last = TIMES.last_connections_at
        ending = TIMES.requests_end_at
        cut = TIMES.answers_end_at
        cases = (
            # The balancer has not noticed yet.
            (ANNOUNCING, IDLE, START, ANNOUNCING),
            (ANNOUNCING, IDLE, announced - 0.01, ANNOUNCING),
            (ANNOUNCING, IDLE, announced, FINISHING),
            (ANNOUNCING, BUSY, announced, FINISHING),
            # It still sends callers.
            (ANNOUNCING, _connected(announced), announced, ANNOUNCING),
            (
                ANNOUNCING,
                _connected(announced),
                announced + QUIET_S + 0.01,
                FINISHING,
            ),
            (ANNOUNCING, _connected(last), last, FINISHING),
            # Requests are finished.
            (FINISHING, BUSY, ending - 0.01, FINISHING),
            (FINISHING, IDLE, announced, STOPPED),
            (FINISHING, BUSY, ending, ANSWERING),
            # The last answers are written.
            (ANSWERING, BUSY, cut - 0.01, ANSWERING),
            (ANSWERING, IDLE, ending, STOPPED),
            (ANSWERING, BUSY, cut, STOPPED),
            # The process did not run for a while.
            (FINISHING, BUSY, cut, STOPPED),
            (STOPPED, BUSY, cut, STOPPED),
        )
        for phase, seen, now, expected in cases:
            with self.subTest(phase=phase, seen=seen, after_s=now - START):
                self.assertEqual(next_phase(phase, TIMES, seen, now), expected)


class CanEndInTimeTest(unittest.TestCase):
    """A host takes only what it can end before it is killed."""

    def test_cases(self) -> None:
        """Guards against requests that are passed on and then cut."""
        ends_at = START + 5
        cases = (
            # Deadline after the start, repeatable, usual time, taken.
            (5.0, False, None, True),
            (5.1, False, None, False),
            # A longer one could run into the end, and must not be repeated.
            (5.1, False, 0.01, False),
            (5.1, True, None, False),
            (5.1, True, 0.01, True),
            (5.1, True, 3.0, False),
            (30.0, True, 1.0, True),
        )
        for deadline_s, repeatable, usual_s, expected in cases:
            need = RequestNeed(START + deadline_s, repeatable, usual_s)
            with self.subTest(need=need):
                self.assertEqual(
                    can_end_in_time(need, ends_at, START), expected
                )


class RecentDurationsTest(unittest.TestCase):
    """The longest recent duration of a route is known."""

    def test_too_few_requests(self) -> None:
        """Guards against an expectation that rests on a few requests."""
        durations = RecentDurations()
        for _ in range(MIN_REQUESTS - 1):
            durations.record('r', 0.1, START)
        self.assertIsNone(durations.longest_s('r', START))
        durations.record('r', 0.2, START)
        self.assertEqual(durations.longest_s('r', START), 0.2)
        self.assertIsNone(durations.longest_s('other', START))

    def test_old_requests(self) -> None:
        """A long request counts for a window at least, and no longer than two.

        Requests come all the time, or there is a pause.
        """
        for pause_s in (0.1, WINDOW_S / 2, 5 * WINDOW_S):
            durations = RecentDurations()
            durations.record('r', 3.0, START)
            now = START
            while now < START + 10 * WINDOW_S:
                for _ in range(MIN_REQUESTS):
                    durations.record('r', 0.1, now)
                longest_s = durations.longest_s('r', now)
                age_s = now - START
                with self.subTest(pause_s=pause_s, age_s=age_s):
                    if age_s < WINDOW_S:
                        self.assertEqual(longest_s, 3.0)
                    if age_s >= 2 * WINDOW_S:
                        self.assertEqual(longest_s, 0.1)
                now += pause_s
