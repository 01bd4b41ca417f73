"""Tests of totals in reports that one side has started anew."""

import unittest

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.admission._quota_states import Admission, OverQuota
from oriolestage.admission.tests.quota_pair import ClientWithLedger

ACCOUNT = Account('shop', rate=10, burst=5)
#: Requests per second within the limit, and what the bound allows in a window
#: of five seconds: 1.1 x 55 + 20.
USUAL = 8
BOUND = 80


class QuotaReportsTest(unittest.TestCase):
    """One host and the owner of an account."""

    def setUp(self) -> None:
        """Start a host whose owner has been the same for long."""
        self.pair = ClientWithLedger(ACCOUNT, QuotaBounds())

    def test_restarted_owner(self) -> None:
        """An owner that starts anew doesn't charge what was paid long ago.

        Its first reports have the totals since the start of their process.
        """
        self.pair.send_steadily(100, USUAL)
        self.pair.ledger = QuotaLedger(QuotaBounds())
        self.pair.settled = False
        outcomes = self.pair.send_steadily(10, USUAL)
        refused = sum(isinstance(outcome, OverQuota) for outcome in outcomes)
        self.assertEqual(refused, 0)

    def test_after_idle_time(self) -> None:
        """Requests count although the host had forgotten the account."""
        for idle_s in (20, 35, 50, 70, 100, 130, 200):
            with self.subTest(idle_s=idle_s):
                self.pair = ClientWithLedger(ACCOUNT, QuotaBounds())
                self.pair.send_steadily(100, USUAL)
                self.pair.idle(idle_s)
                outcomes = self.pair.send_steadily(5, 10 * USUAL)
                admitted = sum(
                    isinstance(outcome, Admission) for outcome in outcomes
                )
                self.assertLessEqual(admitted, BOUND)

    def test_late_report(self) -> None:
        """Requests count although the last report came when it was repeated.

        The owner must have dropped the totals of the process when the host
        starts new ones.
        """
        self.pair.send_steadily(100, USUAL)
        self.pair.reached = False
        self.pair.send_steadily(1, USUAL)
        self.pair.idle(29)
        self.pair.reached = True
        for idle_s in (2, 30, 29, 29, 29):
            self.pair.idle(idle_s)
            outcomes = self.pair.send_steadily(5, 10 * USUAL)
            admitted = sum(
                isinstance(outcome, Admission) for outcome in outcomes
            )
            self.assertLessEqual(admitted, BOUND)
