"""The record of a case: what was sent, answered and run."""

import json
import time
from pathlib import Path


class Record:
    """Events with their times in seconds since the start, one a line."""

    def __init__(self) -> None:
        """Start an empty record."""
        self.events: list[dict] = []
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, kind: str, **fields: object) -> None:
        """Add an event that happens now."""
        self.events.append({'at': round(self.now, 4), 'kind': kind, **fields})

    def of(self, kind: str) -> list[dict]:
        """Return the events of one kind, in order."""
        return [event for event in self.events if event['kind'] == kind]

    def write(self, path: Path) -> None:
        """Write one line of JSON for each event."""
        lines = [json.dumps(event) for event in self.events]
        path.write_text('\n'.join(lines) + '\n', 'utf-8')
