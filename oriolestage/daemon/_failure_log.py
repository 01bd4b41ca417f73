"""Counts and logs the errors that end one step of a long-lived task."""

import traceback
from collections import Counter

from oriolestage._logging import log_event

#: Longest text of an error in a log line, in characters.
MAX_ERROR_CHARACTERS = 300


class FailureLog:
    """The errors of a process, by the step at which they happened."""

    def __init__(self) -> None:
        """Start without errors."""
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Number of errors since the start, by step."""
        return self._counts

    def record_malformed(
        self, event: str, step: str, error: Exception, peer: str = ''
    ) -> None:
        """Count and log bytes from outside that cannot be used."""
        self._counts[step] += 1
        log_event(
            event,
            {
                'step': step,
                'peer': peer,
                'error': str(error)[:MAX_ERROR_CHARACTERS],
            },
        )

    def record_unexpected(self, step: str, error: BaseException) -> None:
        """Count and log an error that the code does not expect."""
        self._counts[step] += 1
        frames = traceback.extract_tb(error.__traceback__)
        location = 'unknown'
        if frames:
            location = f'{frames[-1].filename}:{frames[-1].lineno}'
        log_event(
            'internal_error',
            {
                'step': step,
                'error': repr(error)[:MAX_ERROR_CHARACTERS],
                'at': location,
            },
        )
