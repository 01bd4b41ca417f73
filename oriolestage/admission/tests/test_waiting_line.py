"""Tests of the line of one host, without requests that run."""

import random
from unittest import TestCase

from oriolestage.admission._service_line import ROUTE_ACTIVE_S
from oriolestage.admission._throughput import (
    MAX_RETURN_S,
    MIN_ANSWERS,
    ReturnTimes,
)
from oriolestage.admission._waiting_line import (
    LOG_INTERVAL_S,
    LineRefusal,
    Waiter,
    WaitingLine,
)
from oriolestage.admission.tests.builders import (
    make_line,
    make_rank,
    make_waiter,
)
from oriolestage.routing._state_changes import StateChange

SERVICE = 'search'
#: Time for which there is no capacity before the next look, in seconds.
WAIT_S = 0.01


def _waiting(line: WaitingLine, account: str = 'a', **rank: object) -> Waiter:
    waiter = make_waiter(line, make_rank(account, **rank))  # type: ignore[arg-type]
    if waiter.may_try(SERVICE, 0):
        waiter.record_shortage(SERVICE, WAIT_S, 0)
    return waiter


class TurnTest(TestCase):
    """Capacity that comes free goes to the first request that waits."""

    def test_newcomer(self) -> None:
        """Guards against a new request that takes the capacity first."""
        line = make_line()
        busy = make_waiter(line)
        busy.record_sent(SERVICE, 1, 0)
        first = _waiting(line, objective=1.0)
        busy.record_ended(1, 0.005)
        self.assertEqual(first.take_woken(), {SERVICE})
        newcomer = make_waiter(line, make_rank(objective=2.0))
        self.assertFalse(newcomer.may_try(SERVICE, 0.005))
        self.assertTrue(first.may_try(SERVICE, 0.005))

    def test_next_is_woken(self) -> None:
        """Guards against a free target beside requests that wait."""
        for leaves in (False, True):
            line = make_line()
            first = _waiting(line, objective=1.0)
            second = _waiting(line, objective=2.0)
            second.take_woken()
            if leaves:
                first.close(0)
            else:
                first.record_placed(SERVICE, 0)
            with self.subTest(leaves=leaves):
                self.assertEqual(second.take_woken(), {SERVICE})
                self.assertTrue(second.may_try(SERVICE, 0))
                self.assertEqual(line.waiting, 1)

    def test_woken_once(self) -> None:
        """A query that waits for several services is woken once."""
        line = make_line()
        query = make_waiter(line)
        calls: list[str] = []
        query.call_when_woken(lambda: calls.append('woken'))
        busy = make_waiter(line)
        for number in range(3):
            service = f'shard-{number}'
            busy.record_sent(service, number, 0)
            query.record_shortage(service, WAIT_S, 0)
        for number in range(3):
            busy.record_ended(number, 0.005)
        self.assertEqual(len(calls), 1)
        self.assertEqual(len(query.take_woken()), 3)

    def test_closed(self) -> None:
        """Guards against a request that has ended and still waits."""
        line = make_line()
        waiter = _waiting(line)
        waiter.record_sent('other', 1, 0)
        waiter.close(0.01)
        self.assertEqual(line.waiting, 0)
        self.assertEqual(line.line('other').throughput.in_flight, 0)


class ReservedRoomTest(TestCase):
    """A route leaves what the others have reserved."""

    def test_active_route(self) -> None:
        """A route that was in use of late keeps a place for a time."""
        line = make_line()
        other = make_waiter(line, make_rank(route='other'))
        other.record_sent(SERVICE, 1, 0)
        other.record_ended(1, 0)
        burst = make_waiter(line)
        for attempt in range(5):
            burst.record_sent(SERVICE, 10 + attempt, 0)
        self.assertTrue(burst.shares_room(SERVICE))
        self.assertFalse(burst.leaves_reserved(SERVICE, 1, 6, 1))
        self.assertTrue(burst.leaves_reserved(SERVICE, 2, 6, 1))
        self.assertTrue(other.leaves_reserved(SERVICE, 1, 6, 1))
        later = ROUTE_ACTIVE_S + 1
        self.assertTrue(burst.leaves_reserved(SERVICE, 1, 6, later))

    def test_little_room(self) -> None:
        """No room is reserved where there is only one place or two."""
        line = make_line()
        for route in ('one', 'other'):
            waiter = make_waiter(line, make_rank(route=route))
            waiter.record_sent(SERVICE, 1, 0)
            if route == 'one':
                waiter.record_ended(1, 0)
        self.assertTrue(waiter.leaves_reserved(SERVICE, 1, 2, 0))


class ExpectedWaitTest(TestCase):
    """The expected wait follows from the line and the answers."""

    def test_from_answers(self) -> None:
        """Two attempts of 20 ms at a time answer every 10 ms."""
        line = make_line()
        busy = make_waiter(line)
        for attempt in range(MIN_ANSWERS):
            busy.record_sent(SERVICE, attempt, 0)
            busy.record_ended(attempt, 0.02, answered=True)
        for attempt in range(2):
            busy.record_sent(SERVICE, 10 + attempt, 0)
        for place in range(1, 4):
            waiter = _waiting(line, objective=place)
            self.assertAlmostEqual(
                waiter.expected_wait_s(SERVICE), place * 0.01
            )

    def test_unknown(self) -> None:
        """Without answers nothing is expected, and nothing is refused."""
        line = make_line()
        self.assertEqual(_waiting(line).expected_wait_s(SERVICE), 0)


class ReturnTimeTest(TestCase):
    """Refused callers return at different times, after the line drained."""

    def test_spread(self) -> None:
        """Returning callers come at half of the rate of answers."""
        returns = ReturnTimes(random.Random(1))
        times = sorted(returns.next_s(0.1, 0.01, 0) for _ in range(50))
        self.assertGreaterEqual(times[0], 0.1)
        for start in (0.1, 0.4, 0.7):
            callers = [one for one in times if start <= one < start + 0.3]
            self.assertAlmostEqual(len(callers), 15, delta=1)

    def test_bounded(self) -> None:
        """Guards against callers that are sent away for too long."""
        returns = ReturnTimes(random.Random(1))
        times = [returns.next_s(0, 0.05, 0) for _ in range(500)]
        self.assertLessEqual(max(times), MAX_RETURN_S)
        self.assertGreater(max(times) - min(times[100:]), 1)


class RefusalLogTest(TestCase):
    """Refusals are counted by reason, and logged at a bounded rate."""

    def test_interval(self) -> None:
        """A log event tells how many were refused since the last one."""
        events: list[StateChange] = []
        line = WaitingLine(random.Random(1), events.append)
        for number in range(30):
            now = number * LOG_INTERVAL_S / 10
            _waiting(line).refuse(SERVICE, LineRefusal.EXPECTED_WAIT, 0, now)
        self.assertEqual(line.refusals, {'expected_wait': 30})
        logged = [dict(event.fields)['refused'] for event in events]
        self.assertEqual(logged[:2], [1, 10])
        self.assertLessEqual(len(logged), 3)

    def test_query(self) -> None:
        """A query counts once, however many services refuse it."""
        line = make_line()
        query = make_waiter(line)
        for number in range(5):
            query.refuse(f'shard-{number}', LineRefusal.WAITED, 0, 0)
        self.assertEqual(line.refusals, {'waited': 1})
