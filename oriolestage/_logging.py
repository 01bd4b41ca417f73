"""Log lines of key=value pairs, one for each event.

Lines go to standard output without ever waiting for its reader: what does
not fit is dropped and counted. Each kind of event has a bounded rate.
"""

import json
import logging as python_logging
import os
import sys
import time
import traceback
import types
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


class _LineFormatter(python_logging.Formatter):
    """Puts what libraries log, tracebacks included, on one line."""

    def format(self, record: python_logging.LogRecord) -> str:
        """Give one line of key=value pairs."""
        message = record.getMessage()
        if not message.startswith('event='):
            fields: dict[str, object] = {
                'level': record.levelname,
                'logger': record.name,
                'message': message,
            }
            if record.exc_info:
                fields['error'] = repr(record.exc_info[1])
                fields['at'] = _innermost_place(record.exc_info[2])
            message = _line('library_log', fields)
        return f'time={record.created:.6f} {message}'


def start_logging() -> None:
    """Send log lines to standard output."""
    # Library code may log before a command line is parsed, and has none here.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = NonBlockingStream(sys.stdout.fileno())
    handler.python_handler.setFormatter(_LineFormatter())
    logging.set_verbosity(logging.INFO)


def log_event(event: str, fields: Mapping[str, object]) -> None:
    """Write one event as key=value pairs."""
    suppressed = _limiter.admit(event)
    if suppressed is None:
        return
    pairs = dict(fields)
    if suppressed:
        pairs['suppressed'] = suppressed
    logging.info('%s', _line(event, pairs))


def _line(event: str, fields: Mapping[str, object]) -> str:
    pairs = [f'event={event}']
    for name, content in fields.items():
        pairs.append(f'{name}={_quoted(content)}')
    return ' '.join(pairs)[:LINE_LIMIT]


def _innermost_place(trace: types.TracebackType | None) -> str:
    """Give the file and line at which an error was raised."""
    frames = traceback.extract_tb(trace)
    if not frames:
        return 'unknown'
    return f'{frames[-1].filename}:{frames[-1].lineno}'


def _quoted(content: object) -> str:
    if isinstance(content, float):
        return f'{content:.4g}'
    text = str(content)
    if not text or QUOTED_CHARACTERS.intersection(text):
        return json.dumps(text)
    return text
