"""Compares ways to share targets between hosts, under the same load and seed.

``owner`` is the way of the product: one owner host sends all requests to a
target. With ``static``, the baseline, each host sends on its own, up to an
equal share of the target's slots but at least one, and never hedges. With
``adaptive`` each host sends on its own with a concurrency limit that ramps up
and falls on refusals.
"""

import json
import sys
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated
from unittest import mock

import cyclopts

from oriolestage.core import Parameters
from oriolestage.core.targets._ownership import OwnershipView
from oriolestage.core.targets._target_limiter import TargetLimiter
from scenarios.core_engine import CoreEngine
from scenarios.language import parse_scenario
from scenarios.observations import Observations
from scenarios.switches import switch_off

#: Scenario of a data centre move: it is taken out at 5 s and brought back at
#: 15 s with cold targets.
MOVE_SCENARIO = """
users {user}
hosts 6
services {services}
load {rate} per second
at 5s operate "take out datacentre {centre}"
{restarts}
at 15s operate "bring back datacentre {centre}"
end at 22s
"""
#: The users of the scenario, each with the data centre that moves.
MOVES = (('association', 'ege-a'), ('franchise', 'namur-a'))
#: The ways that are compared, as printed.
WAYS = ('owner', 'static', 'adaptive')
#: Number of hosts, among which ``static`` divides the slots.
HOST_COUNT = 6

app = cyclopts.App(name='compare_ways', help=__doc__)


@app.default
def main(
    *,
    seed: Annotated[int, cyclopts.Parameter(help='Seed of the run.')] = 1,
    rate: Annotated[int, cyclopts.Parameter(help='Requests per second.')] = 300,
    services: Annotated[
        int, cyclopts.Parameter(help='Services in the query group.')
    ] = 20,
    plots: Annotated[
        Path | None,
        cyclopts.Parameter(help='Folder to write plots to.'),
    ] = None,
) -> None:
    """Print a table, and the shares by second as JSON; write plots if asked."""
    _print('| user | way | p50 ms | p99 ms | p99.9 ms | whole | coverage | ')
    _print('|---|---|---|---|---|---|---|---|---|---|')
    series: dict[str, list[float]] = {}
    latencies: dict[str, list[float]] = {}
    for user, data_centre in MOVES:
        for way in WAYS:
            observations = run_move(
                way, user, data_centre, seed, rate, services
            )
            _print(_row(user, way, observations, services))
            series[f'{user} {way}'] = whole_share_by_second(observations)
            latencies[f'{user} {way}'] = _sorted_latencies_ms(observations)
    _print(json.dumps(series))
    if plots is not None:
        from benchmarks import plots as plotting  # noqa: PLC0415, WPS433

        plotting.plot_move(series, plots / 'data-centre-move.png')
        plotting.plot_latencies(latencies, plots / 'latency.png')


def run_move(
    way: str,
    user: str,
    data_centre: str,
    seed: int,
    rate: int,
    services: int,
) -> Observations:
    """Run the data centre move with one way of sharing targets."""
    scenario_text = MOVE_SCENARIO.format(
        user=user,
        centre=data_centre,
        rate=rate,
        services=services,
        restarts='at 15s target all turns cold',
    )
    scenario = parse_scenario(scenario_text)
    with ExitStack() as patches:
        parameters = Parameters()
        if way != 'owner':
            _let_every_host_own(patches)
        if way == 'static':
            parameters = switch_off('hedging', parameters, patches)
            host_limit = property(
                lambda limiter: max(1, limiter.target.slots // HOST_COUNT)
            )
            patches.enter_context(
                mock.patch.object(TargetLimiter, 'limit', host_limit)
            )
        return CoreEngine(scenario, parameters, seed).run()


def whole_share_by_second(observations: Observations) -> list[float]:
    """Return the share of requests answered whole, by second of sending."""
    sent: Counter[int] = Counter()
    whole: Counter[int] = Counter()
    for answer in observations.answers:
        second = int(answer.sent_at)
        sent[second] += 1
        whole[second] += answer.result.outcome in {
            'whole',
            'command_answer',
        }
    return [round(whole[second] / sent[second], 4) for second in sorted(sent)]


def _let_every_host_own(patches: ExitStack) -> None:
    # Each host regards itself as the owner of every target.
    def owner_of(view: OwnershipView, target: object) -> str:
        return view._membership.identity.name  # noqa: SLF001

    patches.enter_context(
        mock.patch.object(OwnershipView, 'owner_of', owner_of),
    )
    patches.enter_context(
        mock.patch.object(
            OwnershipView,
            'owner_without_this_host',
            lambda view, target: '',
        ),
    )


def _sorted_latencies_ms(observations: Observations) -> list[float]:
    return sorted(
        1000 * answer.result.latency_s
        for answer in observations.answers
        if not answer.booking
    )


def _row(user: str, way: str, observations: Observations, services: int) -> str:
    latencies = _sorted_latencies_ms(observations)
    queries = [answer for answer in observations.answers if not answer.booking]
    whole = sum(answer.result.outcome == 'whole' for answer in queries)
    coverage = sum(answer.result.covered_share for answer in queries)
    commands = sum(
        answer.result.outcome == 'command_answer'
        for answer in observations.answers
    )
    needed_runs = services * len(queries) + commands
    extra_share = len(observations.runs) / needed_runs - 1
    cells = (
        user,
        way,
        *(
            f'{_percentile(latencies, per_mille):.0f}'
            for per_mille in (500, 990, 999)
        ),
        f'{whole / len(queries):.2%}',
        f'{coverage / len(queries):.2%}',
        f'extra {extra_share:+.1%}',
        f'cold overloads {len(observations.cold_overloads)}, most '
        f'{max((entry.in_flight for entry in observations.cold_overloads), default=1)}',
        f'slot overloads {len(observations.slot_overloads)}',
    )
    return f'| {" | ".join(cells)} |'


def _percentile(ordered: list[float], per_mille: int) -> float:
    return ordered[min(len(ordered) - 1, len(ordered) * per_mille // 1000)]


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    app()
