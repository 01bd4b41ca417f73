"""Tests of the start of the program."""

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
    """Callers need not wait for what a host imports."""

    def setUp(self) -> None:
        """Write settings with a free port."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._path = Path(folder.name) / 'local.yaml'
        with socket.create_server(('127.0.0.1', 0)) as free:
            self._port = free.getsockname()[1]
        self._path.write_text(TEXT.format(port=self._port), 'utf-8')
        named = {_names.SETTINGS_VARIABLE: str(self._path)}
        for patch in (
            mock.patch.dict(os.environ, named),
            # It would change the standard output of the test run.
            mock.patch('oriolestage.platform._program.start_logging'),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_listens_first(self) -> None:
        """The host listens for callers before it imports the event loop."""
        listened = False
        with mock.patch.dict(sys.modules, {'uvloop': None}):
            try:
                run_program()
            except ImportError as error:
                # The error holds what the program had opened.
                self.assertIn('uvloop', str(error))
                with socket.create_connection(('127.0.0.1', self._port)):
                    listened = True
        self.assertTrue(listened)

    def test_port_taken(self) -> None:
        """A port that is taken is an error of the settings."""
        with socket.create_server(('127.0.0.1', self._port)):
            self.assertEqual(run_program(), EXIT_BAD_SETTINGS)
