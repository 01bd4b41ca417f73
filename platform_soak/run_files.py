"""Reads what a run has left in its folder."""

import dataclasses
import json
import re
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

from platform_soak.plan import Plan, read_plan
from platform_soak.record import RECORD_NAME

PLAN_NAME = 'plan.json'
#: A line of a host's log: time in seconds since 1970, and the event.
_LINE = re.compile(r'time=(?P<unix_s>[0-9.]+) event=(?P<event>\w+)')


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A line of a host's log."""

    #: Time since the start of traffic, in seconds.
    at_s: float
    event: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunFiles:
    """The record of a run, whose times count from the start of traffic."""

    plan: Plan
    events: Sequence[Mapping]
    #: Lines of the log of each host, by its name.
    logs: Mapping[str, Sequence[LoggedEvent]]

    @property
    def hosts(self) -> list[str]:
        """Names of all hosts."""
        called = {event['host'] for event in self.events if 'host' in event}
        return sorted(called | self.logs.keys())

    def of(self, kind: str) -> list[Mapping]:
        """Return the events of one kind, in order."""
        return [event for event in self.events if event['kind'] == kind]


def read_run(folder: Path) -> RunFiles:
    """Read the files of a run.

    Raises ``PlanError`` if there is no plan, and ``OSError`` or
    ``json.JSONDecodeError`` if there is no record.
    """
    lines = (folder / RECORD_NAME).read_text('utf-8').splitlines()
    events = [json.loads(line) for line in lines]
    starts = [event for event in events if event['kind'] == 'traffic']
    start_at = starts[0]['at'] if starts else 0
    start_unix_s = starts[0]['unix_s'] if starts else 0
    logs = {
        path.stem: list(_read_log(path, start_unix_s))
        for path in folder.glob('*.log')
    }
    return RunFiles(
        read_plan(folder / PLAN_NAME),
        [_shifted(event, start_at) for event in events],
        logs,
    )


def _read_log(path: Path, start_unix_s: float) -> Iterator[LoggedEvent]:
    for line in path.read_text('utf-8', 'replace').splitlines():
        match = _LINE.match(line)
        if match is not None:
            at_s = float(match['unix_s']) - start_unix_s
            yield LoggedEvent(at_s, match['event'])


def _shifted(event: Mapping, start_at: float) -> dict:
    shifted = {**event, 'at': event['at'] - start_at}
    if 'breached_at' in event:
        shifted['breached_at'] -= start_at
    return shifted
