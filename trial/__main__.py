"""Runs the query tier with its stand-ins under a load and prints a summary."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import uvloop

from oriolestage._event_loop import disable_io_uring
from trial.http_calls import get_json
from trial.layout import association, franchise, make_layout
from trial.load import LoadGenerator, LoadResults
from trial.processes import Trial, running_trial

#: Percentiles printed in the summary.
PERCENTILES = (50.0, 99.0, 99.9)

app = cyclopts.App(
    name='trial', help='Run the query tier under a load on this machine.'
)


@app.default
def main(
    *,
    seconds: Annotated[
        float,
        cyclopts.Parameter(help='Duration of the load in seconds.'),
    ] = 15.0,
    rate: Annotated[
        float,
        cyclopts.Parameter(help='Requests per second.'),
    ] = 60.0,
    services: Annotated[
        int,
        cyclopts.Parameter(help='Services in each query group.'),
    ] = 4,
    seed: Annotated[
        int,
        cyclopts.Parameter(help='Seed of the load.'),
    ] = 1,
    keep_logs: Annotated[
        Path | None,
        cyclopts.Parameter(help='Folder in which settings and logs are kept.'),
    ] = None,
) -> int:
    """Run six daemons and the stand-ins under a load; print a summary.

    Return exit code 0, 1 if an answer was wrong or a request failed, or 130
    if a signal stopped the trial before the load.
    """
    disable_io_uring()
    return uvloop.run(_run(seconds, rate, services, seed, keep_logs))


async def _run(
    seconds: float,
    rate: float,
    services: int,
    seed: int,
    keep_logs: Path | None,
) -> int:
    layout = make_layout(
        [association(services), franchise(services)],
        host_count=6,
    )
    _print(
        f'starting {len(layout.hosts)} daemons and '
        f'{len(layout.targets)} targets',
    )
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        async with running_trial(layout, keep_logs) as trial:
            load = LoadGenerator(layout, trial.callers_url, rate, seed)
            for signal_number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(signal_number)
                loop.add_signal_handler(signal_number, load.stop)
            _print(f'load of {rate:g} requests/s for {seconds:g} s')
            results = await load.run(seconds)
            await _print_summary(trial, results)
    except asyncio.CancelledError:
        _print('stopped before the load')
        return 130
    failure_count = results.outcomes()['wrong'] + results.outcomes()['failed']
    return 1 if failure_count else 0


async def _print_summary(trial: Trial, results: LoadResults) -> None:
    _print(f'answers: {len(results.answers)}')
    for outcome, count in sorted(results.outcomes().items()):
        _print(f'  {outcome}: {count}')
    _print(f'coverage of queries: {results.coverage():.4%}')
    for route in trial.layout.configuration.routes:
        histogram = results.histogram(route.name)
        percentile_texts = ' '.join(
            f'p{percentile:g}='
            f'{histogram.get_value_at_percentile(percentile) / 1000:.1f}ms'
            for percentile in PERCENTILES
        )
        _print(f'latency {route.name}: {percentile_texts}')
    needed, sent = await _count_shard_requests(trial, results)
    extra = sent / needed - 1 if needed else 0
    _print(f'shard requests: needed {needed}, sent {sent}, extra {extra:.2%}')
    for refusal, count in results.refusals().most_common():
        _print(f'  {refusal}: {count}')


async def _count_shard_requests(
    trial: Trial,
    results: LoadResults,
) -> tuple[int, int]:
    """Return the shard requests that the answers needed and the targets ran."""
    service_counts: dict[str, int] = {}
    for service in trial.layout.configuration.services:
        service_counts[service.group] = service_counts.get(service.group, 0) + 1
    groups = {
        route.name: route.group for route in trial.layout.configuration.routes
    }
    needed = 0
    for answer in results.answers:
        if answer.outcome == 'command_answer':
            needed += 1
        elif answer.outcome in {'whole', 'partial'}:
            needed += service_counts[groups[answer.route]]
    sent = 0
    for placed in trial.layout.targets:
        address = placed.target.address
        report = await get_json(f'http://{address}/report')
        sent += report['ran']
    return needed, sent


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(app(result_action='return_value'))
