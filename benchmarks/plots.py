"""Plots of measurements; needs matplotlib from the development extra."""

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

#: Size of a figure, in inches.
FIGURE_SIZE = (8, 4.5)


def plot_move(series: Mapping[str, Sequence[float]], path: Path) -> None:
    """Write a plot of the share of requests answered whole, by second."""
    figure, axes = plt.subplots(figsize=FIGURE_SIZE)
    for name, shares in series.items():
        axes.plot(range(len(shares)), shares, label=name)
    axes.set_xlabel('seconds; out at 5, back with cold targets at 15')
    axes.set_ylabel('share of requests served whole')
    axes.legend(fontsize='small')
    _save(figure, path)


def plot_latencies(
    latencies: Mapping[str, Sequence[float]], path: Path
) -> None:
    """Write a plot of the cumulative distribution of query latencies.

    The latencies must be sorted, in milliseconds.
    """
    figure, axes = plt.subplots(figsize=FIGURE_SIZE)
    for name, ordered in latencies.items():
        shares = [rank / len(ordered) for rank in range(len(ordered))]
        axes.plot(ordered, shares, label=name)
    axes.set_xscale('log')
    axes.set_xlabel('latency of a query in ms')
    axes.set_ylabel('share of queries at most that slow')
    axes.legend(fontsize='small')
    _save(figure, path)


def _save(figure, path: Path) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)
