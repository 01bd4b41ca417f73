"""Log lines of key=value pairs, one for each event.

Lines go to standard output without ever waiting for its reader: what does
not fit is dropped and counted. Each kind of event has a bounded rate.
"""

import json
import os
import sys
import time
from collections.abc import Callable, Mapping

from absl import flags, logging

#: Characters that make a value need quotes.
QUOTED_CHARACTERS = frozenset(' ="\n\r\t')
#: Longest line, in characters; a pipe takes lines of this size whole.
LINE_LIMIT = 2000
#: Lines of one event that may be written at once.
EVENT_BURST = 300
#: Lines of one event a second in the long run.
EVENT_RATE = 60.0


class EventLimiter:
    """Bounds the lines of each event and counts what it suppresses."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a full burst for each event."""
        self._clock = clock
        self._tokens: dict[str, float] = {}
        self._seen_at: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, event: str) -> int | None:
        """Give the lines suppressed since the last one; None: suppress."""
        now = self._clock()
        passed_s = now - self._seen_at.get(event, now)
        tokens = self._tokens.get(event, EVENT_BURST)
        tokens = min(EVENT_BURST, tokens + passed_s * EVENT_RATE)
        self._seen_at[event] = now
        if tokens < 1:
            self._tokens[event] = tokens
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return None
        self._tokens[event] = tokens - 1
        return self._suppressed.pop(event, 0)


class NonBlockingStream:
    """Writes lines to a descriptor and drops what it does not take."""

    def __init__(self, descriptor: int) -> None:
        """Switch the descriptor to non-blocking writes."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._dropped = 0

    def write(self, text: str) -> int:
        """Write a text if the reader keeps up."""
        line = text
        if self._dropped:
            line = f'event=log_dropped writes={self._dropped}\n{text}'
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            # The reader is slow or gone; the next line tells the count.
            self._dropped += 1
            return 0
        self._dropped = 0
        return len(text)

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the process."""

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""


_limiter = EventLimiter(time.monotonic)


def start_logging() -> None:
    """Send log lines to standard output."""
    # Library code may log before a command line is parsed, and has none here.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = NonBlockingStream(sys.stdout.fileno())
    logging.set_verbosity(logging.INFO)


def log_event(event: str, fields: Mapping[str, object]) -> None:
    """Write one event as key=value pairs."""
    suppressed = _limiter.admit(event)
    if suppressed is None:
        return
    pairs = [f'event={event}']
    for name, content in fields.items():
        pairs.append(f'{name}={_quoted(content)}')
    if suppressed:
        pairs.append(f'suppressed={suppressed}')
    logging.info('%s', ' '.join(pairs)[:LINE_LIMIT])


def _quoted(content: object) -> str:
    if isinstance(content, float):
        return f'{content:.4g}'
    text = str(content)
    if not text or QUOTED_CHARACTERS.intersection(text):
        return json.dumps(text)
    return text
