"""Tests of the client accounts in a configuration."""

import unittest

import msgspec

from oriolestage.platform._configuration import decode_configuration
from oriolestage.routing._rules import RoutingTable


def _decode(**fields: object) -> RoutingTable:
    document = {'version': 1, 'routes': [], 'services': [], **fields}
    return decode_configuration(msgspec.json.encode(document))


class AccountsTest(unittest.TestCase):
    """Accounts are decoded and found by their keys."""

    def test_found_by_key(self) -> None:
        """Each key names its account, with the account's limits."""
        tenant = {
            'name': 'kiosks',
            'apiKeys': ['key-1', 'key-2'],
            'priority': 1,
            'ratePerS': 9,
            'burst': 4,
            'allowedRegions': ['north'],
        }
        accounts = _decode(tenants=[tenant]).accounts
        self.assertEqual(len(accounts), 1)
        for key in ('key-1', 'key-2'):
            account = accounts.find(key)
            assert account is not None
            self.assertEqual(account.name, 'kiosks')
            self.assertEqual(account.priority, 1)
            self.assertEqual((account.rate, account.burst), (9, 4))
            self.assertEqual(account.regions, frozenset(('north',)))
        for unknown in ('', 'key-3', 'KEY-1', '\udcff'):
            self.assertIsNone(accounts.find(unknown))

    def test_without_accounts(self) -> None:
        """Guards against keys that are checked where there are no accounts."""
        self.assertEqual(len(_decode().accounts), 0)

    def test_described_without_keys(self) -> None:
        """Guards against keys in logs, and equal tables that differ there."""
        tenant = {'name': 'kiosks', 'apiKeys': ['key-1']}
        described = [repr(_decode(tenants=[tenant])) for _ in range(2)]
        self.assertEqual(described[0], described[1])
        self.assertIn('kiosks', described[0])
        self.assertNotIn('key-1', described[0])

    def test_defaults(self) -> None:
        """An account without limits and priority has none."""
        account = _decode(
            tenants=[{'name': 'kiosks', 'apiKeys': ['key-1']}]
        ).accounts.find('key-1')
        assert account is not None
        self.assertIsNone(account.priority)
        self.assertEqual((account.rate, account.burst), (0, 0))
