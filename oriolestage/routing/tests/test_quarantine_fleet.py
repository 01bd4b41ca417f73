"""Tests of requests that crash targets and come again, at many hosts."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.routing._crash_detector import (
    ANSWERED_LIMIT,
    CRASHED_LIMIT,
    MIN_REFUSAL_S,
    REPETITION_REPORT_S,
    REPORTS_LIMIT,
    RETENTION_S,
    CrashDetector,
    CrashReport,
    Fleet,
)
from oriolestage.routing._trials import TRIAL_DELAYS_S, TRIAL_TURN_S
from oriolestage.routing.tests.quarantine_fleet import (
    CONFIRMED_S,
    REPORTED_S,
    REQUEST,
    QuarantineFleet,
)

#: Bounds of the platform: crashes, retries that may still reach targets, and
#: the time after the third crash from which these count, in seconds.
CRASHES = 3
RETRIES = 3
COUNTED_AFTER_S = 5.0
#: Pauses between repetitions, in seconds: below, at and above the quiet that is
#: needed.
PAUSES_S = (0.4, 2.0, 19.0, 31.0, 59.0, 61.0, 75.0, 130.0, 610.0)
#: Length of a play, in seconds.
LENGTH_S = 4000.0


def _late_retries(fleet: QuarantineFleet) -> int:
    """Return the retries that reach targets too late."""
    if len(fleet.run_at) < CRASHES:
        return 0
    counted_from = fleet.run_at[CRASHES - 1] + COUNTED_AFTER_S
    return sum(1 for at in fleet.run_at if at > counted_from)


def _play(pause_s: float, hosts: int, seed: int) -> QuarantineFleet:
    fleet = QuarantineFleet(hosts, seed)
    for _ in range(int(min(LENGTH_S, 400 * pause_s) / pause_s)):
        fleet.send()
        fleet.advance(pause_s)
    return fleet


class RepeatedRequestTest(unittest.TestCase):
    """Guards against a request that crashes the targets again and again."""

    def test_steady(self) -> None:
        """At any pace, few retries reach targets after the third crash."""
        for pause_s, hosts in itertools.product(PAUSES_S, (1, 6)):
            for seed in range(3):
                with self.subTest(pause_s=pause_s, hosts=hosts, seed=seed):
                    fleet = _play(pause_s, hosts, seed)
                    self.assertLessEqual(_late_retries(fleet), RETRIES)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from((1, 2, 10, 50)),
                st.sampled_from((0.4, 0.4, 3.0, 25.0)),
                st.sampled_from((0, 10, 45, 61, 66, 90, 240, 620)),
            ),
            min_size=1,
            max_size=8,
        ),
        st.integers(0, 99),
    )
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_bursts(
        self, bursts: list[tuple[int, float, float]], seed: int
    ) -> None:
        """The same in bursts with quiet between them."""
        fleet = QuarantineFleet(6, seed)
        for repetitions, pause_s, quiet_s in bursts:
            for _ in range(repetitions):
                fleet.send()
                fleet.advance(pause_s)
            fleet.advance(quiet_s)
        self.assertLessEqual(_late_retries(fleet), RETRIES)

    def test_told_at_bounded_rate(self) -> None:
        """While it comes, a host tells the others now and then, not each time.

        The hosts wait for different times, so that few of them tell at once.
        """
        for hosts in (1, 6, 60):
            fleet = QuarantineFleet(hosts)
            for _ in range(100):
                fleet.send()
                fleet.advance(0.2)
            since = fleet.now
            for _ in range(1000):
                fleet.send()
                fleet.advance(0.2)
            told = sum(1 for at in fleet.written_at if at > since)
            rounds = 1000 * 0.2 / (REPETITION_REPORT_S / 2)
            at_once = 1 + hosts * REPORTED_S / (REPETITION_REPORT_S / 2)
            with self.subTest(hosts=hosts):
                self.assertGreater(told, 0)
                self.assertLessEqual(told, rounds * at_once)

    def test_store_away(self) -> None:
        """Without the store each host refuses what comes to it."""
        fleet = QuarantineFleet(6)
        for _ in range(25):
            fleet.send()
            fleet.advance(0.4)
        fleet.store_away = True
        run = len(fleet.run_at)
        for _ in range(500):
            fleet.send()
            fleet.advance(0.4)
        self.assertEqual(len(fleet.run_at), run)

    def test_restarted_host(self) -> None:
        """A host that has just started learns from the store what to refuse."""
        fleet = QuarantineFleet(6)
        for _ in range(500):
            fleet.send()
            fleet.advance(0.4)
        fleet.restart('host-003')
        self.assertFalse(fleet.send('host-003'))

    def test_time_stated(self) -> None:
        """After the stated time the request may run as a trial, not before."""
        fleet = QuarantineFleet(1)
        for _ in range(10):
            fleet.send()
            fleet.advance(1)
        refused_at, left_s = fleet.refused[-1]
        self.assertLessEqual(left_s, TRIAL_DELAYS_S[0])
        fleet.advance(refused_at + left_s - 1 - fleet.now)
        self.assertFalse(fleet.send())
        fleet.advance(2)
        self.assertTrue(fleet.send())
        self.assertEqual(len(fleet.trials_at), 1)

    def test_trials_used_up(self) -> None:
        """After the last trial it is refused as long as it still comes."""
        fleet = QuarantineFleet(6)
        for _ in range(int(RETENTION_S)):
            fleet.send()
            fleet.advance(1)
        self.assertEqual(len(fleet.trials_at), len(TRIAL_DELAYS_S))
        _, left_s = fleet.refused[-1]
        self.assertAlmostEqual(left_s, RETENTION_S)

    def test_restarts_do_not_renew_trials(self) -> None:
        """Hosts that have just started learn which trials were made."""
        fleet = QuarantineFleet(6)
        for turn in range(1000):
            fleet.send()
            fleet.advance(1)
            fleet.restart(f'host-{turn % 6:03d}')
        self.assertLessEqual(len(fleet.trials_at), len(TRIAL_DELAYS_S))

    def test_logged(self) -> None:
        """The log tells the start, the prolongations and the end."""
        fleet = QuarantineFleet(1)
        for _ in range(500):
            fleet.send()
            fleet.advance(0.4)
        fleet.advance(RETENTION_S + 1)
        self.assertEqual(fleet.events.count('quarantine_started'), 1)
        self.assertEqual(fleet.events.count('quarantine_ended'), 1)
        prolonged = fleet.events.count('quarantine_prolonged')
        self.assertGreater(prolonged, 0)
        rounds = fleet.now / (REPETITION_REPORT_S / 2)
        self.assertLessEqual(prolonged, rounds)


class WrongSuspicionTest(unittest.TestCase):
    """A request that crashed no target itself gets back in."""

    def _suspect(self, hosts: int) -> QuarantineFleet:
        """Let targets lose power while they run the request."""
        fleet = QuarantineFleet(hosts)
        for number in range(2):
            fleet.crash(f'host-{number % hosts:03d}')
            fleet.advance(7)
        self.assertFalse(fleet.send())
        fleet.crashing = False
        return fleet

    def test_served_after_trial(self) -> None:
        """Guards against an innocent request that stays refused.

        A request that came all the time was refused for as long as it came,
        since only quiet ended its quarantine. The first trial ends it at all
        hosts, at any pace and whatever the number of hosts.
        """
        for hosts, pause_s in itertools.product((1, 2, 6, 20), (0.2, 2, 50)):
            fleet = self._suspect(hosts)
            latest_s = TRIAL_DELAYS_S[0] + hosts * TRIAL_TURN_S + pause_s
            end_at = fleet.now + latest_s
            while not fleet.run_at and fleet.now <= end_at:
                fleet.send()
                fleet.advance(pause_s)
            with self.subTest(hosts=hosts, pause_s=pause_s):
                self.assertTrue(fleet.run_at)
                fleet.advance(REPORTED_S + 1)
                for number in range(hosts):
                    self.assertTrue(fleet.send(f'host-{number:03d}'))

    def test_crash_during_trial(self) -> None:
        """A trial that meets another power cut is followed by the next one."""
        fleet = self._suspect(6)
        fleet.crashing = True
        while not fleet.trials_at:
            fleet.send()
            fleet.advance(1)
        fleet.crashing = False
        since = fleet.now
        while len(fleet.trials_at) < 2:
            fleet.send()
            fleet.advance(1)
        # The crash of the first trial is confirmed some seconds later.
        self.assertLessEqual(fleet.now - since, 2 * TRIAL_DELAYS_S[1])
        fleet.advance(REPORTED_S + 1)
        self.assertTrue(fleet.send())

    def test_answered_meanwhile(self) -> None:
        """An attempt that was running is answered: all hosts run it again."""
        fleet = self._suspect(6)
        fleet.detectors[4].record_answered(REQUEST)
        fleet.advance(REPORTED_S + 1)
        for number in range(6):
            self.assertTrue(fleet.send(f'host-{number:03d}'))

    def test_one_trial(self) -> None:
        """Only one request of a burst that comes when one is due is tried."""
        fleet = QuarantineFleet(6)
        while not fleet.refused:
            fleet.send()
            fleet.advance(0.4)
        fleet.advance(CONFIRMED_S + TRIAL_DELAYS_S[0] + MIN_REFUSAL_S)
        run = len(fleet.run_at)
        for _ in range(50):
            fleet.send()
        self.assertEqual(len(fleet.run_at), run + 1)


class MemoryTest(unittest.TestCase):
    """Requests that crash targets take a bounded amount of memory."""

    def test_many_requests(self) -> None:
        """Guards against memory that grows with each such request."""
        detector = CrashDetector(lambda _: None)
        fleet = Fleet('host-0', ('host-0', 'host-1'))
        requests = CRASHED_LIMIT * 3
        for fingerprint in range(requests):
            now = fingerprint / 100
            for target in ('t-1', 't-2'):
                detector.record_report(CrashReport(fingerprint, target), now)
            detector.refuse_for_s(fingerprint, now, fleet)
            self.assertLessEqual(len(detector.take_reports()), REPORTS_LIMIT)
        self.assertLessEqual(len(detector), 2 * CRASHED_LIMIT)
        self.assertGreater(detector.refuse_for_s(requests - 1, now, fleet), 0)
        detector.log_quiet(now + RETENTION_S + 1)
        self.assertEqual(len(detector), 0)

    def test_thousand_requests(self) -> None:
        """More than a thousand such requests at once all stay refused."""
        detector = CrashDetector(lambda _: None)
        fleet = Fleet('host-0', ('host-0', 'host-1'))
        requests = range(ANSWERED_LIMIT)
        for fingerprint in requests:
            for target in ('t-1', 't-2'):
                detector.record_report(CrashReport(fingerprint, target), 0)
        for turn in range(1, 10):
            now = turn * 30.0
            for fingerprint in requests:
                left_s = detector.refuse_for_s(fingerprint, now, fleet)
                self.assertGreaterEqual(left_s, MIN_REFUSAL_S)
                self.assertLessEqual(left_s, TRIAL_DELAYS_S[0])
