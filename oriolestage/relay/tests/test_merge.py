"""Tests of merging records and dividing requests."""

import random
import unittest
from collections import Counter

from oriolestage.relay._merge import (
    RECORD_BYTES,
    drop_below,
    merge_records,
    top_records_floor,
)
from oriolestage.relay._rules import WeightedService
from oriolestage.relay._weights import WeightedRoundRobin


def _record(number: int) -> bytes:
    return number.to_bytes(RECORD_BYTES, 'big')


class MergeTest(unittest.TestCase):
    """The greatest records of all bodies come first."""

    def test_cases(self) -> None:
        """Order, equal records, remainders and short bodies."""
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
        """Merging merged parts gives the same as merging all at once."""
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
        """Records that do not exceed the floor do not change the answer."""
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

    def test_no_floor(self) -> None:
        """While there are too few records all are of use."""
        self.assertEqual(top_records_floor([_record(9) * 4], 5), b'')
        self.assertEqual(drop_below(_record(1), b''), _record(1))


class WeightedTurnsTest(unittest.TestCase):
    """Shares follow the weights over short spans too."""

    def test_shares(self) -> None:
        """Each span of the weights' sum has exact shares."""
        turns = WeightedRoundRobin()
        choices = (WeightedService('a', 3), WeightedService('b', 1))
        taken = [turns.next_service('r', choices) for _ in range(40)]
        for start in range(0, 40, 4):
            self.assertEqual(
                Counter(taken[start : start + 4]),
                {'a': 3, 'b': 1},
            )

    def test_changed_weights(self) -> None:
        """New choices start new turns."""
        turns = WeightedRoundRobin()
        turns.next_service('r', (WeightedService('a', 1),))
        changed = (WeightedService('b', 1), WeightedService('c', 1))
        taken = {turns.next_service('r', changed) for _ in range(2)}
        self.assertEqual(taken, {'b', 'c'})
