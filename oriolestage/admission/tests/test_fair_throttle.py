"""Tests of the division of what a service takes among its senders."""

import random
from collections.abc import Mapping
from unittest import TestCase

from oriolestage.admission._fair_throttle import MEMORY_S, FairThrottle
from oriolestage.admission.tests.builders import make_rank

#: Requests per second of a sender that sends much, and of one that does not.
MANY = 100
FEW = 5
STEP_S = 0.01
#: Least share of requests that is admitted under a constant loss.
LEAST_ADMITTED = 0.2
#: Requests that the service takes at once.
BURST = 3


def _run(
    throttle: FairThrottle,
    rates: Mapping[tuple[str, int], float],
    taken_rate: float,
    duration_s: float,
    start: float = 0,
) -> dict[tuple[str, int], float]:
    """Return the share of requests that were admitted, by sender.

    ``rates`` has the requests per second by account and priority; the service
    takes ``taken_rate`` requests per second.
    """
    rng = random.Random(1)
    admitted = dict.fromkeys(rates, 0)
    offered = dict.fromkeys(rates, 0)
    taken: float = 0
    for step in range(int(duration_s / STEP_S)):
        now = start + step * STEP_S
        taken = min(taken + taken_rate * STEP_S, BURST)
        for sender, rate in rates.items():
            if rng.random() >= rate * STEP_S:
                continue
            offered[sender] += 1
            account, priority = sender
            if throttle.admits(make_rank(account, priority), now):
                admitted[sender] += 1
                throttle.record_result(turned_away=taken < 1)
                taken -= taken >= 1
    return {sender: admitted[sender] / offered[sender] for sender in rates}


class FairThrottleTest(TestCase):
    """Senders share what a service takes; those that send little get all."""

    def test_small_sender(self) -> None:
        """Guards against a busy account that takes the part of others."""
        rates = {('busy', 0): MANY, ('quiet', 0): FEW}
        shares = _run(FairThrottle(random.Random(1)), rates, MANY / 2, 30)
        self.assertGreaterEqual(shares['quiet', 0], 0.97)
        self.assertLess(shares['busy', 0], 0.75)
        self.assertGreater(shares['busy', 0], 0.25)

    def test_without_overload(self) -> None:
        """Guards against limits on accounts while there is room."""
        rates = {('busy', 0): MANY, ('quiet', 0): FEW}
        shares = _run(FairThrottle(random.Random(1)), rates, 2 * MANY, 10)
        self.assertEqual(set(shares.values()), {1})

    def test_recovery(self) -> None:
        """Guards against limits that outlast an overload."""
        throttle = FairThrottle(random.Random(1))
        rates = {('busy', 0): MANY}
        _run(throttle, rates, MANY / 4, 10)
        _run(throttle, rates, 2 * MANY, 4 * MEMORY_S, 10)
        end = 10 + 4 * MEMORY_S
        shares = _run(throttle, rates, 2 * MANY, 5, end)
        self.assertGreaterEqual(shares['busy', 0], 0.97)

    def test_constant_loss(self) -> None:
        """Guards against limits that fall without end.

        Targets turn away a third of the requests, however few there are.
        """
        throttle = FairThrottle(random.Random(1))
        rng = random.Random(2)
        admitted = 0
        for step in range(6000):
            if throttle.admits(make_rank(), step * STEP_S):
                admitted += 1
                throttle.record_result(turned_away=rng.random() < 1 / 3)
        self.assertGreaterEqual(admitted, 6000 * LEAST_ADMITTED)

    def test_priorities(self) -> None:
        """The higher priority goes first; the lower one keeps a share."""
        rates = {('a', 0): MANY, ('b', 1): MANY / 2}
        shares = _run(FairThrottle(random.Random(1)), rates, MANY / 2, 30)
        self.assertGreater(shares['a', 0], shares['b', 1])
        total = (shares['a', 0] + shares['b', 1] / 2) / 1.5
        self.assertGreaterEqual(shares['b', 1], total / 4)

    def test_forgets(self) -> None:
        """Guards against memory for each account that was ever seen."""
        throttle = FairThrottle(random.Random(1))
        for number in range(1000):
            throttle.admits(make_rank(f'a-{number}'), 0)
        throttle.admits(make_rank('last'), 10 * MEMORY_S)
        self.assertEqual(len(throttle._uses[0]), 1)
