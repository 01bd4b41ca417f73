"""Tests of the settings file."""

import tempfile
import unittest
from pathlib import Path

import yaml

from oriolestage.daemon import Settings, SettingsError, load_settings


def good_settings() -> dict:
    """Build the content of a settings file that is accepted."""
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
    """Bad settings give one clear line with the path of the key."""

    def test_good_settings(self) -> None:
        """Accepts a complete file."""
        loaded = self._load(yaml.safe_dump(good_settings()))
        self.assertEqual(loaded.listen.data, '127.0.0.1:7004')

    def test_mistakes(self) -> None:
        """Names the key of each mistake."""
        cases = (
            ('unknown key', {'speed': 3}, 'unknown field `speed`'),
            ('wrong type', {'body_limit': 'big'}, r'\$\.body_limit'),
            ('bad unit', {'freshness_limit': '3 hours'}, 'freshness_limit'),
            ('bad name', {'name': 'a b'}, r'\$\.name'),
            ('bad seed', {'seeds': ['nowhere']}, r'\$\.seeds'),
        )
        for name, wrong, expected in cases:
            with self.subTest(name):
                text = yaml.safe_dump({**good_settings(), **wrong})
                with self.assertRaisesRegex(SettingsError, expected):
                    self._load(text)

    def test_bad_port(self) -> None:
        """Names a listening address that cannot be."""
        content = good_settings()
        content['listen']['data'] = '127.0.0.1:99999'
        with self.assertRaisesRegex(SettingsError, r'\$\.listen\.data'):
            self._load(yaml.safe_dump(content))

    def test_not_yaml(self) -> None:
        """Tells the line of broken YAML."""
        with self.assertRaisesRegex(SettingsError, 'line 1'):
            self._load('name: [')

    def test_missing_file(self) -> None:
        """Names a file that is not there."""
        with self.assertRaisesRegex(SettingsError, 'No such file'):
            load_settings(Path('/nowhere.yaml'))

    def _load(self, text: str) -> Settings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.yaml'
            path.write_text(text)
            return load_settings(path)
