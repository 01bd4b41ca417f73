"""Tests of the quarantine of requests that crash targets."""

from unittest import TestCase, mock

from oriolestage.core import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.targets._crashes import CrashRegister

FINGERPRINT = 7


class RepeatedRequestTest(TestCase):
    """Guards against a request that is let through while it still comes."""

    def setUp(self) -> None:
        """Let a request crash as many targets as quarantine it."""
        self._parameters = Parameters()
        self._timers = Timers(0)
        self._crashes = CrashRegister(
            self._parameters, mock.Mock(), self._timers, mock.Mock()
        )
        for number in range(self._parameters.quarantine_threshold):
            self._crashes.record_crash(FINGERPRINT, f't-{number}')

    def test_refused_while_it_comes(self) -> None:
        """Each repetition prolongs the quarantine; quiet ends it."""
        quiet_s = self._parameters.quarantine_s
        for pauses in range(1, 20):
            self._timers.advance(pauses * quiet_s * 0.9)
            left_s = self._crashes.refuse_for_s(FINGERPRINT)
            self.assertAlmostEqual(left_s, quiet_s)
        self._timers.advance(self._timers.now + quiet_s + 1)
        self.assertEqual(self._crashes.refuse_for_s(FINGERPRINT), 0)

    def test_question_is_no_repetition(self) -> None:
        """Looking at the time that is left does not prolong it."""
        quiet_s = self._parameters.quarantine_s
        self._timers.advance(quiet_s / 2)
        left_s = self._crashes.quarantine_left_s(FINGERPRINT)
        self.assertAlmostEqual(left_s, quiet_s / 2)
        self._timers.advance(quiet_s + 1)
        self.assertEqual(self._crashes.refuse_for_s(FINGERPRINT), 0)
