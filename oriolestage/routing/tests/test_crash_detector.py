"""Tests of finding and refusing requests that crash targets."""

import itertools
import unittest

from oriolestage.routing._crash_detector import (
    CONFIRMATION_WINDOW_S,
    QUARANTINE_THRESHOLD,
    RETENTION_S,
    CrashDetector,
    CrashReport,
    fingerprint_of,
)
from oriolestage.routing._state_changes import StateChange

POISON = fingerprint_of('POST', 'desk.example', '/notes/7', b'{}')
#: Targets that one request may crash before all hosts refuse it.
CRASHES_ALLOWED = 3


class CrashDetectorTest(unittest.TestCase):
    """A request is refused once enough crashes of targets are confirmed."""

    def setUp(self) -> None:
        """Start without crashes."""
        self._changes: list[StateChange] = []
        self._detector = CrashDetector(self._changes.append)

    def _crash(self, *targets: str, down_after_s: float = 1) -> None:
        for target in targets:
            self._detector.record_connection_loss(POISON, target, 10)
        for target in targets:
            self._detector.record_target_down(target, 10 + down_after_s)

    def _left_s(self, now: float = 12) -> float:
        return self._detector.quarantine_left_s(POISON, now)

    def test_confirmed(self) -> None:
        """Targets that go down confirm crashes, up to the threshold."""
        self._crash('t-1')
        self.assertEqual(self._left_s(), 0)
        self._crash('t-2')
        self.assertAlmostEqual(self._left_s(), RETENTION_S - 1)
        self.assertEqual(self._left_s(12 + RETENTION_S), 0)
        fields = dict(self._changes[-1].fields)
        self.assertEqual(fields['targets'], QUARANTINE_THRESHOLD)

    def test_answers_lost(self) -> None:
        """Broken connections to targets that stay up are no crashes."""
        for target in ('t-1', 't-2', 't-3'):
            self._detector.record_connection_loss(POISON, target, 10)
        self.assertEqual(self._left_s(), 0)

    def test_went_down_later(self) -> None:
        """A target that goes down after the window confirms no crash."""
        self._crash('t-1', 't-2', down_after_s=CONFIRMATION_WINDOW_S + 1)
        self.assertEqual(self._left_s(), 0)

    def test_answered(self) -> None:
        """A request that some target answered is not quarantined."""
        self._detector.record_answered(POISON)
        self._crash('t-1', 't-2', 't-3')
        self.assertEqual(self._left_s(), 0)
        self.assertEqual(self._detector.take_reports(), ())

    def test_reports_to_other_hosts(self) -> None:
        """Each crash is reported once, and counts once at other hosts."""
        self._crash('t-1')
        reports = self._detector.take_reports()
        self.assertEqual(reports, (CrashReport(POISON, 't-1'),))
        self.assertEqual(self._detector.take_reports(), ())
        other = CrashDetector(lambda _: None)
        other.record_report(reports[0], 12)
        other.record_report(reports[0], 12)
        self.assertEqual(other.quarantine_left_s(POISON, 12), 0)
        other.record_report(CrashReport(POISON, 't-2'), 12)
        self.assertGreater(other.quarantine_left_s(POISON, 12), 0)
        self.assertEqual(other.take_reports(), ())

    def test_same_request_only(self) -> None:
        """Another method, host, path or body makes another request."""
        self._crash('t-1', 't-2')
        for other in (
            fingerprint_of('POST', 'desk.example', '/notes/7', b'{1}'),
            fingerprint_of('POST', 'desk.example', '/notes/8', b'{}'),
            fingerprint_of('POST', 'app.example', '/notes/7', b'{}'),
            fingerprint_of('GET', 'desk.example', '/notes/7', b'{}'),
        ):
            self.assertEqual(self._detector.quarantine_left_s(other, 12), 0)


class ReplayTest(unittest.TestCase):
    """A caller repeats a request that crashes targets, at changing hosts."""

    def test_few_targets_crash(self) -> None:
        """Hosts that share their reports refuse it after a few crashes."""
        hosts = [CrashDetector(lambda _: None) for _ in range(6)]
        crashed = 0
        # The request arrives every 2 s, each time at the next host. All hosts
        # notice a crashed target within 1 s.
        for turn, host in zip(range(30), itertools.cycle(hosts)):
            now = 100 + turn * 2.0
            if host.quarantine_left_s(POISON, now) > 0:
                continue
            crashed += 1
            host.record_connection_loss(POISON, f't-{turn}', now)
            for each in hosts:
                each.record_target_down(f't-{turn}', now + 1)
            for report in host.take_reports():
                for each in hosts:
                    each.record_report(report, now + 1.2)
        self.assertLessEqual(crashed, CRASHES_ALLOWED)
