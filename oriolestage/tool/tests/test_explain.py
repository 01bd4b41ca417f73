"""Tests of the command that explains where a request would go."""

import contextlib
import io
import socket
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import ClassVar
from urllib.parse import parse_qs, urlsplit

import msgspec

from oriolestage.routing._explanations import (
    RequestView,
    ServiceView,
    TargetView,
)
from oriolestage.tool import ExitCode
from oriolestage.tool.__main__ import app

VIEW = RequestView(
    4,
    'rota',
    '',
    (
        ServiceView(
            'visit-log',
            't-1',
            'least expected delay: 9.0 ms',
            (TargetView('t-1', 'dc-a', 'v1', '', 0, 9, 0),),
        ),
    ),
)


class _Entry(BaseHTTPRequestHandler):
    """Answers as the metrics address of an entry host."""

    body: ClassVar[bytes] = b''
    asked: ClassVar[list[dict[str, list[str]]]] = []

    def do_GET(self) -> None:  # noqa: N802 - name given by the library
        self.asked.append(parse_qs(urlsplit(self.path).query))
        self.send_response(200)
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *_: object) -> None:
        """Write no log."""


class ExplainCommandTest(unittest.TestCase):
    """The command asks an entry host and prints what it answers."""

    def setUp(self) -> None:
        """Start a stand-in for an entry host."""
        self._server = HTTPServer(('127.0.0.1', 0), _Entry)
        self._address = f'127.0.0.1:{self._server.server_port}'
        thread = threading.Thread(target=self._server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self._server.server_close)
        self.addCleanup(self._server.shutdown)

    def _run(self, body: bytes) -> tuple[int, str]:
        _Entry.body = body
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = app(
                (
                    'explain',
                    'http://search.example/rota/7?day=1',
                    '--entry',
                    self._address,
                    '--account',
                    'kiosks',
                ),
                result_action='return_value',
            )
        return code, output.getvalue()

    def test_shown(self) -> None:
        """The request is named to the host, and its choice is printed."""
        code, text = self._run(msgspec.json.encode(VIEW))
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn('visit-log -> t-1: least expected delay', text)
        self.assertEqual(
            _Entry.asked[-1],
            {
                'host': ['search.example'],
                'path': ['/rota/7?day=1'],
                'account': ['kiosks'],
            },
        )

    def test_refused(self) -> None:
        """A request that would be refused has an exit code of its own."""
        view = RequestView(4, '', 'unknown_route')
        code, text = self._run(msgspec.json.encode(view))
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertIn('unknown_route', text)

    def test_no_valid_answer(self) -> None:
        """Guards against a trace for an answer that is no explanation."""
        for body in (b'', b'[]', b'{"version": "x"}'):
            with self.subTest(body=body):
                code, text = self._run(body)
                self.assertEqual(code, ExitCode.UNREACHABLE)
                self.assertIn(self._address, text)

    def test_not_reached(self) -> None:
        """An address without a listener is an error without a trace."""
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            self._address = f'127.0.0.1:{unused.getsockname()[1]}'
            code, text = self._run(b'')
        self.assertEqual(code, ExitCode.UNREACHABLE)
        self.assertIn(self._address, text)
