"""Measures how costs grow with size and fits a straight line to each.

Each quantity is measured at three sizes or more. The table shows the median of
the repeats at each size, the fitted line and the largest spread of the repeats
in relation to their median.
"""

import statistics
import sys
from collections.abc import Callable, Sequence
from typing import Annotated

import cyclopts

from benchmarks import control_cost, data_cost, state_cost

#: Repeats of each measurement, except those of the control cost.
REPEATS = 5

app = cyclopts.App(name='slopes', help=__doc__)

Measure = Callable[[int], float]


@app.default
def main(
    *,
    quick: Annotated[
        bool,
        cyclopts.Parameter(help='Leave out the largest fleet.'),
    ] = False,
    data_only: Annotated[
        bool,
        cyclopts.Parameter(help='Leave out the control cost.'),
    ] = False,
) -> None:
    """Print a Markdown table of points, fits and spreads."""
    _print('| quantity | points | fit | spread |')
    _print('|---|---|---|---|')
    fleet_sizes = (6, 24, 96) if quick else (6, 24, 96, 240)
    for name, measure in () if data_only else control_cost.MEASURES:
        _report(name, fleet_sizes, measure, repeats=1)
    for name, sizes, measure in (*data_cost.MEASURES, *state_cost.MEASURES):
        _report(name, sizes, measure, repeats=REPEATS)


def _report(
    name: str,
    sizes: Sequence[int],
    measure: Measure,
    repeats: int,
) -> None:
    points: list[float] = []
    spread: float = 0
    for size in sizes:
        samples = [measure(size) for _ in range(repeats)]
        median = statistics.median(samples)
        points.append(median)
        if median:
            spread = max(spread, (max(samples) - min(samples)) / median)
    slope, intercept = _fit(sizes, points)
    points_text = ', '.join(
        f'{size}: {point:.4g}'
        for size, point in zip(sizes, points, strict=True)
    )
    _print(
        f'| {name} | {points_text} | {intercept:.4g} + {slope:.4g} x n | {spread:.0%} |',
    )


def _fit(sizes: Sequence[int], points: Sequence[float]) -> tuple[float, float]:
    line = statistics.linear_regression(sizes, points)
    return line.slope, line.intercept


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    app()
