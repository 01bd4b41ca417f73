"""Replays of load on a host whose targets have too little room.

Each replay runs with the mechanism and without it; without it, the bound that
the callers need is not met.
"""

import random
import statistics
from collections.abc import Collection
from unittest import TestCase, mock

from oriolestage.admission import _fair_order
from oriolestage.admission._accounts import Account
from oriolestage.admission._service_line import ServiceLine
from oriolestage.admission._throughput import UNKNOWN_RETURN_S, ReturnTimes
from oriolestage.entry.tests.crowded_host import (
    NETWORK_DELAY_S,
    Arrival,
    CrowdedHost,
    Served,
    poisson,
)
from oriolestage.routing.tests.builders import make_rule

OBJECTIVE_S = 0.16
RULE = make_rule(objective_s=OBJECTIVE_S)
OTHER_RULE = make_rule(
    name='other', path_prefix='/other/', objective_s=OBJECTIVE_S
)
#: The account with many times its usual load.
HOT = Account('hot')
SEEDS = range(3)
#: Time within which a refusal is of full use to a caller, in seconds.
QUARTER_S = OBJECTIVE_S / 4
#: Requests per second that one target serves.
TARGET_RATE = 100.0


def _share(served: Collection[Served]) -> float:
    """Return the share of requests that were answered in time."""
    in_time = OBJECTIVE_S - NETWORK_DELAY_S
    answered = sum(one.answered and one.took_s <= in_time for one in served)
    return answered / len(served)


class HotAccountTest(TestCase):
    """One account sends eight times its usual load beside 80 small ones.

    The small accounts alone need 0.4 of what the service serves. Without an
    order among the accounts, they are served as rarely as the hot one.
    """

    def test_small_accounts(self) -> None:
        """Small accounts are served, and refusals are in time."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                served = _replay_hot_account(seed, 5)
                self.assertGreaterEqual(_share(_of_small(served)), 0.9)
                refused = [one.took_s for one in served if not one.answered]
                self.assertLessEqual(max(refused), QUARTER_S - NETWORK_DELAY_S)

    def test_each_account(self) -> None:
        """No account is served less than a quarter as often as all."""
        served = _replay_hot_account(1, 20)
        names = {_named(one) for one in served}
        shares = {
            name: _share([one for one in served if _named(one) == name])
            for name in names
        }
        self.assertGreaterEqual(min(shares.values()), _share(served) / 4)

    def test_without_line(self) -> None:
        """Without the line, half of the small accounts' requests fail."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                served = _replay_hot_account(seed, 5, with_line=False)
                self.assertLess(_share(_of_small(served)), 0.6)


class PriorityTest(TestCase):
    """The highest priority alone needs twice what the service serves.

    Without a share for the lower one, it is served a tenth as often as all.
    """

    def test_lower_priority(self) -> None:
        """The lower priority is served, less often than the higher one."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                served = _replay_priorities(seed)
                lower = _share(_of_priority(served, 1))
                self.assertGreaterEqual(lower, _share(served) / 4)
                self.assertLess(lower, _share(_of_priority(served, 0)))

    def test_without_share(self) -> None:
        """Without the share, the lower priority is starved."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                mock.patch.object(_fair_order, 'LEAST_SHARE', 0),
            ):
                served = _replay_priorities(seed)
                lower = _share(_of_priority(served, 1))
                self.assertLess(lower, _share(served) / 4)


class EarlyRefusalTest(TestCase):
    """Three times the load that a service takes, from one account."""

    def test_refused_at_once(self) -> None:
        """Most refusals come at once, and as many requests are answered."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                served = _replay_overload(seed)
                self.assertLess(_median_refusal_s(served), NETWORK_DELAY_S)
                with mock.patch.object(
                    ServiceLine, 'expected_wait_s', return_value=0
                ):
                    waiting = _replay_overload(seed)
                self.assertGreater(_median_refusal_s(waiting), QUARTER_S / 2)
                self.assertGreater(_share(served), 0.95 * _share(waiting))


class RouteBurstTest(TestCase):
    """One route gets a burst of three times what the service takes.

    All requests are of one account. Without reserved room, the requests of
    the other route wait behind the burst.
    """

    def test_other_route(self) -> None:
        """Requests on the other route are served."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertGreaterEqual(_share(_replay_burst(seed)), 0.92)

    def test_without_reserved_room(self) -> None:
        """Without reserved room, more of them are refused."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                mock.patch.object(
                    ServiceLine, 'shares_room', return_value=False
                ),
            ):
                self.assertLess(_share(_replay_burst(seed)), 0.92)


class ReturningCrowdTest(TestCase):
    """200 callers come at once; those refused return when they are told.

    With the same time for all, they return as a crowd and most are refused
    again, however often they come.
    """

    def test_spread(self) -> None:
        """All callers are served after three returns, most after one."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                crowd = _replay_crowd(seed)
                self.assertGreaterEqual(_share(crowd), 0.97)
                soon = [one for one in crowd if one.refusals <= 1]
                self.assertGreaterEqual(len(soon) / len(crowd), 0.8)

    def test_same_time(self) -> None:
        """With one time for all, fewer than half are served."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                mock.patch.object(
                    ReturnTimes, 'next_s', return_value=UNKNOWN_RETURN_S
                ),
            ):
                self.assertLess(_share(_replay_crowd(seed)), 0.5)


class LineLogTest(TestCase):
    """Refusals of a crowd are counted, and logged at a bounded rate."""

    def test_bounded(self) -> None:
        """Hundreds of refusals in a second give one line each second."""
        account = Account('a')
        arrivals = [
            Arrival(after_s, account)
            for after_s in poisson(8 * TARGET_RATE, 2, random.Random(1))
        ]
        host = CrowdedHost((RULE,), (account,), 1)
        served = host.replay(arrivals)
        refused = sum(not one.answered for one in served)
        self.assertGreater(refused, 1000)
        self.assertEqual(sum(host.line.refusals.values()), refused)
        self.assertLessEqual(len(host.events), 3)
        self.assertEqual(host.line.waiting, 0)


class NoAccountsTest(TestCase):
    """Without accounts in the configuration, nothing is ordered."""

    def test_same_results(self) -> None:
        """Guards against a line for configurations that do not ask for it."""
        arrivals = [
            Arrival(after_s, HOT)
            for after_s in poisson(3 * TARGET_RATE, 1, random.Random(1))
        ]
        host = CrowdedHost((RULE,), (), 1)
        without_line = CrowdedHost((RULE,), (), 1, with_line=False)
        self.assertEqual(host.replay(arrivals), without_line.replay(arrivals))
        self.assertFalse(host.line.refusals)


def _named(served: Served) -> str:
    return served.arrival.account.name


def _of_small(served: Collection[Served]) -> list[Served]:
    return [one for one in served if _named(one) != HOT.name]


def _replay_hot_account(
    seed: int, duration_s: float, *, with_line: bool = True
) -> list[Served]:
    """Return the requests of 80 small accounts and of the hot one."""
    rng = random.Random(seed)
    small = [Account(f'small-{number}') for number in range(80)]
    rates = {account: 0.4 * TARGET_RATE / 80 for account in small}
    rates[HOT] = 1.6 * TARGET_RATE
    arrivals = [
        Arrival(after_s, account)
        for account, rate in rates.items()
        for after_s in poisson(rate, duration_s, rng)
    ]
    return CrowdedHost((RULE,), rates, seed, with_line=with_line).replay(
        arrivals
    )


def _of_priority(served: Collection[Served], priority: int) -> list[Served]:
    return [one for one in served if one.arrival.account.priority == priority]


def _replay_priorities(seed: int) -> list[Served]:
    rng = random.Random(seed)
    rates = {
        Account(f'{priority}-{number}', priority=priority): rate
        for number in range(10)
        for priority, rate in enumerate((0.2 * TARGET_RATE, 0.05 * TARGET_RATE))
    }
    arrivals = [
        Arrival(after_s, account)
        for account, rate in rates.items()
        for after_s in poisson(rate, 5, rng)
    ]
    return CrowdedHost((RULE,), rates, seed).replay(arrivals)


def _replay_overload(seed: int) -> list[Served]:
    arrivals = [
        Arrival(after_s, HOT)
        for after_s in poisson(3 * TARGET_RATE, 3, random.Random(seed))
    ]
    return CrowdedHost((RULE,), (HOT,), seed).replay(arrivals)


def _median_refusal_s(served: Collection[Served]) -> float:
    refused = [one.took_s for one in served if not one.answered]
    return statistics.median(refused)


def _replay_burst(seed: int) -> list[Served]:
    """Return the requests on the route without a burst."""
    rng = random.Random(seed)
    account = Account('one')
    arrivals = [
        Arrival(after_s, account)
        for after_s in poisson(6 * TARGET_RATE, 4, rng)
    ]
    arrivals.extend(
        Arrival(after_s, account, OTHER_RULE.path_prefix)
        for after_s in poisson(0.3 * TARGET_RATE, 4, rng)
    )
    rules = (RULE, OTHER_RULE)
    served = CrowdedHost(rules, (account,), seed, targets=2).replay(arrivals)
    return [one for one in served if one.arrival.path == OTHER_RULE.path_prefix]


def _replay_crowd(seed: int) -> list[Served]:
    """Return the callers that come at once, beside a light usual load."""
    rng = random.Random(seed)
    accounts = [Account(f'a-{number}') for number in range(80)]
    arrivals = [
        Arrival(rng.uniform(0, 0.05), rng.choice(accounts), returns=3)
        for _ in range(200)
    ]
    arrivals.extend(
        Arrival(after_s, rng.choice(accounts))
        for after_s in poisson(0.3 * TARGET_RATE, 4, rng)
    )
    served = CrowdedHost((RULE,), accounts, seed).replay(arrivals)
    return [one for one in served if one.arrival.returns]
