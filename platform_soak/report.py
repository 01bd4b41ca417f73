"""Draws a run: what became of requests at each host, and what disturbed it."""

import dataclasses
import types
from collections import Counter
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from platform_soak.plan import Fault  # noqa: E402
from platform_soak.run_files import RunFiles, read_run  # noqa: E402
from platform_soak.runner import over_s  # noqa: E402

REPORT_NAME = 'report.png'
#: Outcomes from the bottom up, with their colours.
OUTCOMES: Mapping[str, str] = types.MappingProxyType(
    {
        'answered': '#7fbf7b',
        'refused': '#fdc86f',
        'not found': '#dadaeb',
        'other status': '#8c6bb1',
        'left by its caller': '#bdbdbd',
        'deadline': '#8c510a',
        'cut': '#d7301f',
    }
)
BREACH_COLOUR = '#d7301f'
VERSION_COLOUR = '#2166ac'
EVACUATION_COLOUR = '#9ecae1'
#: What is taken from the hosts' own logs, with its marks.
LOGGED: Mapping[str, str] = types.MappingProxyType(
    {'started': '^', 'configuration_in_force': 'd', 'stopping': 'v'}
)
#: Size in inches: width, and heights of a host and of a fault.
WIDTH = 16
HOST_HEIGHT = 1.2
FAULT_HEIGHT = 0.22
LEAST_HEIGHT = 1.2
#: Least width of a bar, in seconds.
LEAST_BAR_S = 0.15
#: Length of the names that a bar of a fault may have, in characters.
NAME_LENGTH = 60
DPI = 110
#: Heights of marks, and of the axes, in heights of the greatest bar.
BREACH_HEIGHT = 1.1
LOG_HEIGHT = 1.2
HEADROOM = 1.35


def write_report(folder: Path) -> Path:
    """Write the picture of the run in a folder and return its path."""
    run = read_run(folder)
    figure = draw(run)
    path = folder / REPORT_NAME
    figure.savefig(path, dpi=DPI)
    plt.close(figure)
    return path


def draw(run: RunFiles) -> Figure:
    """Return the picture of a run."""
    faults = max(LEAST_HEIGHT, FAULT_HEIGHT * len(run.plan.faults))
    heights = [faults, *(HOST_HEIGHT for _ in run.hosts)]
    figure, grid = plt.subplots(
        len(heights),
        sharex=True,
        squeeze=False,
        figsize=(WIDTH, sum(heights) + LEAST_HEIGHT),
        height_ratios=heights,
        layout='constrained',
    )
    axes = [row[0] for row in grid]
    _draw_faults(axes[0], run.plan.faults)
    for name, host_axes in zip(run.hosts, axes[1:], strict=True):
        _draw_host(host_axes, run, name)
    for each in axes:
        _draw_lines(each, run)
    _label_lines(axes[0], run)
    axes[0].set_xlim(0, run.plan.length_s)
    axes[-1].set_xlabel('time since the start of traffic, in s')
    breaches = len(run.of('breach'))
    figure.suptitle(
        f'seed {run.plan.seed}: {len(run.plan.faults)} faults, '
        f'{breaches} breaches'
    )
    handles, labels = axes[-1].get_legend_handles_labels()
    figure.legend(handles, labels, loc='outside lower center', ncols=5)
    return figure


def outcome_of(event: Mapping) -> str:
    """Return the outcome of a request from the event of its end."""
    if event['kind'] == 'unanswered':
        problem = event['problem']
        by_problem = {'left': 'left by its caller', 'deadline': 'deadline'}
        return by_problem.get(problem, 'cut')
    by_status = {
        HTTPStatus.OK: 'answered',
        HTTPStatus.SERVICE_UNAVAILABLE: 'refused',
        HTTPStatus.NOT_FOUND: 'not found',
    }
    return by_status.get(event['status'], 'other status')


def _draw_faults(axes: Axes, faults: Sequence[Fault]) -> None:
    for row, fault in enumerate(faults):
        down_s = getattr(fault, 'down_s', 0)
        width = max(LEAST_BAR_S, down_s, over_s(fault) - fault.at_s)
        axes.barh(-row, width, left=fault.at_s, height=0.8, color='#969696')
        axes.text(
            fault.at_s + width,
            -row,
            f' {name_of(fault)}',
            va='center',
            fontsize=7,
            clip_on=True,
        )
    axes.set_yticks([])
    axes.set_ylabel('faults')


def name_of(fault: Fault) -> str:
    """Return the name of a fault with what it is about."""
    fields = [
        f'{field}={getattr(fault, field)}'
        for field in fault.__struct_fields__
        if field not in {'at_s', 'for_s', 'down_s'}
    ]
    return f'{type(fault).__name__} {" ".join(fields)}'[:NAME_LENGTH]


def _draw_host(axes: Axes, run: RunFiles, name: str) -> None:
    counts: dict[str, Counter[int]] = {
        outcome: Counter() for outcome in OUTCOMES
    }
    for event in run.events:
        if event['kind'] not in {'answered', 'unanswered'}:
            continue
        if event['host'] == name:
            counts[outcome_of(event)][int(event['at'])] += 1
    seconds = range(int(run.plan.length_s) + 1)
    below = [0 for _ in seconds]
    for outcome, by_second in counts.items():
        heights = [by_second[second] for second in seconds]
        axes.bar(
            seconds,
            heights,
            bottom=below,
            width=1,
            align='edge',
            color=OUTCOMES[outcome],
            label=outcome,
        )
        below = [sum(pair) for pair in zip(below, heights, strict=True)]
    top = max([*below, 1])
    axes.set_ylim(0, top * HEADROOM)
    axes.set_ylabel(f'{name}\nrequests/s', fontsize=7)
    for logged, mark in LOGGED.items():
        times = [
            line.at_s for line in run.logs.get(name, ()) if line.event == logged
        ]
        axes.plot(
            times,
            [top * LOG_HEIGHT for _ in times],
            mark,
            color='black',
            markersize=4,
            linestyle='none',
            label=f'log: {logged}',
        )
    at_host = [
        event['breached_at']
        for event in run.of('breach')
        if name in event['text']
    ]
    axes.plot(
        at_host,
        [top * BREACH_HEIGHT for _ in at_host],
        'x',
        color=BREACH_COLOUR,
        markersize=8,
        linestyle='none',
        label='breach',
    )


def _draw_lines(axes: Axes, run: RunFiles) -> None:
    for event in run.of('version'):
        axes.axvline(event['at'], color=VERSION_COLOUR, linewidth=0.8)
    for event in run.of('evacuated'):
        until_s = event['at'] + event['for_s']
        axes.axvspan(
            event['at'], until_s, color=EVACUATION_COLOUR, alpha=0.4, zorder=0
        )
    times = {event['breached_at'] for event in run.of('breach')}
    for at_s in sorted(times):
        axes.axvline(at_s, color=BREACH_COLOUR, linewidth=0.8, linestyle=':')


@dataclasses.dataclass(frozen=True, slots=True)
class _Label:
    at_s: float
    text: str
    colour: str


def _label_lines(axes: Axes, run: RunFiles) -> None:
    """Write above the picture what its lines are."""
    labels = [
        _Label(event['at'], f'v{event["number"]}', VERSION_COLOUR)
        for event in run.of('version')
    ]
    labels.extend(
        _Label(event['at'], f'evacuated {event["zone"]}', 'black')
        for event in run.of('evacuated')
    )
    first_by_rule = {
        event['rule']: event['breached_at']
        for event in reversed(run.of('breach'))
    }
    labels.extend(
        _Label(at_s, rule, BREACH_COLOUR)
        for rule, at_s in first_by_rule.items()
    )
    for label in labels:
        axes.annotate(
            label.text,
            (label.at_s, 1),
            xycoords=('data', 'axes fraction'),
            xytext=(0, 2),
            textcoords='offset points',
            rotation=40,
            fontsize=7,
            color=label.colour,
            annotation_clip=False,
        )
