"""Checks of what targets have run."""

from collections.abc import Iterator

from platform_soak.answers import SEARCH_PREFIX
from platform_soak.breaches import Breach, breach_of
from platform_soak.callers import PROMISES
from platform_soak.configurations import SHARDS, service_of
from platform_soak.history import History


def check_runs(history: History) -> Iterator[Breach]:
    """TWICE and REFUSED: what may run once, and what was refused."""
    runs = history.runs_by_attempt()
    for call in history.calls:
        count = len(runs.get(call.attempt, ()))
        if call.repeatable or not count:
            continue
        if count > 1:
            yield breach_of('TWICE', call, f'ran {count} times')
        if call.answer is not None and call.answer.status in PROMISES:
            yield breach_of('REFUSED', call, f'{call.answer.status} and ran')


def check_unasked(history: History) -> Iterator[Breach]:
    """UNASKED and ROUTE: targets run what callers sent, where it may run."""
    calls = history.calls_by_attempt()
    for runs in history.runs_by_attempt().values():
        for run in runs:
            call = calls.get(run.attempt)
            if call is None or run.path != call.path:
                text = f'{run.server} ran {run.attempt} {run.path}'
                yield Breach('UNASKED', run.at, text)
            elif run.service not in _services(history, call.path):
                yield breach_of('ROUTE', call, f'run by {run.service}')


def _services(history: History, path: str) -> set[str]:
    """Return the services to which any version sends a path."""
    if path.startswith(SEARCH_PREFIX):
        return set(SHARDS)
    return {service_of(version, path) for version in history.versions}
