"""Logging in lines of ``key=value`` pairs, one line for each event.

Lines go to standard output, and writing never blocks: if the reader is too
slow, lines are dropped and counted. The lines of each event are rate-limited.
"""

import json
import logging as python_logging
import os
import re
import sys
import time
import traceback
import types
from collections.abc import Callable, Mapping

from absl import flags, logging

#: A value that contains one of these characters is quoted, and so is one with
#: characters that cannot be printed.
QUOTED_CHARACTERS = frozenset(' ="')
#: The only control character that JSON does not escape.
DELETE = '\x7f'
ESCAPED_DELETE = r'\u007f'
#: Longer lines are cut to this length. A pipe takes a line of this size in
#: one piece.
MAX_LINE_CHARACTERS = 2000
#: Lines of one event that may be written in a burst.
EVENT_BURST = 300
#: Lines of one event per second, on average.
EVENT_RATE_PER_S = 60.0
#: Event of the lines of libraries.
LIBRARY_EVENT = 'library_log'
#: Bytes in the text of an error, up to its end. The parser of requests quotes
#: invalid header lines, which may have the key of an account.
QUOTED_BYTES = re.compile(r'b\\?[\'"].*', re.DOTALL)


class EventLimiter:
    """Limits the rate of each event with a token bucket."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a full bucket for each event.

        ``clock`` returns monotonic time in seconds.
        """
        self._clock = clock
        self._tokens: dict[str, float] = {}
        self._refilled_at: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, event: str) -> int | None:
        """Take a token for one line of an event.

        Return the number of lines that were suppressed since the last line,
        or None if this one is to be suppressed too.
        """
        now = self._clock()
        elapsed_s = now - self._refilled_at.get(event, now)
        tokens = self._tokens.get(event, EVENT_BURST)
        tokens = min(EVENT_BURST, tokens + elapsed_s * EVENT_RATE_PER_S)
        self._refilled_at[event] = now
        if tokens < 1:
            self._tokens[event] = tokens
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return None
        self._tokens[event] = tokens - 1
        return self._suppressed.pop(event, 0)


class NonBlockingStream:
    """Writes to a file descriptor and drops what cannot be written at once."""

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._dropped = 0

    def write(self, text: str) -> int:
        """Write ``text`` or drop it.

        Return the number of characters written, 0 if they were dropped.
        """
        line = text
        if self._dropped:
            line = f'event=log_dropped writes={self._dropped}\n{text}'
        try:
            os.write(self._descriptor, line.encode(errors='backslashreplace'))
        except OSError:
            # The reader is slow or gone. The next successful write reports the
            # number of dropped ones.
            self._dropped += 1
            return 0
        self._dropped = 0
        return len(text)

    def close(self) -> None:
        """Do nothing; the descriptor belongs to the process."""

    def flush(self) -> None:
        """Do nothing; writes are not buffered."""


_limiter = EventLimiter(time.monotonic)


class LibraryLineLimiter(python_logging.Filter):
    """Limits the lines of libraries, which do not use :func:`log_event`."""

    def __init__(self, limiter: EventLimiter) -> None:
        """Count all of them as one event of ``limiter``."""
        super().__init__()
        self._limiter = limiter

    def filter(self, record: python_logging.LogRecord) -> bool:
        """Return whether to write a record, and note suppressed ones in it."""
        if _is_own(record):
            return True
        suppressed = self._limiter.admit(LIBRARY_EVENT)
        record.suppressed = suppressed
        return suppressed is not None


class LineFormatter(python_logging.Formatter):
    """Formats a record as one line, also records of libraries.

    Of a traceback, the error and the innermost location are kept.
    """

    def format(self, record: python_logging.LogRecord) -> str:
        """Return one line of ``key=value`` pairs."""
        message = record.getMessage()
        if not message.startswith('event='):
            fields: dict[str, object] = {
                'level': record.levelname,
                'logger': record.name,
                'message': message,
            }
            if record.exc_info:
                error = repr(record.exc_info[1])
                fields['error'] = QUOTED_BYTES.sub('(bytes)', error)
                fields['at'] = _innermost_location(record.exc_info[2])
            suppressed = getattr(record, 'suppressed', 0)
            if suppressed:
                fields['suppressed'] = suppressed
            message = _format_line(LIBRARY_EVENT, fields)
        return f'time={record.created:.6f} {message}'


def start_logging() -> None:
    """Send the log to standard output, at level INFO and above."""
    # Until flags are parsed, absl logs to standard error instead. Libraries
    # may log earlier than that, and the programs here have no absl flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = NonBlockingStream(sys.stdout.fileno())
    handler.python_handler.setFormatter(LineFormatter())
    handler.python_handler.addFilter(LibraryLineLimiter(_limiter))
    logging.set_verbosity(logging.INFO)


def log_event(event: str, fields: Mapping[str, object]) -> None:
    """Log one event, unless it exceeds its rate limit.

    The first line after suppressed ones has their number in ``suppressed``.
    """
    suppressed = _limiter.admit(event)
    if suppressed is None:
        return
    pairs = dict(fields)
    if suppressed:
        pairs['suppressed'] = suppressed
    logging.info('%s', _format_line(event, pairs))


def _format_line(event: str, fields: Mapping[str, object]) -> str:
    pairs = [f'event={event}']
    for name, content in fields.items():
        pairs.append(f'{name}={_format_value(content)}')
    return ' '.join(pairs)[:MAX_LINE_CHARACTERS]


def _is_own(record: python_logging.LogRecord) -> bool:
    """Return whether a record was written by :func:`log_event`."""
    try:
        return record.getMessage().startswith('event=')
    except Exception:  # noqa: BLE001 - the handler reports it when it formats
        return False


def _innermost_location(trace: types.TracebackType | None) -> str:
    """Return the file and line at which an error was raised."""
    frames = traceback.extract_tb(trace)
    if not frames:
        return 'unknown'
    return f'{frames[-1].filename}:{frames[-1].lineno}'


def _format_value(content: object) -> str:
    if isinstance(content, float):
        return f'{content:.4g}'
    text = str(content)
    plain = text.isprintable() and QUOTED_CHARACTERS.isdisjoint(text)
    if not text or not plain:
        return json.dumps(text).replace(DELETE, ESCAPED_DELETE)
    return text
