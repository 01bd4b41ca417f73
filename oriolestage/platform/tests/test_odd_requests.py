"""Tests of callers' requests that are odd or no requests."""

import logging
import unittest

import uvloop

from oriolestage.platform.tests.served_callers import (
    FIELDS,
    forward,
    status_of,
)
from oriolestage.routing._crash_detector import fingerprint_of


class OddRequestTest(unittest.TestCase):
    """Odd requests get a true status, and targets only sound requests."""

    def setUp(self) -> None:
        """Leave out the lines on rejected requests."""
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_bytes_that_are_no_utf8(self) -> None:
        """Guards against a 500 for a name of a host that is no UTF-8."""
        for head, status in (
            (b'GET /a/ HTTP/1.1\r\nHost: caf\xe9.example\r\n\r\n', 404),
            (b'GET /a/ HTTP/1.1\r\nHost: \xff:80\r\n\r\n', 404),
            (b'GET /\xe9/ HTTP/1.1\r\n' + FIELDS + b'\r\n', 400),
            (b'GET /a/?\xff HTTP/1.1\r\n' + FIELDS + b'\r\n', 400),
            (b'G\xe9T /a/ HTTP/1.1\r\n' + FIELDS + b'\r\n', 400),
            (b'GET /a/ HTTP/1.1\r\n' + FIELDS + b'X-\xe9: 1\r\n\r\n', 400),
        ):
            with self.subTest(head=head):
                received, forwarded = uvloop.run(forward(head))
                self.assertEqual(status_of(received), status)
                self.assertEqual(forwarded, [])

    def test_fingerprints(self) -> None:
        """Texts of different bytes have different fingerprints."""
        texts = (b'caf\xe9', b'caf\xff', b'caf', 'caf\u00e9'.encode())
        hosts = [text.decode('utf-8', 'surrogateescape') for text in texts]
        fingerprints = {fingerprint_of('GET', host, '/', b'') for host in hosts}
        self.assertEqual(len(fingerprints), len(texts))
