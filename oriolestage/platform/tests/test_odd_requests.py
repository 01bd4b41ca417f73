"""Tests of callers' requests that are odd or no requests."""

import logging
import unittest

import uvloop

from oriolestage.platform.tests.served_callers import (
    BODY,
    FIELDS,
    forward,
    status_of,
)
from oriolestage.routing._crash_detector import fingerprint_of

SOUND = b'GET /a/ HTTP/1.1\r\n' + FIELDS + b'\r\n'


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

    def test_unknown_bodies(self) -> None:
        """Guards against a target that gets another body than was sent.

        Nor does it get what follows, which may be a part of that body.
        """
        chunks = b'4\r\nbody\r\n0\r\n\r\n'
        for fields, body in (
            (b'Transfer-Encoding: gzip, chunked', chunks),
            (b'Transfer-Encoding: identity, chunked', chunks),
            (b'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked', chunks),
            (b'Content-Length: %d' % ((1 << 64) - 1), BODY),
            (b'Content-Length: 4\r\nTransfer-Encoding: chunked', chunks),
            (b'Transfer-Encoding: chunked\r\nContent-Length: 4', chunks),
            (b'Content-Length : 4', BODY),
            (b'Content-Length: 4\r\nContent-Length: 4', BODY),
            (b'X-Fold: 1\r\n Content-Length: 4', BODY),
            (b'X-Line: 1\nContent-Length: 4', BODY),
        ):
            head = b'POST /a/ HTTP/1.1\r\n' + FIELDS + fields + b'\r\n\r\n'
            for parts in ((head + body + SOUND,), (head, body + SOUND)):
                with self.subTest(fields=fields, parts=len(parts)):
                    self._check_refused(parts)
        for method in (b'CONNECT /a/', b'CONNECT h.example:80'):
            head = method + b' HTTP/1.1\r\n' + FIELDS + b'\r\n'
            with self.subTest(method=method):
                self._check_refused((head + SOUND,))

    def test_versions(self) -> None:
        """Guards against an answer in a version that is none of HTTP/1.

        The parser takes a line without a version for HTTP/0.9.
        """
        for line, status in (
            (b'GET /a/', 400),
            (b'GET /a/HTTP/1.1', 400),
            (b'GET /a/ HTTP/0.9', 400),
            (b'GET /a/ HTTP/1.2', 400),
            (b'GET /a/ HTTP/2.0', 400),
            (b'GET /a/ HTTP/1.0', 200),
        ):
            with self.subTest(line=line):
                head = line + b'\r\n' + FIELDS + b'\r\n'
                received, forwarded = uvloop.run(forward(head))
                self.assertRegex(received, rb'^HTTP/1[.][01] %d ' % status)
                self.assertEqual(len(forwarded), int(status == 200))

    def test_expectations(self) -> None:
        """Guards against an interim answer in HTTP/1.0, which has none."""
        fields = FIELDS + b'Expect: 100-continue\r\nContent-Length: 4\r\n\r\n'
        for version, interim in ((b'1.0', False), (b'1.1', True)):
            head = b'POST /a/ HTTP/%s\r\n%s' % (version, fields)
            with self.subTest(version=version):
                received, _ = uvloop.run(forward(head, BODY))
                self.assertEqual(b' 100 ' in received, interim)
                self.assertIn(b' 200 OK\r\n', received)

    def _check_refused(self, parts: tuple[bytes, ...]) -> None:
        received, forwarded = uvloop.run(forward(*parts))
        self.assertEqual(status_of(received), 400)
        self.assertEqual(received.count(b'HTTP/1.'), 1)
        self.assertEqual(forwarded, [])

    def test_fingerprints(self) -> None:
        """Texts of different bytes have different fingerprints."""
        texts = (b'caf\xe9', b'caf\xff', b'caf', 'caf\u00e9'.encode())
        hosts = [text.decode('utf-8', 'surrogateescape') for text in texts]
        fingerprints = {fingerprint_of('GET', host, '/', b'') for host in hosts}
        self.assertEqual(len(fingerprints), len(texts))
