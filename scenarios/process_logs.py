"""Reads observations from the logs of processes."""

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

#: Length of the suffix that the daemon appends to a request identifier.
REQUEST_ID_SUFFIX_LENGTH = 9
_REVISION = re.compile(
    r'event=revision_in_force .*revision=(\d+)(?:.* command_id=(\w+))?',
)


class ProcessLogs:
    """Adds entries of log files to observations."""

    def __init__(self, observations: Observations, origin: float) -> None:
        """Convert times to seconds since ``origin``, a wall-clock time."""
        self._observations = observations
        self._origin = origin

    def collect_target(self, name: str, data_centre: str, log: Path) -> None:
        """Read requests, overloads and crashes from the log of a stand-in."""
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
        """Read the revisions that came into force from a daemon's log."""
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
