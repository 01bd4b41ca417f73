"""Tests of shard queries that wait in the line of their host."""

import functools
from unittest import TestCase

from oriolestage.admission._waiting_line import Waiter
from oriolestage.admission.tests.builders import (
    make_line,
    make_waiter,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptNotRun,
    Gathered,
    NotRunReason,
    Refused,
)
from oriolestage.routing._placement import Placement
from oriolestage.routing._target_capacity import QUEUED_LIMIT
from oriolestage.routing.tests.builders import (
    make_answer,
    make_group,
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.line_counter import count_lines
from oriolestage.routing.tests.runs import attempts_in, make_run, result_in

SHARDS = 100
RULE = make_rule(make_group(SHARDS, min_coverage=1))
RECORDS = tuple(
    make_record(f't-{shard}', f'shard-{shard}') for shard in range(SHARDS)
)
#: Number of the first attempt of other requests.
FIRST_OTHER = 1000
#: Lines of the line's code for each shard of a query when nobody waits.
LARGEST_LINES = 40


def _answer_query(waiter: Waiter | None) -> None:
    run = make_run(RULE, RECORDS, 0, waiter=waiter)
    for sent in attempts_in(run.start(0)):
        answered = AttemptAnswered(make_answer())
        ended = run.on_outcome(sent.attempt, answered, 0.01)
    assert isinstance(result_in(ended), Gathered)


def _full_placement() -> Placement:
    placement, directory = make_placement(records=RECORDS)
    for target in directory.all_targets():
        for attempt in range(target.record.slots + QUEUED_LIMIT):
            placement.record_sent(target, FIRST_OTHER + attempt, 0)
    return placement


class QueryInLineTest(TestCase):
    """A query waits with all its parts, and costs little without a wait."""

    def test_waits(self) -> None:
        """A query whose targets are full is woken, and answered."""
        line = make_line()
        placement = _full_placement()
        others = make_waiter(line)
        for shard in range(SHARDS):
            others.record_sent(f'shard-{shard}', shard, 0)
        run = make_run(
            RULE, RECORDS, 0, known=placement, waiter=make_waiter(line)
        )
        self.assertEqual(attempts_in(run.start(0)), [])
        self.assertEqual(line.waiting, SHARDS)
        for target in placement.directory.all_targets():
            placement.observations.record_answer(target, FIRST_OTHER, 0.005)
        for shard in range(SHARDS):
            others.record_ended(shard, 0.005)
        placed = attempts_in(run.on_timer(0.005))
        self.assertEqual(len(placed), SHARDS)
        self.assertEqual(line.waiting, 0)

    def test_refused(self) -> None:
        """A query of which no part was sent counts as one refused request."""
        line = make_line()
        placement = _full_placement()
        run = make_run(
            RULE, RECORDS, 0, known=placement, waiter=make_waiter(line)
        )
        actions = run.start(0)
        while result_in(actions) is None:
            actions = run.on_timer(run.wake_at)
        self.assertIsInstance(result_in(actions), Refused)
        self.assertEqual(sum(line.refusals.values()), 1)
        self.assertEqual(line.waiting, 0)

    def test_shed(self) -> None:
        """Guards against callers that all return at the same time.

        The targets turn every attempt away.
        """
        line = make_line()
        rule = make_rule()
        records = RECORDS[:1]
        shed = AttemptNotRun(NotRunReason.SHED)
        times: set[float] = set()
        for _ in range(10):
            run = make_run(rule, records, 0, waiter=make_waiter(line))
            actions = run.start(0)
            while result_in(actions) is None:
                sent = attempts_in(actions)[0]
                actions = run.on_outcome(sent.attempt, shed, 0.001)
            refused = result_in(actions)
            assert isinstance(refused, Refused)
            times.add(refused.retry_after_s)
        self.assertEqual(len(times), 10)
        self.assertEqual(line.refusals, {'shed': 10})

    def test_turned_away(self) -> None:
        """A shortage of this host's own does not count against the targets.

        Otherwise accounts are limited beside targets that have room.
        """
        full = _full_placement()
        resting, _ = make_placement(records=RECORDS)
        for record in RECORDS:
            resting.record_rest(record.identity, 30, 0)
        for placement, turned_away in ((full, False), (resting, True)):
            run = make_run(
                make_rule(),
                RECORDS,
                0,
                known=placement,
                waiter=make_waiter(make_line()),
            )
            actions = run.start(0)
            while result_in(actions) is None:
                actions = run.on_timer(run.wake_at)
            with self.subTest(turned_away=turned_away):
                self.assertEqual(run.turned_away, turned_away)

    def test_cost(self) -> None:
        """Guards against a line that costs much while nobody waits."""
        line = make_line()
        _answer_query(make_waiter(line))
        waiter = make_waiter(line)
        lines = count_lines(
            'oriolestage/admission/_', functools.partial(_answer_query, waiter)
        )
        self.assertLess(lines / SHARDS, LARGEST_LINES)
