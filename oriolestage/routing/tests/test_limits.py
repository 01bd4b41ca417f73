"""Tests of the limits that hosts share without coordination."""

import itertools
import math
import random
import unittest

from oriolestage.routing._even_shares import EvenShare
from oriolestage.routing._retry_budget import BudgetBounds, RetryBudget
from oriolestage.routing._warm_up import WarmUpBounds, WarmUpPacer
from oriolestage.routing.tests.builders import make_budget

HOSTS = tuple(f'host-{number}' for number in range(6))
#: Numbers of hosts of small and large deployments.
FLEET_SIZES = (6, 85, 195, 300, 620)
#: Extra attempts that all hosts may make in a window beside the ratio.
ALLOWANCE = 430
#: Extra attempts that a host tries to take at one moment.
MAX_TRIES = 1000
#: Requests of one host in a window, for each of which its share is compared.
MOST_REQUESTS = 12


def _make_hosts(count: int) -> tuple[str, ...]:
    return tuple(f'host-{number}' for number in range(count))


def _spend_all(
    budgets: list[RetryBudget], now: float, hosts: tuple[str, ...] = HOSTS
) -> int:
    """Exhaust all budgets; return the number of extra attempts."""
    return sum(
        budget.try_acquire(hosts, now)
        for budget in budgets
        for _ in range(MAX_TRIES)
    )


def _spend_allowance(count: int) -> tuple[int, int]:
    """Spend all that hosts may without requests of their own.

    Return the attempts of hosts that have just started, and of others.
    """
    bounds = BudgetBounds(ratio=0, allowance=ALLOWANCE)
    hosts = _make_hosts(count)
    started = [make_budget(bounds, 20, host=host) for host in hosts]
    running = [make_budget(bounds, 0, host=host) for host in hosts]
    return _spend_all(started, 21, hosts), _spend_all(running, 21, hosts)


def _most_beyond_ratio(
    bounds: BudgetBounds, host: str, hosts: tuple[str, ...], started_at: float
) -> float:
    """Return the most attempts of a host beyond the ratio of its requests."""
    budget = make_budget(bounds, started_at, host=host)
    most: float = 0
    for requests in range(MOST_REQUESTS):
        attempts = math.floor(budget.remaining(hosts, 20))
        most = max(most, attempts - bounds.ratio * requests)
        budget.record_request(20)
    return most


class RetryBudgetTest(unittest.TestCase):
    """The extra attempts of all hosts keep within the shared budget.

    Otherwise many slow targets at the same time make every host hedge, and
    the extra load slows the targets down further.
    """

    def test_sum_over_hosts(self) -> None:
        """Hosts that take all they can stay within the budget."""
        bounds = BudgetBounds()
        rng = random.Random(7)
        budgets = [make_budget(bounds, 0, host=host) for host in HOSTS]
        requests: list[float] = []
        extra: list[float] = []
        for step in range(4000):
            now = step * 0.01
            budget = budgets[rng.randrange(len(budgets))]
            if rng.randrange(2):
                budget.record_request(now)
                requests.append(now)
            for other in budgets:
                if other.try_acquire(HOSTS, now):
                    extra.append(now)
        for start in range(0, 30):
            end = start + bounds.window_s
            requested = sum(1 for at in requests if start <= at < end)
            spent = sum(1 for at in extra if start <= at < end)
            with self.subTest(start=start):
                allowed = bounds.ratio * requested + bounds.allowance
                self.assertLessEqual(spent, allowed)
                self.assertGreater(spent, 0)

    def test_restart_of_all_hosts(self) -> None:
        """Attempts before and after a restart of all hosts fit one window.

        The restarted hosts do not know what was spent before.
        """
        bounds = BudgetBounds()
        before = [make_budget(bounds, 0, host=host) for host in HOSTS]
        after = [make_budget(bounds, 21, host=host) for host in HOSTS]
        spent = _spend_all(before, 20) + _spend_all(after, 21)
        self.assertLessEqual(spent, bounds.allowance)

    def test_many_hosts(self) -> None:
        """Guards against shares below one attempt, of which none is spent.

        After a start of all hosts no request was hedged for 10 s, with 195
        hosts and an allowance of 430.
        """
        for count in FLEET_SIZES:
            after_start, usual = _spend_allowance(count)
            with self.subTest(hosts=count):
                self.assertLessEqual(after_start + usual, ALLOWANCE)
                if count != 85:
                    self.assertGreaterEqual(after_start, 0.3 * ALLOWANCE)
                if count != 195:
                    self.assertGreaterEqual(usual, 0.5 * ALLOWANCE)

    def test_shares_with_fractions(self) -> None:
        """Shares a little above whole attempts do not lose the fraction."""
        after_start, _ = _spend_allowance(85)
        with self.subTest(hosts=85):
            self.assertGreaterEqual(after_start, 0.3 * ALLOWANCE)
        _, usual = _spend_allowance(195)
        with self.subTest(hosts=195):
            self.assertGreaterEqual(usual, 0.5 * ALLOWANCE)

    def test_worst_requests(self) -> None:
        """Guards against shares whose fractions add up beyond the budget.

        Each host has the number of requests with which it may spend most
        beyond the ratio of them, before and after a restart of all hosts.
        """
        for count, allowance in itertools.product(FLEET_SIZES, (52, ALLOWANCE)):
            bounds = BudgetBounds(allowance=allowance)
            hosts = _make_hosts(count)
            excess = sum(
                _most_beyond_ratio(bounds, host, hosts, started_at)
                for host in hosts
                for started_at in (0, 20)
            )
            with self.subTest(hosts=count, allowance=allowance):
                self.assertLessEqual(excess, allowance)

    def test_few_hosts_get_all_requests(self) -> None:
        """Lost attempts are retried while the fleet's budget has room.

        Callers keep their connections, so most hosts of a large fleet get no
        request. Of 24 requests a second a fifth lose their answer; the budget
        is ten times that.
        """
        bounds = BudgetBounds(allowance=430)
        hosts = _make_hosts(195)
        busy = [make_budget(bounds, 0, host=host) for host in hosts[:60]]
        rng = random.Random(3)
        lost = 0
        retried = 0
        for request in range(2400):
            now = 30 + request / 24
            budget = rng.choice(busy)
            budget.record_request(now)
            if not rng.randrange(5):
                lost += 1
                retried += budget.try_acquire(hosts, now)
        self.assertGreaterEqual(retried / lost, 0.95)

    def test_services_have_other_hosts(self) -> None:
        """A host without an attempt for one service has some for others."""
        bounds = BudgetBounds(ratio=0, allowance=52)
        hosts = _make_hosts(195)
        spent = sum(
            make_budget(
                bounds, 0, host=hosts[0], service=f'shard-{shard}'
            ).try_acquire(hosts, 21)
            for shard in range(300)
        )
        self.assertGreater(spent, 0)

    def test_nearly_exhausted(self) -> None:
        """A reserve of extra attempts is left when nearly exhausted."""
        budget = make_budget(BudgetBounds(allowance=100), 0)
        self.assertFalse(budget.nearly_exhausted(HOSTS[:1], 20))
        for _ in range(MAX_TRIES):
            if budget.nearly_exhausted(HOSTS[:1], 20):
                break
            self.assertTrue(budget.try_acquire(HOSTS[:1], 20))
        self.assertTrue(budget.nearly_exhausted(HOSTS[:1], 20))
        self.assertTrue(budget.try_acquire(HOSTS[:1], 20))


class WarmUpPacerTest(unittest.TestCase):
    """All hosts together keep within the rate limit of a cold target."""

    def test_sum_over_hosts(self) -> None:
        """Hosts that send all they may stay within the bound."""
        bounds = WarmUpBounds()
        for rate in (0.5, 2.0, 20.0):
            pacers = {
                host: WarmUpPacer(bounds, EvenShare('t-1', host))
                for host in HOSTS
            }
            sent: list[float] = []
            for step in range(300):
                now = step * 0.01
                for pacer in pacers.values():
                    if pacer.allows(rate, HOSTS, now):
                        pacer.record_sent(now)
                        sent.append(now)
            most = max(
                sum(1 for at in sent if start <= at < start + 1)
                for start in sent
            )
            with self.subTest(rate=rate):
                allowed = rate * bounds.overage + bounds.slack
                self.assertLessEqual(most, allowed)
                self.assertGreaterEqual(most, 1)
