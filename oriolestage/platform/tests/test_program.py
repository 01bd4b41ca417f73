"""Tests of the start of an entry host."""

import os
import socket
import sys
import tempfile
from pathlib import Path
from unittest import TestCase, mock

from oriolestage.platform import _names
from oriolestage.platform._program import EXIT_BAD_SETTINGS, run_program

TEXT = """
nodeName: host-1
ip: 127.0.0.1
zone: dc-a
region: north
zones: {{dc-a: north}}
endpoints: {{front: "127.0.0.1:{port}", ready: "127.0.0.1:1"}}
portRange: [7380, 7395]
bounds: {{graceS: 6, contactMs: 5000}}
platform: {{address: "127.0.0.1:2", form: kv}}
"""


class StartTest(TestCase):
    """A host accepts connections of callers before its slow imports."""

    def setUp(self) -> None:
        """Write a settings file with a free port."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._path = Path(folder.name) / 'local.yaml'
        with socket.create_server(('127.0.0.1', 0)) as probe:
            self._port = probe.getsockname()[1]
        self._path.write_text(TEXT.format(port=self._port), 'utf-8')
        variables = {_names.SETTINGS_VARIABLE: str(self._path)}
        for patch in (
            mock.patch.dict(os.environ, variables),
            # It would make the test run's standard output non-blocking.
            mock.patch('oriolestage.platform._program.start_logging'),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_listens_before_imports(self) -> None:
        """The host listens for callers before it imports uvloop."""
        accepted_connection = False
        with mock.patch.dict(sys.modules, {'uvloop': None}):
            try:
                run_program()
            except ImportError as error:
                # The traceback of the error keeps the listening socket open.
                self.assertIn('uvloop', str(error))
                with socket.create_connection(('127.0.0.1', self._port)):
                    accepted_connection = True
        self.assertTrue(accepted_connection)

    def test_port_taken(self) -> None:
        """A caller port in use ends the program like invalid settings."""
        with socket.create_server(('127.0.0.1', self._port)):
            self.assertEqual(run_program(), EXIT_BAD_SETTINGS)
