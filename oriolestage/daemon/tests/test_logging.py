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
