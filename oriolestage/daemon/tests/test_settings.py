"""Tests of reading and validating the settings file."""

import tempfile
import unittest
from pathlib import Path

import yaml

from oriolestage.daemon import Settings, SettingsError, load_settings


def valid_settings() -> dict:
    """Return the content of a valid settings file."""
    return {
        'name': 'entry-1',
        'data_centre': 'ege-a',
        'listen': {
            'callers': '127.0.0.1:7001',
            'operators': '127.0.0.1:7002',
            'gossip': '127.0.0.1:7003',
            'data': '127.0.0.1:7004',
        },
        'platform': {
            'store': '127.0.0.1:7100',
            'host_list': '127.0.0.1:7100',
        },
    }


class SettingsTest(unittest.TestCase):
    """Invalid settings raise an error that names the file or the key."""

    def test_valid_settings(self) -> None:
        """A complete file is accepted."""
        loaded = self._load(yaml.safe_dump(valid_settings()))
        self.assertEqual(loaded.listen.data, '127.0.0.1:7004')

    def test_invalid_values(self) -> None:
        """The error names the key of an unknown or invalid value."""
        cases = (
            ('unknown key', {'speed': 3}, 'unknown field `speed`'),
            ('wrong type', {'body_limit': 'big'}, r'\$\.body_limit'),
            ('bad unit', {'freshness_limit': '3 hours'}, 'freshness_limit'),
            ('bad name', {'name': 'a b'}, r'\$\.name'),
            ('bad seed', {'seeds': ['nowhere']}, r'\$\.seeds'),
        )
        for name, wrong, expected in cases:
            with self.subTest(name):
                text = yaml.safe_dump({**valid_settings(), **wrong})
                with self.assertRaisesRegex(SettingsError, expected):
                    self._load(text)

    def test_bad_port(self) -> None:
        """A port above 65535 is refused."""
        content = valid_settings()
        content['listen']['data'] = '127.0.0.1:99999'
        with self.assertRaisesRegex(SettingsError, r'\$\.listen\.data'):
            self._load(yaml.safe_dump(content))

    def test_not_yaml(self) -> None:
        """The error names the line of malformed YAML."""
        with self.assertRaisesRegex(SettingsError, 'line 1'):
            self._load('name: [')

    def test_missing_file(self) -> None:
        """A missing file is an error of the settings."""
        with self.assertRaisesRegex(SettingsError, 'No such file'):
            load_settings(Path('/nowhere.yaml'))

    def _load(self, text: str) -> Settings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.yaml'
            path.write_text(text)
            return load_settings(path)
