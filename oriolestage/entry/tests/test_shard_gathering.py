"""Tests of waiting for the shards of a batch."""

import asyncio
import functools
import unittest

from oriolestage.entry._shard_gathering import (
    ShardResult,
    ShardTasks,
    collect_in_time,
)
from oriolestage.routing._stragglers import StragglerDetector
from oriolestage.routing.tests.line_counter import count_lines

#: Shards of a small batch, and of one of a third of the size to design for.
FEW_SHARDS = 20
MANY_SHARDS = 400
#: Lines executed for each shard of the large batch, relative to the small one.
LARGEST_RATIO = 2.0
LATE_S = 0.05


async def _end_with(gate: asyncio.Event, service: str) -> ShardResult:
    await gate.wait()
    return ShardResult(service, None)


async def _wait_for_each(shards: int) -> None:
    """Wait for shards that end one after another."""
    gates = [asyncio.Event() for _ in range(shards)]
    tasks = ShardTasks(
        _end_with(gate, f'shard-{shard}') for shard, gate in enumerate(gates)
    )
    for shard, gate in enumerate(gates):
        gate.set()
        ended = await tasks.next_results()
        assert [one.service for one in ended] == [f'shard-{shard}']
    assert not tasks.pending


class ShardTasksTest(unittest.IsolatedAsyncioTestCase):
    """Results are returned once, in the order in which the tasks end."""

    async def test_order(self) -> None:
        """Each result is returned as soon as its task ends."""
        await _wait_for_each(3)

    async def test_late_shard(self) -> None:
        """A shard that does not end in time stays pending."""
        ended, silent = asyncio.Event(), asyncio.Event()
        ended.set()
        tasks = ShardTasks(
            (
                _end_with(ended, 'ended'),
                _end_with(silent, 'silent'),
            )
        )
        shards = await collect_in_time(
            tasks,
            StragglerDetector(2, LATE_S),
            asyncio.get_running_loop().time(),
            LATE_S,
        )
        self.assertEqual([shard.service for shard in shards], ['ended'])
        self.assertEqual(tasks.pending, 1)
        tasks.cancel()


class GatheringCostTest(unittest.TestCase):
    """Waiting for a shard takes the same work however many are pending."""

    def test_lines_per_shard(self) -> None:
        """Guards against looking at all pending tasks for each that ends."""
        few, many = (
            count_lines(
                'asyncio/tasks.py',
                functools.partial(asyncio.run, _wait_for_each(shards)),
            )
            / shards
            for shards in (FEW_SHARDS, MANY_SHARDS)
        )
        self.assertLess(many, LARGEST_RATIO * few)
