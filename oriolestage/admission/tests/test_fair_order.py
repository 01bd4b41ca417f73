"""Tests of the order among the requests that wait for one service."""

import random
from collections import Counter
from unittest import TestCase

from oriolestage.admission._fair_order import FairOrder
from oriolestage.admission._waiting_ranks import Rank, Ticket
from oriolestage.admission.tests.builders import make_rank

PLACES = 400


def _place_first(order: FairOrder) -> Ticket:
    first = order.first()
    assert first is not None
    order.record_placed(first)
    return first


class PriorityTest(TestCase):
    """Higher priorities go first, as long as the others get their share."""

    def test_shares(self) -> None:
        """Guards against lower priorities that wait without end.

        Each priority sends as many requests as there are places.
        """
        order = FairOrder()
        places: Counter[int] = Counter()
        for _ in range(PLACES):
            waiting = [
                Ticket(make_rank(priority=priority)) for priority in range(3)
            ]
            for ticket in waiting:
                order.add(ticket)
            places[_place_first(order).rank.priority] += 1
            for ticket in waiting:
                order.remove(ticket)
        for lower in (1, 2):
            self.assertGreaterEqual(places[lower], PLACES / 3 / 4)
        self.assertGreater(places[0], PLACES / 2)

    def test_ahead(self) -> None:
        """A lower priority expects to wait for the higher one.

        Once it lacks its share, it expects to be the first.
        """
        order = FairOrder()
        for _ in range(10):
            order.add(Ticket(make_rank()))
        lower = Ticket(make_rank(priority=1))
        order.add(lower)
        self.assertEqual(order.ahead_of(lower), 10)
        for _ in range(5):
            _place_first(order)
        for _ in range(20):
            order.remove(lower)
            order.add(lower)
        self.assertEqual(order.ahead_of(lower), 0)
        self.assertIs(order.first(), lower)


class AccountTest(TestCase):
    """Accounts of one priority take turns, whatever each of them sends."""

    def test_busy_account(self) -> None:
        """Guards against an account that takes places by its number."""
        order = FairOrder()
        for _ in range(50):
            order.add(Ticket(make_rank('busy')))
        order.add(Ticket(make_rank('quiet')))
        first = [_place_first(order).rank.account for _ in range(2)]
        self.assertIn('quiet', first)

    def test_no_credit(self) -> None:
        """An account that waits again takes its turn behind the others.

        Guards against an account that goes first by waiting with one request
        at a time.
        """
        order = FairOrder()
        for account in ('a', 'b', 'c'):
            for _ in range(10):
                order.add(Ticket(make_rank(account)))
        places: Counter[str] = Counter()
        for _ in range(20):
            order.add(Ticket(make_rank('one-by-one')))
            places[_place_first(order).rank.account] += 1
        self.assertEqual(places['one-by-one'], 5)

    def test_expected_place(self) -> None:
        """The expected place is the one in which requests are placed.

        Guards against refusals of small accounts for the requests of a busy
        one.
        """
        rng = random.Random(3)
        order = FairOrder()
        tickets = [
            Ticket(make_rank(rng.choice('aaaaabc'), objective=rng.random()))
            for _ in range(60)
        ]
        for ticket in tickets:
            order.add(ticket)
        expected = {ticket: order.ahead_of(ticket) for ticket in tickets}
        placed = [_place_first(order) for _ in tickets]
        for place, ticket in enumerate(placed):
            # Accounts with equal turns are placed by the time left.
            self.assertAlmostEqual(expected[ticket], place, delta=2)


class TimeLeftTest(TestCase):
    """Requests of one account are placed by the time left."""

    def test_order(self) -> None:
        """Guards against an order of arrival."""
        order = FairOrder()
        objectives = [3.0, 1.0, 2.0]
        for objective in objectives:
            order.add(Ticket(make_rank(objective=objective)))
        placed = [_place_first(order).rank.objective for _ in objectives]
        self.assertEqual(placed, sorted(objectives))

    def test_removed(self) -> None:
        """A request that was removed is not placed; others keep their turn."""
        order = FairOrder()
        tickets = [Ticket(make_rank(objective=one)) for one in (1.0, 2.0)]
        for ticket in tickets:
            order.add(ticket)
        order.remove(tickets[0])
        self.assertIs(order.first(), tickets[1])
        order.remove(tickets[1])
        self.assertIsNone(order.first())
        self.assertEqual(len(order), 0)


class SkippedKindTest(TestCase):
    """Requests that can use other targets are not held up."""

    def test_other_region(self) -> None:
        """Guards against a request that blocks those of another region."""
        order = FairOrder()
        held: Rank = make_rank(objective=1.0, regions=('region-a',))
        free: Rank = make_rank(objective=2.0, regions=('region-b',))
        order.add(Ticket(held))
        order.add(Ticket(free))
        first = order.first((held.kind,))
        assert first is not None
        self.assertIs(first.rank, free)
