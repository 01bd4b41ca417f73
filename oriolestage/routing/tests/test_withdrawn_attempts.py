"""Tests of attempts that are decided and then not sent."""

import unittest

from oriolestage.routing._answers import Refused
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    TargetRequirements,
)
from oriolestage.routing.tests.builders import (
    make_group,
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import (
    attempts_in,
    make_run,
    result_in,
)

GROUP = make_group(shards=2, min_coverage=1)
#: One target per shard, both in the region of the host.
RECORDS = tuple(
    make_record(f't-{shard}', f'shard-{shard}') for shard in range(2)
)
#: Requests per second that the first target takes.
LIMIT = 1.0


#: Time at which all queries arrive, in seconds.
NOW = 10.0


def _may_send(placement: Placement, warm_up_rate: float = 0) -> bool:
    requirements = TargetRequirements(
        'shard-0', 'route', warm_up_rate=warm_up_rate
    )
    choice = placement.choose(requirements, (), NOW)
    return isinstance(choice, ChosenTarget)


def _refuse_queries(placement: Placement) -> list[object]:
    """Return the results of queries whose second shard has no free target."""
    placement.record_declined('shard-1', 'region-a', 30, NOW)
    results: list[object] = []
    for _ in range(20):
        run = make_run(make_rule(GROUP), RECORDS, NOW, known=placement)
        results.append(result_in(run.start(NOW)))
    return results


class WithdrawnAttemptTest(unittest.TestCase):
    """Attempts that were not sent use nothing of the rate of their targets.

    Otherwise queries that cannot be answered use up the requests that others
    could be answered with.
    """

    def test_refused_at_stated_rate(self) -> None:
        """Refused queries leave the rate that a target states unused."""
        placement, _ = make_placement('dc-a', RECORDS)
        placement.record_rate_limit('t-0', LIMIT, 0)
        for refusal in _refuse_queries(placement):
            self.assertIsInstance(refusal, Refused)
        self.assertTrue(_may_send(placement))

    def test_refused_at_cold_target(self) -> None:
        """Refused queries leave the rate of a cold target unused."""
        cold = make_record('t-0', 'shard-0', warm_up_left_s=60)
        placement, _ = make_placement('dc-a', (cold, RECORDS[1]))
        for refusal in _refuse_queries(placement):
            self.assertIsInstance(refusal, Refused)
        self.assertTrue(_may_send(placement, warm_up_rate=LIMIT))

    def test_unsent_at_the_end(self) -> None:
        """A query that ends before an attempt is sent uses nothing."""
        placement, _ = make_placement('dc-a', RECORDS)
        placement.record_rate_limit('t-0', LIMIT, 0)
        run = make_run(make_rule(GROUP), RECORDS, NOW, known=placement)
        sent = attempts_in(run.start(NOW))
        for attempt in sent:
            run.record_unsent(attempt.attempt)
        run.cancel(NOW)
        self.assertEqual(len(sent), 2)
        self.assertTrue(_may_send(placement))
