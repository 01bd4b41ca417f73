"""Tests of the computation of coverage from key ranges."""

import unittest

from oriolestage.core import KeyRange, coverage_of, keep_disjoint
from oriolestage.core.tests.builders import answered

WANTED = KeyRange(0, 100)


class CoverageTest(unittest.TestCase):
    """Covered and missing ranges are computed correctly."""

    def test_ranges(self) -> None:
        """Ranges are merged and every gap is found."""
        cases: tuple[tuple[str, list, list, list], ...] = (
            ('whole', [(0, 50), (50, 100)], [(0, 100)], []),
            ('hole', [(0, 40), (60, 100)], [(0, 40), (60, 100)], [(40, 60)]),
            ('tail', [(0, 90)], [(0, 90)], [(90, 100)]),
            ('head', [(10, 100)], [(10, 100)], [(0, 10)]),
            ('nothing', [], [], [(0, 100)]),
            ('out of order', [(50, 100), (0, 50)], [(0, 100)], []),
        )
        for name, read, covered, missing in cases:
            with self.subTest(name):
                coverage = coverage_of(
                    [KeyRange(*span) for span in read], WANTED
                )
                spans = [(span.start, span.end) for span in coverage.covered]
                gaps = [(span.start, span.end) for span in coverage.missing]
                self.assertEqual(spans, covered)
                self.assertEqual(gaps, missing)
                self.assertEqual(coverage.whole, not missing)

    def test_overlap_keeps_newer_answer(self) -> None:
        """Of overlapping answers, that of the newer partition map is kept."""
        older = answered(0, 60)
        newer = answered(40, 100, partition_revision=2)
        self.assertEqual(keep_disjoint([older, newer]), [newer])

    def test_empty_range_is_dropped(self) -> None:
        """An answer with an empty range is dropped."""
        self.assertEqual(keep_disjoint([answered(5, 5)]), [])
