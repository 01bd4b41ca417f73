"""Tests of requests at a host that reaches no target."""

import unittest

from oriolestage.routing._placement import Placement
from oriolestage.routing._target_reach import MIN_UNREACHED_TARGETS
from oriolestage.routing.tests.builders import (
    make_group,
    make_placement,
    make_rule,
    shard_records,
)
from oriolestage.routing.tests.runs import (
    attempts_in,
    batches_in,
    make_run,
)

SHARDS = 20
#: Time at which the host has found out that it is cut off, in seconds.
NOW = 3.0


def make_cut_off_placement() -> Placement:
    """Return the placement of a host that no target has answered."""
    placement, _ = make_placement('dc-a', shard_records(SHARDS))
    for number in range(MIN_UNREACHED_TARGETS):
        placement.observations.reach.record_unreached(
            f't-{number}', NOW - 1, NOW
        )
    return placement


class CutOffHostTest(unittest.TestCase):
    """A host without a path to targets serves callers through other hosts.

    Such a host refused requests that any other host could serve.
    """

    def test_query(self) -> None:
        """All shards of a query are sent to other hosts, none to targets."""
        run = make_run(
            make_rule(make_group(SHARDS)),
            shard_records(SHARDS),
            NOW,
            known=make_cut_off_placement(),
        )
        actions = run.start(NOW)
        self.assertFalse(attempts_in(actions))
        batched = [
            part.service
            for batch in batches_in(actions)
            for part in batch.parts
        ]
        self.assertEqual(len(batched), SHARDS)
        self.assertEqual(len(set(batched)), SHARDS)
