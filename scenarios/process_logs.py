"""Reads what processes of a scenario logged."""

import itertools
import json
import re
from pathlib import Path

from scenarios.observations import Observations, Overload, RevisionSeen, Run

#: Characters that the daemon appends to a caller's request identifier.
SUFFIX_LENGTH = 9
_REVISION = re.compile(
    r'event=revision_in_force .*revision=(\d+)(?:.* command_id=(\w+))?',
)


class ProcessLogs:
    """Adds the contents of log files to what was seen."""

    def __init__(self, seen: Observations, origin: float) -> None:
        """Count times from ``origin``."""
        self._seen = seen
        self._origin = origin

    def collect_target(self, name: str, centre: str, log: Path) -> None:
        """Take over what a target's stand-in logged."""
        if not log.exists():
            return
        for text in log.read_text().splitlines():
            line = json.loads(text)
            run = Run(
                name,
                centre,
                line['request'][:-SUFFIX_LENGTH],
                line['booking'],
                line['at'] - self._origin,
            )
            overload = Overload(name, run.at, line['in_flight'], 0)
            match line['kind']:
                case 'received':
                    self._seen.received.append(run)
                case 'ran':
                    self._seen.runs.append(run)
                case 'over_slots':
                    self._seen.slot_overloads.append(overload)
                case 'over_cold':
                    self._seen.cold_overloads.append(overload)
                case 'crashed':
                    self._seen.crashed.add(name)

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
                seen = RevisionSeen(process, revision, found.group(2) or '')
                self._seen.revisions.append(seen)
                self._seen.final_revisions[host] = revision
