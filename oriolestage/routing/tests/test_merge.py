"""Tests of record merging and of weighted round robin."""

import random
import unittest
from collections import Counter

from oriolestage.routing._merge import (
    RECORD_BYTES,
    GatheredRecords,
    drop_below,
    merge_records,
    top_records_floor,
)
from oriolestage.routing._rules import WeightedService
from oriolestage.routing._weights import WeightedRoundRobin


def _record(number: int) -> bytes:
    return number.to_bytes(RECORD_BYTES, 'big')


class MergeTest(unittest.TestCase):
    """A merged body holds the greatest records in descending order."""

    def test_cases(self) -> None:
        """Cover order, duplicates, incomplete records and short bodies."""
        cases: tuple[tuple[list[bytes], list[int]], ...] = (
            ([_record(1), _record(3) + _record(2)], [3, 2]),
            ([_record(2) + _record(2), _record(2)], [2, 2]),
            ([_record(1) + b'rest'], [1]),
            ([b'', b'short'], []),
        )
        for bodies, expected in cases:
            with self.subTest(bodies=bodies):
                merged = merge_records(bodies, 2)
                self.assertEqual(merged, b''.join(map(_record, expected)))

    def test_merged_twice(self) -> None:
        """Merging in two steps gives the same as merging all at once."""
        rng = random.Random(3)
        bodies = [
            b''.join(_record(rng.randrange(99)) for _ in range(7))
            for _ in range(6)
        ]
        first = merge_records(bodies[:4], 5)
        self.assertEqual(
            merge_records([first, *bodies[4:]], 5),
            merge_records(bodies, 5),
        )

    def test_floor(self) -> None:
        """Dropping records not above the floor does not change the answer."""
        rng = random.Random(5)
        for _ in range(50):
            bodies = [
                b''.join(_record(rng.randrange(60)) for _ in range(9))
                for _ in range(4)
            ]
            floor = top_records_floor(bodies[:2], 5)
            late = [
                drop_below(merge_records([body], 5), floor)
                for body in bodies[2:]
            ]
            self.assertEqual(
                merge_records([*bodies[:2], *late], 5),
                merge_records(bodies, 5),
            )

    def test_merged_on_arrival(self) -> None:
        """Merging each body as it arrives gives the same, with its floor.

        Guards against doing all the work when the answer is due.
        """
        rng = random.Random(7)
        for _ in range(50):
            bodies = [
                b''.join(_record(rng.randrange(30)) for _ in range(3))
                for _ in range(6)
            ]
            records = GatheredRecords(5)
            for body in bodies:
                records.add(body)
            self.assertEqual(records.merged, merge_records(bodies, 5))
            self.assertEqual(records.floor, top_records_floor(bodies, 5))

    def test_no_floor(self) -> None:
        """Nothing is dropped while there are too few records for a floor."""
        self.assertEqual(top_records_floor([_record(9) * 4], 5), b'')
        self.assertEqual(drop_below(_record(1), b''), _record(1))


class WeightedRoundRobinTest(unittest.TestCase):
    """Services are chosen in proportion to their weights."""

    def test_shares(self) -> None:
        """As many turns as the sum of the weights have exact shares."""
        turns = WeightedRoundRobin()
        choices = (WeightedService('a', 3), WeightedService('b', 1))
        taken = [turns.next_service('r', choices) for _ in range(40)]
        for start in range(0, 40, 4):
            self.assertEqual(
                Counter(taken[start : start + 4]),
                {'a': 3, 'b': 1},
            )

    def test_changed_weights(self) -> None:
        """Changed choices start again without credits."""
        turns = WeightedRoundRobin()
        turns.next_service('r', (WeightedService('a', 1),))
        changed = (WeightedService('b', 1), WeightedService('c', 1))
        taken = {turns.next_service('r', changed) for _ in range(2)}
        self.assertEqual(taken, {'b', 'c'})
