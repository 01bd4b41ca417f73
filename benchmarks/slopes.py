"""Measures how the cost of each role grows, and fits straight lines.

Every slope is measured at three sizes or more and repeated; the table gives
the median of the repeats, their spread, and the fit.
"""

import statistics
import sys
from collections.abc import Callable, Sequence
from typing import Annotated

import cyclopts

from benchmarks import control_cost, data_cost, state_cost

#: Repeats of each point.
REPEATS = 5

app = cyclopts.App(name='slopes', help=__doc__)

Measure = Callable[[int], float]


@app.default
def main(
    *,
    quick: Annotated[
        bool,
        cyclopts.Parameter(help='Leave the largest sizes out.'),
    ] = False,
    data_only: Annotated[
        bool,
        cyclopts.Parameter(help='Leave the control cost out.'),
    ] = False,
) -> None:
    """Print the table of slopes."""
    _print('| quantity | points | fit | spread |')
    _print('|---|---|---|---|')
    fleets = (6, 24, 96) if quick else (6, 24, 96, 240)
    for name, measure in () if data_only else control_cost.MEASURES:
        _report(name, fleets, measure, repeats=1)
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
        figures = [measure(size) for _ in range(repeats)]
        middle = statistics.median(figures)
        points.append(middle)
        if middle:
            spread = max(spread, (max(figures) - min(figures)) / middle)
    slope, base = _fit(sizes, points)
    shown = ', '.join(
        f'{size}: {point:.4g}'
        for size, point in zip(sizes, points, strict=True)
    )
    _print(
        f'| {name} | {shown} | {base:.4g} + {slope:.4g} x n | {spread:.0%} |',
    )


def _fit(sizes: Sequence[int], points: Sequence[float]) -> tuple[float, float]:
    line = statistics.linear_regression(sizes, points)
    return line.slope, line.intercept


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    app()
