"""Replays of load patterns that the request run has to handle.

The thresholds are the service objectives: answers within the latency
objective, with the coverage that the route requires, within the shared retry
budget. A replay with an empty budget shows the effect of hedging.
"""

import random
import unittest

from oriolestage.routing._answers import Gathered
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing.tests.builders import (
    make_group,
    make_rule,
)
from oriolestage.routing.tests.replay import (
    Replay,
    ReplayedRequest,
    WorkModel,
    pausing_targets,
)

#: Number of requests in one replay.
REQUESTS = 300
#: Time from the end of one request to the start of the next, in seconds.
PAUSE_S = 0.08
#: Minimum share of queries answered by all shards within the objective.
WHOLE_SHARE = 0.9
#: Latency objective, in seconds.
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
        request
        for request in replayed
        if isinstance(request.result, Gathered)
        and not request.result.missing
        and request.took_s <= OBJECTIVE_S
    ]
    return len(whole) / len(replayed)


def _slow_targets(seed: int, slowdown: float) -> WorkModel:
    rng = random.Random(seed)
    slow = {f't-{shard}-0' for shard in rng.sample(range(20), 6)}

    def work_model(record: TargetRecord, now: float, usual_s: float) -> float:
        factor = slowdown if record.identity in slow else 1
        return usual_s * factor * rng.uniform(0.9, 1.1)

    return work_model


class PausesTest(unittest.TestCase):
    """Each target pauses for 0.2 s every 4.5 s, with a random phase."""

    def test_hedges(self) -> None:
        """Queries meet the objective with all shards only with hedging."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        for seed in range(3):
            with self.subTest(seed=seed):
                hedged = Replay(pausing_targets(seed), rule=rule)
                unhedged = Replay(
                    pausing_targets(seed),
                    rule=rule,
                    bounds=BudgetBounds(ratio=0, allowance=0),
                )
                with_hedges = _whole_share(_replay_requests(hedged, seed))
                self.assertGreaterEqual(with_hedges, WHOLE_SHARE)
                self.assertLess(
                    _whole_share(_replay_requests(unhedged, seed)), WHOLE_SHARE
                )

    def test_extra_load(self) -> None:
        """Hedges add less than 20 % to the needed attempts."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        replay = Replay(pausing_targets(5), rule=rule)
        _replay_requests(replay, 5)
        self.assertLess(replay.attempts, 1.2 * replay.needed)

    def test_partial_before_objective(self) -> None:
        """Without hedging, 90 % of answers or more are in time, some partial.

        Waiting for the paused shard would delay the whole answer.
        """
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        replay = Replay(
            pausing_targets(6),
            rule=rule,
            bounds=BudgetBounds(ratio=0, allowance=0),
        )
        replayed = _replay_requests(replay, 6)
        in_time = sum(
            1 for request in replayed if request.took_s <= OBJECTIVE_S
        )
        self.assertGreaterEqual(in_time / len(replayed), WHOLE_SHARE)


class HeavyQueriesTest(unittest.TestCase):
    """Work differs between queries, but not between shards of a query."""

    def test_heavy_query_is_not_hedged(self) -> None:
        """A query that takes long at every target is not hedged."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        replay = Replay(_slow_targets(1, 1), rule=rule)
        for _ in range(20):
            replay.replay_request(0.01)
            replay.now += PAUSE_S
        self.assertEqual(replay.replay_request(0.03).attempts, 20)


class SlowTargetsTest(unittest.TestCase):
    """Six of forty targets take ten times as long."""

    def test_avoided(self) -> None:
        """Slow targets get little traffic once their slowness is known."""
        rule = make_rule(make_group(), objective_s=OBJECTIVE_S)
        for seed in range(3):
            with self.subTest(seed=seed):
                replay = Replay(_slow_targets(seed, 10), rule=rule)
                replayed = _replay_requests(replay, seed)
                self.assertGreaterEqual(_whole_share(replayed), WHOLE_SHARE)
                self.assertLess(replay.attempts, 1.2 * replay.needed)
