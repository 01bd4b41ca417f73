"""Tests of reading the platform's settings file."""

import tempfile
import unittest
from pathlib import Path

from oriolestage.entry._settings import EntrySettingsError
from oriolestage.platform._settings import load_settings

TEXT = """
nodeName: host-1
ip: 10.0.0.1
zone: dc-a
region: north
zones: {dc-a: north, dc-b: south}
endpoints: {front: "10.0.0.1:80", ready: "10.0.0.1:81"}
portRange: [7380, 7395]
bounds: {graceS: 6, contactMs: 5000, retryBudget: 0.3, retrySlack: 40}
platform: {address: "10.0.9.9:82", form: kv}
newField: 1
"""


class SettingsTest(unittest.TestCase):
    """The settings file is checked and translated."""

    def _load(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.yaml'
            path.write_text(text, 'utf-8')
            return load_settings(path)

    def test_translated(self) -> None:
        """Fields are translated, and durations converted to seconds."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.yaml'
            path.write_text(TEXT, 'utf-8')
            settings = load_settings(path)
        self.assertEqual(settings.location.name, 'host-1')
        self.assertEqual(settings.location.region, 'north')
        self.assertEqual(settings.peer_address, '10.0.0.1:7380')
        self.assertEqual(settings.metrics_address, '10.0.0.1:9464')
        self.assertEqual(settings.propagation_limit_s, 5)
        self.assertEqual(settings.budget.ratio, 0.3)
        self.assertEqual(settings.budget.allowance, 40)

    def test_invalid(self) -> None:
        """An error names the file, and the field if the file is valid YAML."""
        cases = (
            ('nodeName: [', 'local.yaml'),
            ('nodeName: 1', 'nodeName'),
            (TEXT.replace('graceS: 6, ', ''), 'graceS'),
            (TEXT.replace('front: ', 'fron: '), 'front'),
        )
        for text, expected in cases:
            with self.subTest(expected=expected):
                with self.assertRaises(EntrySettingsError) as caught:
                    self._load(text)
                self.assertIn(expected, str(caught.exception))
