"""Tests of reading the platform's settings file."""

import tempfile
import unittest
from pathlib import Path

from oriolestage.entry._settings import EntrySettingsError
from oriolestage.platform._settings import load_settings
from oriolestage.platform.tests.stored_items import DEEP_NESTING

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

    def test_odd(self) -> None:
        """Guards against a file that ends a running host when it is read.

        The host checks the file again on SIGHUP.
        """
        nested = '['.ljust(DEEP_NESTING, '[') + ']'.ljust(DEEP_NESTING, ']')
        cases = (
            (f'{TEXT}extra: {nested}', 'recursion'),
            (f'{TEXT}extra: {"9" * 5000}', 'digits'),
            (f'{TEXT}extra: 2020-99-99', 'month'),
            (TEXT.replace('graceS: 6', 'graceS: .nan'), 'graceS'),
            (TEXT.replace('graceS: 6', 'graceS: .inf'), 'graceS'),
            (TEXT.replace('graceS: 6', 'graceS: -1'), 'graceS'),
            (TEXT.replace('graceS: 6', f'graceS: {"9" * 400}'), 'graceS'),
            (TEXT.replace('contactMs: 5000', 'contactMs: 0'), 'contactMs'),
            (TEXT.replace('retrySlack: 40', 'retrySlack: -1'), 'retrySlack'),
            (TEXT.replace('10.0.0.1:80"', '10.0.0.1:99999"'), 'front'),
            (TEXT.replace('10.0.0.1:81"', 'a b:81"'), 'ready'),
            (TEXT.replace('10.0.9.9:82', 'store:82'), 'platform.address'),
            (TEXT.replace('[7380,', '[0,'), 'portRange'),
            (TEXT.replace('7395]', '99999]'), 'portRange'),
            (TEXT.replace('ip: 10.0.0.1', 'ip: nohost'), 'ip'),
        )
        for text, expected in cases:
            with self.subTest(text=text[-60:], expected=expected):
                with self.assertRaises(EntrySettingsError) as caught:
                    self._load(text)
                self.assertIn(expected, str(caught.exception))
