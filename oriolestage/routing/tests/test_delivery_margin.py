"""Tests of the time that is kept back before the objective."""

import unittest

from oriolestage.routing._answers import AttemptAnswered, Gathered
from oriolestage.routing._delivery_margin import (
    BASE_MARGIN_S,
    LARGEST_SHARE,
    DeliveryMargin,
)
from oriolestage.routing.tests.builders import (
    make_answer,
    make_group,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import (
    attempts_in,
    make_run,
    result_in,
)

OBJECTIVE_S = 0.16
SHARDS = 20
#: Time by which a slow host gives its partial answers too late, in seconds.
SLOW_HOST_S = 0.02
#: Time for which a host is paused, in seconds.
PAUSE_S = 5.0
#: Answers after which a host that is fast again gives them later.
ANSWERS_TO_FORGET = 10


class DeliveryMarginTest(unittest.TestCase):
    """A slow host gives partial answers earlier."""

    def test_slow_host(self) -> None:
        """Guards against partial answers just after the objective.

        The overrun of one answer is kept back from the next one.
        """
        margin = DeliveryMargin()
        margin.record_overrun(SLOW_HOST_S, OBJECTIVE_S)
        margin_s = margin.margin_s(SHARDS, OBJECTIVE_S)
        self.assertGreaterEqual(margin_s, SLOW_HOST_S)

    def test_partial_answer_is_due_earlier(self) -> None:
        """The run ends by the margin that it was given."""
        records = tuple(
            make_record(f't-{shard}', f'shard-{shard}')
            for shard in range(SHARDS)
        )
        rule = make_rule(make_group(SHARDS), objective_s=OBJECTIVE_S)
        run = make_run(rule, records, 0, delivery_margin_s=SLOW_HOST_S)
        for sent in attempts_in(run.start(0))[1:]:
            run.on_outcome(sent.attempt, AttemptAnswered(make_answer()), 0.01)
        due_at = OBJECTIVE_S - SLOW_HOST_S
        self.assertIsNone(result_in(run.on_timer(due_at - 0.001)))
        self.assertIsInstance(result_in(run.on_timer(due_at)), Gathered)
        self.assertEqual(run.partial_answer_due_at, due_at)

    def test_overrun_falls_slowly(self) -> None:
        """A single quick answer does not undo a long overrun."""
        margin = DeliveryMargin()
        margin.record_overrun(SLOW_HOST_S, OBJECTIVE_S)
        margin.record_overrun(0, OBJECTIVE_S)
        margin_s = margin.margin_s(SHARDS, OBJECTIVE_S)
        self.assertGreater(margin_s, SLOW_HOST_S / 2)

    def test_bound(self) -> None:
        """The margin stays a share of the objective."""
        margin = DeliveryMargin()
        margin.record_overrun(10 * OBJECTIVE_S, OBJECTIVE_S)
        margin_s = margin.margin_s(SHARDS, OBJECTIVE_S)
        self.assertLessEqual(margin_s, LARGEST_SHARE * OBJECTIVE_S)

    def test_pause_is_forgotten(self) -> None:
        """Guards against early answers long after a pause of the host."""
        margin = DeliveryMargin()
        margin.record_overrun(PAUSE_S, OBJECTIVE_S)
        for _ in range(ANSWERS_TO_FORGET):
            margin.record_overrun(0, OBJECTIVE_S)
        margin_s = margin.margin_s(SHARDS, OBJECTIVE_S)
        self.assertLess(margin_s, BASE_MARGIN_S + SLOW_HOST_S)
