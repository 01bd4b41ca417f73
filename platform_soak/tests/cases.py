"""Cases of the checks: what happens, and which rules it breaks."""

import dataclasses
from collections.abc import Callable
from unittest import TestCase

from platform_soak.checks import check_all
from platform_soak.tests.histories import HistoryBuilder


@dataclasses.dataclass(frozen=True)
class Case:
    """A history, and the rules that it breaks, each once for a breach."""

    fill: Callable[[HistoryBuilder], None]
    breaks: tuple[str, ...] = ()


def assert_verdicts(test: TestCase, cases: tuple[Case, ...]) -> None:
    """Fail unless all checks together find the breaches of each case."""
    for case in cases:
        builder = HistoryBuilder()
        case.fill(builder)
        breaches = check_all(builder.build())
        with test.subTest(case.fill.__name__):
            found = sorted(breach.rule for breach in breaches)
            test.assertEqual(found, sorted(case.breaks), breaches)
