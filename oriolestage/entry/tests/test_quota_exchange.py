"""Tests of quotas that hosts exchange over streams."""

import asyncio
import unittest

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_messages import UsageReport
from oriolestage.admission._quota_plan import START_FRACTION, plan_quota
from oriolestage.admission._quota_states import Admission, OverQuota
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.entry._quota_log import QuotaLog
from oriolestage.entry._quota_wire import QuotaReports
from oriolestage.entry.tests.peer_requests import link_patiently
from oriolestage.entry.tests.quota_hosts import (
    make_exchange,
    running_exchanges,
)
from oriolestage.routing._facts import HostRecord

NAMES = ('host-1', 'host-2', 'host-3')
#: An account whose bucket does not fill noticeably during a test.
ACCOUNT = Account('kiosks', rate=0.001, burst=30)
PLAN = plan_quota(ACCOUNT.rate, ACCOUNT.burst, QuotaBounds())
CAPACITY = int(START_FRACTION * PLAN.owner.capacity)
#: Time within which the streams are open, in seconds.
LINK_TIMEOUT_S = 10.0
#: Requests that are sent one after another.
REQUESTS = 150


async def _linked(exchanges: dict[str, QuotaExchange]) -> None:
    """Wait until the hosts that do not own the account reach the owner."""
    hosts = exchanges.values()
    async with asyncio.timeout(LINK_TIMEOUT_S):
        while sum(bool(host.link_count) for host in hosts) < len(NAMES) - 1:
            for host in hosts:
                admission = await host.admit(ACCOUNT)
                if isinstance(admission, Admission):
                    host.put_back(admission)
            await asyncio.sleep(0.01)


class QuotaExchangeTest(unittest.IsolatedAsyncioTestCase):
    """The limit of an account holds for all hosts together."""

    async def test_limit_of_all_hosts(self) -> None:
        """Guards against a limit that each host grants anew.

        Nothing is granted twice, and what the owner has is granted whichever
        hosts the requests arrive at. Deputies and the fixed part may add
        their part of the room above the limit.
        """
        admitted = 0
        refused: list[OverQuota] = []
        with link_patiently():
            async with running_exchanges(NAMES, ACCOUNT) as exchanges:
                await _linked(exchanges)
                for number in range(REQUESTS):
                    exchange = exchanges[NAMES[number % len(NAMES)]]
                    match await exchange.admit(ACCOUNT):
                        case Admission():
                            admitted += 1
                        case OverQuota() as refusal:
                            refused.append(refusal)
        bounds = QuotaBounds()
        room = bounds.overage * ACCOUNT.burst + bounds.slack
        self.assertGreaterEqual(admitted, CAPACITY / 2)
        self.assertLessEqual(admitted, ACCOUNT.burst + room)
        self.assertTrue(refused)

    async def test_returned_token(self) -> None:
        """Guards against tokens lost with requests that have not run."""
        with link_patiently():
            async with running_exchanges(NAMES, ACCOUNT) as exchanges:
                await _linked(exchanges)
                for number in range(REQUESTS):
                    exchange = exchanges[NAMES[number % len(NAMES)]]
                    admission = await exchange.admit(ACCOUNT)
                    assert isinstance(admission, Admission), number
                    exchange.put_back(admission)


class RemovedLimitTest(unittest.TestCase):
    """Hosts learn of a configuration at different times."""

    def test_answer_without_limit(self) -> None:
        """The owner answers hosts that still know a limit.

        Without answers they would take it for silent, and refuse requests.
        """
        unlimited = Account(ACCOUNT.name)
        directory = AccountDirectory({unlimited: ('key',)})
        exchange = make_exchange(
            NAMES[0],
            lambda: directory,
            {NAMES[0]: HostRecord(NAMES[0], 'dc-a', '')},
            QuotaLog(),
        )
        report = UsageReport(
            ACCOUNT.name, ACCOUNT.rate, ACCOUNT.burst, 1, 1, 0, 1
        )
        answer = exchange.answer(QuotaReports(NAMES[1], 1, (report,)))
        assert answer is not None
        self.assertEqual(answer.verdicts[0].number, 1)
