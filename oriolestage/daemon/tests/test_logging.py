"""Tests of log lines with text from outside."""

import os
import unittest

from oriolestage._logging import NonBlockingStream


class NonBlockingStreamTest(unittest.TestCase):
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
