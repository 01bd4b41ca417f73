"""Tests of why a target gets no attempt."""

import unittest
from collections.abc import Callable, Mapping

from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    NoCapacity,
    ShortageCause,
    TargetRequirements,
)
from oriolestage.routing._target_capacity import QUEUED_LIMIT
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import (
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import make_run

#: Time since which a fact about the target is known, in seconds.
AGE_S = 0.2
NOW = 50.0
KNOWN_AT = NOW - AGE_S


def _fill(placement: Placement, target: KnownTarget) -> None:
    for attempt in range(target.record.slots + QUEUED_LIMIT):
        placement.record_sent(target, attempt, KNOWN_AT)


def _fail_to_reach(placement: Placement, target: KnownTarget) -> None:
    placement.record_sent(target, 1, KNOWN_AT)
    placement.observations.record_not_reached(target, 1, KNOWN_AT)


def _limit_rate(placement: Placement, target: KnownTarget) -> None:
    placement.record_rate_limit(target.record.identity, 0.5, KNOWN_AT)
    for attempt in range(2):
        placement.record_sent(target, attempt, KNOWN_AT)


def _decline(placement: Placement, target: KnownTarget) -> None:
    placement.record_declined('shard-0', 'region-a', 1, KNOWN_AT)


def _rest(placement: Placement, target: KnownTarget) -> None:
    placement.record_rest(target.record.identity, 1, KNOWN_AT)


#: What happens to a target, by the shortage that follows.
CASES: Mapping[  # noqa: WPS407
    ShortageCause, tuple[Callable[[Placement, KnownTarget], None], float]
] = {
    ShortageCause.REST: (_rest, AGE_S),
    ShortageCause.BACKOFF: (_fail_to_reach, AGE_S),
    ShortageCause.DECLINED: (_decline, AGE_S),
    ShortageCause.RATE_LIMIT: (_limit_rate, AGE_S),
    ShortageCause.OUTSTANDING: (_fill, 0),
}


class ShortageTest(unittest.TestCase):
    """A refused request can be traced to the fact that refused it."""

    def test_cause_and_age(self) -> None:
        """The shortage names the fact and the time since it is known."""
        for cause, (happen, age_s) in CASES.items():
            placement, directory = make_placement(records=(make_record(),))
            target = directory.find('t-1')
            assert target is not None
            happen(placement, target)
            requirements = TargetRequirements('shard-0', 'route')
            refused = placement.choose(requirements, (), NOW)
            with self.subTest(cause=cause):
                assert isinstance(refused, NoCapacity)
                self.assertEqual(refused.shortage.cause, cause)
                self.assertAlmostEqual(refused.shortage.age_s, age_s)

    def test_logged(self) -> None:
        """The summary of a refused request has the cause and the age."""
        records = (make_record(),)
        placement, _ = make_placement(records=records)
        placement.record_rest('t-1', 1, KNOWN_AT)
        run = make_run(make_rule(), records, NOW, known=placement)
        run.start(NOW)
        self.assertEqual(run.summary()['shortages'], 'rest:1:0.20')
