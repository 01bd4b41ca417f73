"""Reads what processes of a scenario logged."""

import itertools
import json
import re
from pathlib import Path

from scenarios.observations import (
    Observations,
    Overload,
    RevisionActivation,
    Run,
)

#: Characters that the daemon appends to a caller's request identifier.
REQUEST_ID_SUFFIX_LENGTH = 9
_REVISION = re.compile(
    r'event=revision_in_force .*revision=(\d+)(?:.* command_id=(\w+))?',
)


class ProcessLogs:
    """Adds the contents of log files to what was seen."""

    def __init__(self, observations: Observations, origin: float) -> None:
        """Count times from ``origin``."""
        self._observations = observations
        self._origin = origin

    def collect_target(self, name: str, data_centre: str, log: Path) -> None:
        """Take over what a target's stand-in logged."""
        if not log.exists():
            return
        for text in log.read_text().splitlines():
            line = json.loads(text)
            run = Run(
                name,
                data_centre,
                line['request'][:-REQUEST_ID_SUFFIX_LENGTH],
                line['booking'],
                line['at'] - self._origin,
            )
            overload = Overload(name, run.at, line['in_flight'], 0)
            match line['kind']:
                case 'received':
                    self._observations.received.append(run)
                case 'ran':
                    self._observations.runs.append(run)
                case 'over_slots':
                    self._observations.slot_overloads.append(overload)
                case 'over_cold':
                    self._observations.cold_overloads.append(overload)
                case 'crashed':
                    self._observations.crashed.add(name)

    def collect_revisions(self, host: str, log: Path) -> None:
        """Take over which revisions a daemon put in force."""
        starts = itertools.count()
        process = ''
        for line in log.read_text().splitlines():
            if 'event=started' in line:
                process = f'{host}/{next(starts)}'
            found = _REVISION.search(line)
            if found:
                revision = int(found.group(1))
                activation = RevisionActivation(
                    process, revision, found.group(2) or ''
                )
                self._observations.revisions.append(activation)
                self._observations.final_revisions[host] = revision
