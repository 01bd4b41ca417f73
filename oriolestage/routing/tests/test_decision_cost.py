"""Tests that a query's decisions take constant work for each shard.

When the work of each event grows with the number of shards, a query over many
shards keeps its host busy beyond the latency objective.
"""

import functools
import unittest
from collections.abc import Callable, Iterator

from oriolestage.routing._answers import AttemptAnswered, Gathered
from oriolestage.routing._even_shares import EvenShare
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._run_types import Action, BatchAnswered, SendBatch
from oriolestage.routing._warm_up import WarmUpBounds, WarmUpPacer
from oriolestage.routing.tests.builders import (
    make_answer,
    make_group,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.line_counter import count_lines
from oriolestage.routing.tests.runs import (
    attempts_in,
    batches_in,
    make_run,
    result_in,
)

#: Shards of a small query, and of one of a third of the size to design for.
FEW_SHARDS = 20
MANY_SHARDS = 400
#: Lines executed for each shard of the large query, relative to the small one.
LARGEST_RATIO = 2.0
#: Hosts of the size to design for, and decisions on one cold target.
MANY_HOSTS = 620
DECISIONS = 20
ROUTING_PACKAGE = 'oriolestage/routing/_'
#: Time between two answers, in seconds; all arrive before the objective.
STEP_S = 0.0001


def _times() -> Iterator[float]:
    now = 0.01
    while True:
        now += STEP_S
        yield now


def _make_run(shards: int, data_centre: str) -> RequestRun:
    records = tuple(
        make_record(f't-{shard}', f'shard-{shard}', data_centre)
        for shard in range(shards)
    )
    return make_run(make_rule(make_group(shards)), records, 0)


def _answer_directly(shards: int) -> None:
    """Answer each shard on its own, as targets of this region do."""
    run = _make_run(shards, 'dc-a')
    actions = run.start(0)
    ended: list[Action] = []
    times = _times()
    for sent in attempts_in(actions):
        assert run.wake_at > 0
        answered = AttemptAnswered(make_answer())
        ended = run.on_outcome(sent.attempt, answered, next(times))
    assert isinstance(result_in(ended), Gathered)


def _reply_for(batch: SendBatch, position: int) -> BatchAnswered:
    service = batch.parts[position].service
    return BatchAnswered(
        signatures={service: f's-{position}'},
        body=b'',
        bodies={service: b'r' * 16},
        failed=frozenset(),
        final=position == len(batch.parts) - 1,
        work_s=0.01,
    )


def _answer_by_late_replies(shards: int) -> None:
    """Answer each shard by a reply of its own to one batch."""
    run = _make_run(shards, 'dc-b')
    actions = run.start(0)
    ended: list[Action] = []
    times = _times()
    for batch in batches_in(actions):
        for position, _ in enumerate(batch.parts):
            assert run.wake_at > 0
            reply = _reply_for(batch, position)
            ended = run.on_batch_outcome(batch.batch, reply, next(times))
    assert isinstance(result_in(ended), Gathered)


def _lines_per_shard(answer_all: Callable[[int], None], shards: int) -> float:
    lines = count_lines(ROUTING_PACKAGE, functools.partial(answer_all, shards))
    return lines / shards


class DecisionCostTest(unittest.TestCase):
    """The work of an event does not grow with the shards of its query."""

    def test_direct_answers(self) -> None:
        """Guards against scanning all shards at each answer of a target."""
        self._check(_answer_directly)

    def test_late_replies(self) -> None:
        """Guards against scanning a batch at each reply with a late shard."""
        self._check(_answer_by_late_replies)

    def _check(self, answer_all: Callable[[int], None]) -> None:
        self.assertLess(
            _lines_per_shard(answer_all, MANY_SHARDS),
            LARGEST_RATIO * _lines_per_shard(answer_all, FEW_SHARDS),
        )


class ColdTargetCostTest(unittest.TestCase):
    """The choice of a cold target does not depend on the number of hosts."""

    def test_hosts_are_ranked_once(self) -> None:
        """Guards against ranking all hosts for each attempt at a target."""
        hosts = tuple(f'host-{number}' for number in range(MANY_HOSTS))
        pacer = WarmUpPacer(WarmUpBounds(), EvenShare('t-1', 'host-0'))

        def decide() -> None:
            for number in range(DECISIONS):
                pacer.allows(20, hosts, number * STEP_S)

        lines = count_lines('_rendezvous', decide)
        self.assertLess(lines, DECISIONS * MANY_HOSTS / 2)
