"""Tests of waits in the line of a host whose end is known."""

from unittest import TestCase

from oriolestage.admission._throughput import MIN_ANSWERS
from oriolestage.admission._waiting_line import WaitingLine
from oriolestage.admission.tests.builders import make_line, make_waiter
from oriolestage.routing.tests.builders import (
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import attempts_in, make_run

SERVICE = 'shard-0'
#: A quarter of it is less than an attempt takes.
OBJECTIVE_S = 0.8
WORK_S = 0.3
#: Time for which the only target takes no attempt, in seconds.
DECLINED_S = 0.05


def _make_line(in_flight: int) -> WaitingLine:
    """Return a line that knows how long an attempt takes."""
    line = make_line()
    others = make_waiter(line)
    for attempt in range(MIN_ANSWERS):
        others.record_sent(SERVICE, attempt, 0)
        others.record_ended(attempt, WORK_S, answered=True)
    for attempt in range(in_flight):
        others.record_sent(SERVICE, MIN_ANSWERS + attempt, WORK_S)
    return line


class KnownWaitTest(TestCase):
    """A request waits for a target that is free soon.

    It was refused at once, as if the target were free only after the next
    answer, also if no attempt was in flight.
    """

    def test_first_is_placed(self) -> None:
        """The first request is sent when the shortage ends."""
        for in_flight in (0, 1):
            with self.subTest(in_flight=in_flight):
                self._check_placed(_make_line(in_flight))

    def _check_placed(self, line: WaitingLine) -> None:
        records = (make_record('t-1'),)
        placement, directory = make_placement(records=records)
        for target in directory.all_targets():
            load = placement.observations.load_of(target)
            load.record_full(1 + DECLINED_S, 1)
        run = make_run(
            make_rule(objective_s=OBJECTIVE_S),
            records,
            1,
            known=placement,
            waiter=make_waiter(line),
        )
        self.assertEqual(run.start(1), [])
        now = 1 + DECLINED_S
        self.assertAlmostEqual(run.wake_at, now)
        self.assertEqual(len(attempts_in(run.on_timer(now))), 1)
