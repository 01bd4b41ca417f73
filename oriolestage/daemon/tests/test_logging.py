"""Tests of log lines with text from outside."""

import logging
import os
from unittest import TestCase, mock

from oriolestage._logging import (
    EVENT_BURST,
    EventLimiter,
    LibraryLineLimiter,
    LineFormatter,
    NonBlockingStream,
    log_event,
)

#: Values from outside, and how they are written.
WRITTEN_VALUES = (
    ('plain', 'plain'),
    ('', '""'),
    ('two words', '"two words"'),
    ('a=b', '"a=b"'),
    ('/caf\u00e9', '/caf\u00e9'),
    ('tab\t', r'"tab\t"'),
    ('cut\x1b[2K', r'"cut\u001b[2K"'),
    ('nul\x00', r'"nul\u0000"'),
    ('rub\x7fout', r'"rub\u007fout"'),
    ('page\x0cline\x0b', r'"page\fline\u000b"'),
    ('next\x85line', r'"next\u0085line"'),
    ('line\u2028separator', r'"line\u2028separator"'),
    ('\udcff', r'"\udcff"'),
)


class NonBlockingStreamTest(TestCase):
    """Every text is written as one line."""

    def test_text_that_is_not_utf8(self) -> None:
        """Guards against a lost line and a traceback on standard error.

        Headers that are not UTF-8 are decoded with lone surrogates.
        """
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        stream = NonBlockingStream(writing)
        surrogate = chr(0xDCFF)
        stream.write(f'event=first route={surrogate}\n')
        stream.write('event=second\n')
        escaped = ascii(surrogate).strip("'")
        self.assertEqual(
            os.read(reading, 1000).decode().splitlines(),
            [f'event=first route={escaped}', 'event=second'],
        )


class ValueTest(TestCase):
    """Values from outside stay within their pair of an event."""

    def test_characters(self) -> None:
        """Guards against control characters that hide or split a line.

        A terminal acts on them, and readers of the log take some for the end
        of the line.
        """
        for text, written in WRITTEN_VALUES:
            with (
                self.subTest(text=text),
                mock.patch('oriolestage._logging.logging.info') as info,
            ):
                log_event('read', {'key': text, 'step': 'store'})
                line = info.call_args.args[1]
                self.assertEqual(line, f'event=read key={written} step=store')
                self.assertEqual(len(line.splitlines()), 1)


class LibraryLogTest(TestCase):
    """Lines of libraries are limited like those of events."""

    def test_flood(self) -> None:
        """Guards against a log line for each malformed request.

        The HTTP server logs each one by itself.
        """
        clock = mock.Mock(return_value=0)
        limiter = EventLimiter(clock)
        library = LibraryLineLimiter(limiter)
        record = logging.makeLogRecord({'name': 'aiohttp', 'msg': 'malformed'})
        admitted = [library.filter(record) for _ in range(2 * EVENT_BURST)]
        self.assertEqual(sum(admitted), EVENT_BURST)
        clock.return_value = 1
        self.assertTrue(library.filter(record))
        line = LineFormatter().format(record)
        self.assertIn(f'suppressed={EVENT_BURST}', line)

    def test_own_events_pass(self) -> None:
        """Events were limited before they became records."""
        library = LibraryLineLimiter(EventLimiter(mock.Mock(return_value=0)))
        record = logging.makeLogRecord({'msg': 'event=started step=start'})
        admitted = [library.filter(record) for _ in range(2 * EVENT_BURST)]
        self.assertTrue(all(admitted))

    def test_message_without_its_arguments(self) -> None:
        """Guards against an error of a log line that ends its caller's work.

        Handlers catch the errors of formatting, but not those of filters.
        """
        library = LibraryLineLimiter(EventLimiter(mock.Mock(return_value=0)))
        record = logging.makeLogRecord({'msg': '%s: %s', 'args': ('one',)})
        self.assertTrue(library.filter(record))
