"""Tests of requests that crash targets and come again, at many hosts."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.routing._crash_detector import (
    ANSWERED_LIMIT,
    CRASHED_LIMIT,
    OTHER_HOST_AFTER_S,
    QUARANTINE_S,
    REPETITION_REPORT_S,
    REPORTS_LIMIT,
    RETENTION_S,
    CrashDetector,
    CrashReport,
    Fleet,
)
from oriolestage.routing.tests.quarantine_fleet import (
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
        """After the stated time of quiet the request may run, not before."""
        fleet = QuarantineFleet(1)
        for _ in range(15):
            fleet.send()
            fleet.advance(1)
        _, left_s = fleet.refused[-1]
        refused_at, _ = fleet.refused[-1]
        self.assertEqual(left_s, QUARANTINE_S)
        for early_s, expected in ((1, False), (-1, True)):
            fleet.advance(refused_at + left_s - early_s - fleet.now)
            detector = fleet.detectors[0]
            left = detector.quarantine_left_s(REQUEST, fleet.now)
            self.assertEqual(left == 0, expected)
        self.assertTrue(fleet.send())

    def test_logged(self) -> None:
        """The log tells the start, the prolongations and the end."""
        fleet = QuarantineFleet(1)
        for _ in range(500):
            fleet.send()
            fleet.advance(0.4)
        fleet.advance(QUARANTINE_S + 1)
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

    def test_served_after_quiet(self) -> None:
        """After the quiet one host runs it, and then all do."""
        for hosts in (1, 2, 6, 20):
            fleet = self._suspect(hosts)
            fleet.advance(QUARANTINE_S + 1)
            tries = 0
            while not fleet.run_at:
                fleet.send()
                fleet.advance(OTHER_HOST_AFTER_S)
                tries += 1
            with self.subTest(hosts=hosts):
                self.assertLessEqual(tries, 5 * hosts)
                fleet.advance(REPORTED_S + 1)
                for number in range(hosts):
                    self.assertTrue(fleet.send(f'host-{number:03d}'))

    def test_answered_meanwhile(self) -> None:
        """An attempt that was running is answered: all hosts run it again."""
        fleet = self._suspect(6)
        fleet.detectors[4].record_answered(REQUEST)
        fleet.advance(REPORTED_S + 1)
        for number in range(6):
            self.assertTrue(fleet.send(f'host-{number:03d}'))

    def test_one_probe(self) -> None:
        """Only one request of a burst after the quiet runs, at one host."""
        fleet = QuarantineFleet(6)
        for _ in range(30):
            fleet.send()
            fleet.advance(0.4)
        fleet.advance(QUARANTINE_S + 30)
        run = len(fleet.run_at)
        for _ in range(200):
            fleet.send()
            fleet.advance(0.2)
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
            now = turn * QUARANTINE_S / 2
            for fingerprint in requests:
                left_s = detector.refuse_for_s(fingerprint, now, fleet)
                self.assertEqual(left_s, QUARANTINE_S)
