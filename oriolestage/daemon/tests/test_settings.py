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

    def test_files_that_cannot_be_parsed(self) -> None:
        """Guards against a traceback instead of a line with the file."""
        cases = (
            ('deep lists', '[' * 5000 + ']' * 5000),
            ('impossible date', 'name: 2001-99-99'),
            ('many digits', f'body_limit: {"9" * 5000}'),
            ('alias of itself', 'seeds: &a [*a]'),
        )
        for name, text in cases:
            with self.subTest(name):
                with self.assertRaisesRegex(SettingsError, 'settings.yaml'):
                    self._load(text)

    def test_values_out_of_range(self) -> None:
        """Guards against values that fail or never end at run time."""
        stop = {'notice': '2s', 'deadline': '9' * 400 + 's'}
        platform = valid_settings()['platform']
        cases = (
            ('endless duration', {'stop': stop}, r'\$\.stop\.deadline'),
            ('long duration', {'freshness_limit': '2000min'}, 'freshness'),
            ('digits of another script', {'freshness_limit': '٣s'}, 'fresh'),
            ('line break', {'freshness_limit': '3s\n'}, 'freshness_limit'),
            ('no timeout', {'platform': {**platform, 'timeout': '0s'}}, 'tim'),
            ('name with line break', {'name': 'entry-1\n'}, r'\$\.name'),
            (
                'bad address to advertise',
                {'advertise_data': 'entry-1'},
                r'\$\.advertise_data',
            ),
            (
                'bad port to advertise',
                {'advertise_gossip': '127.0.0.1:70000'},
                r'\$\.advertise_gossip',
            ),
            ('bad octet', {'seeds': ['127.0.0.256:7003']}, r'\$\.seeds'),
            ('port of another script', {'seeds': ['127.0.0.1:٣']}, 'seeds'),
        )
        for name, wrong, expected in cases:
            with self.subTest(name):
                text = yaml.safe_dump({**valid_settings(), **wrong})
                with self.assertRaisesRegex(SettingsError, expected):
                    self._load(text)

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
