"""Tests of what is closed when too much is held, and of the descriptors."""

import unittest

from oriolestage.admission._connection_bounds import (
    FILE_DESCRIPTORS,
    MIN_CONNECTIONS,
    WaitingConnection,
    choose_left,
    connection_bounds,
)
from oriolestage.admission._memory_budget import (
    MIN_BUDGET_BYTES,
    PROCESS_BYTES,
    Cause,
    Claim,
    Holding,
    MemoryBudget,
    budget_bytes,
    choose_closed,
)

MEGABYTE = 1_048_576
#: Memory and descriptors of the machines of the deployments.
MEMORY_MB = (200, 552)
DESCRIPTORS = (4100, 8192)


def _numbers(chosen: list[Holding]) -> list[int]:
    return [holding.number for holding in chosen]


class ChoiceTest(unittest.TestCase):
    """The connections that hold most for longest are closed."""

    def test_crowd_of_short_bodies(self) -> None:
        """Guards against a new request that is closed in favour of a crowd."""
        crowd = [
            Holding(number, Claim.CLIENT, 262_143, 1.0) for number in range(99)
        ]
        new = Holding(100, Claim.CLIENT, 262_143, 0)
        chosen = choose_closed([new, *crowd], 98 * 262_143)
        self.assertEqual(len(chosen), 98)
        self.assertNotIn(new, chosen)

    def test_order(self) -> None:
        """Size counts as well as time, and idle connections come later."""
        holdings = [
            Holding(1, Claim.CLIENT, 100, 9.0),
            Holding(2, Claim.CLIENT, 1000, 1.0),
            Holding(3, Claim.SENT_AHEAD, 9000, 9.0),
            Holding(4, Claim.IDLE, 9000, 9.0),
        ]
        self.assertEqual(
            _numbers(choose_closed(holdings, 99_999)), [2, 1, 4, 3]
        )
        self.assertEqual(_numbers(choose_closed(holdings, 1000)), [2])

    def test_running_requests(self) -> None:
        """Guards against a request that runs and is closed."""
        holdings = [Holding(1, Claim.RUNNING, 9000, 9.0)]
        self.assertEqual(choose_closed(holdings, 9000), [])

    def test_no_excess(self) -> None:
        """Nothing is closed without need."""
        holdings = [Holding(1, Claim.CLIENT, 9000, 9.0)]
        self.assertEqual(choose_closed(holdings, 0), [])


class BudgetTest(unittest.TestCase):
    """The sum of all causes counts."""

    def test_causes(self) -> None:
        """Guards against causes that each stay below a bound of their own."""
        budget = MemoryBudget(100)
        for cause in Cause:
            self.assertFalse(budget.exceeded)
            budget.add(cause, 24)
        self.assertTrue(budget.exceeded)
        self.assertEqual(budget.held_bytes(Cause.ANSWER), 24)
        self.assertEqual(budget.excess_bytes, 30)

    def test_given_up(self) -> None:
        """Guards against more that is taken in before others are closed."""
        budget = MemoryBudget(100)
        budget.add(Cause.REQUEST, 130)
        budget.give_up(60)
        self.assertFalse(budget.exceeded)
        self.assertTrue(budget.full)
        budget.add(Cause.REQUEST, -60)
        budget.give_up(-60)
        self.assertFalse(budget.full)

    def test_machines(self) -> None:
        """The budget and the process fit into the memory of each machine."""
        for megabytes in MEMORY_MB:
            with self.subTest(megabytes=megabytes):
                memory_bytes = megabytes * MEGABYTE
                budget = budget_bytes(memory_bytes)
                self.assertGreater(budget, MIN_BUDGET_BYTES)
                self.assertLess(budget * 1.25 + PROCESS_BYTES, memory_bytes)

    def test_hardly_any_memory(self) -> None:
        """A few requests are served with any setting."""
        self.assertEqual(budget_bytes(1), MIN_BUDGET_BYTES)


class DescriptorTest(unittest.TestCase):
    """Connections leave descriptors for files and for what a host opens."""

    def test_machines(self) -> None:
        """Guards against callers that take all descriptors."""
        for descriptors in DESCRIPTORS:
            with self.subTest(descriptors=descriptors):
                bounds = connection_bounds(descriptors)
                accepted = bounds.callers + bounds.hosts + 2 * bounds.control
                left = descriptors - FILE_DESCRIPTORS - accepted
                self.assertGreater(left, descriptors // 5)
                self.assertGreater(bounds.callers, 1500)
                self.assertGreater(bounds.hosts, 620)

    def test_few_descriptors(self) -> None:
        """Some connections are accepted with any setting."""
        self.assertEqual(connection_bounds(1).callers, MIN_CONNECTIONS)

    def test_choice(self) -> None:
        """Those that were never served come first, then the longest."""
        waiting = [
            WaitingConnection(1, served=True, waited_s=9.0),
            WaitingConnection(2, served=False, waited_s=1.0),
            WaitingConnection(3, served=False, waited_s=2.0),
        ]
        chosen = [left.number for left in choose_left(waiting, 60)]
        self.assertEqual(chosen, [3, 2, 1])
        chosen = [left.number for left in choose_left(waiting, 8)]
        self.assertEqual(chosen, [3])
