"""Tests of the fair queue of a target."""

import unittest

from oriolestage.core._messages import ShardBatch, ShardEntry
from oriolestage.core.targets._fair_queue import FairQueue, ShardTask


def task(caller: str, attempt: int) -> ShardTask:
    """Build a shard request of a caller."""
    batch = ShardBatch(
        'entry-1',
        f'request-{attempt}',
        caller,
        1,
        'search',
        b'{}',
        0,
        100,
        idempotent=True,
        entries=(),
        revision=1,
    )
    return ShardTask('entry-1', ShardEntry(attempt, 't-1'), batch, 1)


class FairQueueTest(unittest.TestCase):
    """Checks that a caller with many requests does not delay the others."""

    def test_serves_callers_round_robin(self) -> None:
        """Serve the second caller after one request of the first."""
        queue = FairQueue(10)
        for attempt in range(4):
            queue.offer(task('busy', attempt))
        queue.offer(task('quiet', 9))
        order = [one.entry.attempt for one in queue.drain()]
        self.assertEqual(order, [0, 9, 1, 2, 3])

    def test_refuses_tasks_above_limit(self) -> None:
        """Refuse a task when the queue is full."""
        queue = FairQueue(1)
        self.assertTrue(queue.offer(task('one', 1)))
        self.assertFalse(queue.offer(task('two', 2)))

    def test_removes_one_attempt(self) -> None:
        """Remove only the task with the given entry host and attempt."""
        queue = FairQueue(3)
        for attempt in range(3):
            queue.offer(task('one', attempt))
        self.assertIsNone(queue.remove('entry-2', 1))
        removed = queue.remove('entry-1', 1)
        assert removed is not None
        self.assertEqual(removed.entry.attempt, 1)
        self.assertEqual(len(queue), 2)
