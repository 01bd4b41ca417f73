"""Tests of totals in reports that one side has started anew."""

import unittest

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_client import OverQuota
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.admission.tests.quota_pair import ClientWithLedger

ACCOUNT = Account('shop', rate=10, burst=5)
#: Requests per second within the limit.
USUAL = 8


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
