"""Replays of load patterns, each with its mechanism and without it.

The bounds are the users' objectives: answers within the objective, at the
coverage that the route asks for, under the shared budget.
"""

import random
import unittest

from oriolestage.relay._answers import Gathered
from oriolestage.relay._extra_budget import BudgetBounds
from oriolestage.relay._targets import TargetRecord
from oriolestage.relay.tests.builders import (
    make_group,
    make_rule,
)
from oriolestage.relay.tests.replay import (
    Replay,
    ReplayedRequest,
    WorkModel,
    pausing_targets,
)

#: Requests of one replay and the time between two of them, in seconds.
REQUESTS = 300
PAUSE_S = 0.08
#: Share of queries that have to be answered whole within the objective.
WHOLE_SHARE = 0.9
OBJECTIVE_S = 0.162


def _replay_requests(replay: Replay, seed: int) -> list[ReplayedRequest]:
    rng = random.Random(seed)
    replayed: list[ReplayedRequest] = []
    for _ in range(REQUESTS):
        replayed.append(replay.replay_request(rng.lognormvariate(-4.6, 0.35)))
        replay.now += PAUSE_S
    return replayed


def _whole_share(replayed: list[ReplayedRequest]) -> float:
    whole = [
        one
        for one in replayed
        if isinstance(one.result, Gathered)
        and not one.result.missing
        and one.took_s <= OBJECTIVE_S
    ]
    return len(whole) / len(replayed)


def _slow_targets(seed: int, times: float) -> WorkModel:
    rng = random.Random(seed)
    slow = {f't-{shard}-0' for shard in rng.sample(range(20), 6)}

    def work_model(record: TargetRecord, now: float, usual_s: float) -> float:
        factor = times if record.identity in slow else 1
        return usual_s * factor * rng.uniform(0.9, 1.1)

    return work_model


class PausesTest(unittest.TestCase):
    """Targets pause for 0.2 s every 4.5 s, each at times of its own."""

    def test_hedges(self) -> None:
        """With hedges queries are whole in time, without them they are not."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        for seed in range(3):
            with self.subTest(seed=seed):
                hedged = Replay(pausing_targets(seed), rule=rule)
                plain = Replay(
                    pausing_targets(seed),
                    rule=rule,
                    bounds=BudgetBounds(ratio=0, allowance=0),
                )
                with_hedges = _whole_share(_replay_requests(hedged, seed))
                self.assertGreaterEqual(with_hedges, WHOLE_SHARE)
                self.assertLess(
                    _whole_share(_replay_requests(plain, seed)), WHOLE_SHARE
                )

    def test_extra_load(self) -> None:
        """Hedges stay below a fifth of the needed attempts."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        replay = Replay(pausing_targets(5), rule=rule)
        _replay_requests(replay, 5)
        self.assertLess(replay.attempts, 1.2 * replay.needed)

    def test_partial_before_objective(self) -> None:
        """Without any hedge nearly all answers still come in time."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        replay = Replay(
            pausing_targets(6),
            rule=rule,
            bounds=BudgetBounds(ratio=0, allowance=0),
        )
        replayed = _replay_requests(replay, 6)
        in_time = sum(1 for one in replayed if one.took_s <= OBJECTIVE_S)
        self.assertGreaterEqual(in_time / len(replayed), WHOLE_SHARE)


class HeavyQueriesTest(unittest.TestCase):
    """The work differs from query to query, not between its shards."""

    def test_heavy_query_is_not_hedged(self) -> None:
        """A query that is heavy everywhere costs no extra attempts."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        replay = Replay(_slow_targets(1, 1), rule=rule)
        for _ in range(20):
            replay.replay_request(0.01)
            replay.now += PAUSE_S
        self.assertEqual(replay.replay_request(0.03).attempts, 20)


class SlowTargetsTest(unittest.TestCase):
    """Six of forty targets take ten times as long."""

    def test_avoided(self) -> None:
        """Slow targets are avoided once they were seen."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        for seed in range(3):
            with self.subTest(seed=seed):
                replay = Replay(_slow_targets(seed, 10), rule=rule)
                replayed = _replay_requests(replay, seed)
                self.assertGreaterEqual(_whole_share(replayed), WHOLE_SHARE)
                self.assertLess(replay.attempts, 1.2 * replay.needed)
