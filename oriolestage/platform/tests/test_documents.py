"""Tests of decoding items of the store."""

import json
import unittest

from oriolestage.platform._documents import decode_item, decode_removal
from oriolestage.platform.tests.stored_items import REGISTRATION
from oriolestage.routing._facts import (
    ConfigurationStored,
    DataCentreClosed,
    DataCentreOpened,
    HostRemoved,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._rules import (
    ShardGroup,
    SingleService,
    WeightedService,
    WeightedServices,
)

ROUTE = {  # noqa: WPS407
    'name': 'r-1',
    'host': 'Search.example',
    'pathPrefix': '/a/',
    'routeType': 'idempotent',
    'timeoutMs': 1200,
    'targetLatencyMs': 124,
    'priority': 2,
    'maxAttempts': 2,
    'allowedRegions': ['north'],
}


def _configuration(**route: object) -> bytes:
    document = {
        'version': 7,
        'routes': [{**ROUTE, **route}],
        'services': [
            {'name': 's-1', 'maxConnections': 25, 'warmupPerS': 3.5},
        ],
        'limits': {'maxBodyBytes': 9, 'idleTimeoutMs': 1500},
        'unknown': True,
    }
    return json.dumps(document).encode()


class ConfigurationTest(unittest.TestCase):
    """Configurations are decoded into routing tables."""

    def test_destinations(self) -> None:
        """Each of the three kinds of destination has its own type."""
        cases = (
            ({'service': 's-1'}, SingleService('s-1')),
            (
                {'backends': [{'service': 's-1', 'weight': 3}]},
                WeightedServices((WeightedService('s-1', 3),)),
            ),
            (
                {'gather': ['s-1', 's-2'], 'topK': 5, 'minCoverage': 0.5},
                ShardGroup(('s-1', 's-2'), 5, 0.5),
            ),
        )
        for route, expected in cases:
            with self.subTest(route=route):
                decoded = decode_item('op/config', _configuration(**route))
                self.assertIsInstance(decoded, ConfigurationStored)
                if isinstance(decoded, ConfigurationStored):
                    rule = decoded.table.find('search.example', '/a/x')
                    self.assertIsNotNone(rule)
                    if rule is not None:
                        self.assertEqual(rule.destination, expected)

    def test_fields(self) -> None:
        """Fields are translated, and durations converted to seconds."""
        decoded = decode_item('op/config', _configuration(service='s-1'))
        assert isinstance(decoded, ConfigurationStored)
        rule = decoded.table.rules['search.example'][0]
        self.assertEqual(decoded.table.version, 7)
        self.assertEqual(rule.timeout_s, 1.2)
        self.assertEqual(rule.objective_s, 0.124)
        self.assertEqual(rule.regions, {'north'})
        self.assertTrue(rule.repeatable)
        self.assertEqual(decoded.table.services['s-1'].warm_up_rate, 3.5)
        self.assertEqual(decoded.table.limits.body_bytes, 9)
        self.assertEqual(decoded.table.limits.idle_timeout_s, 1.5)

    def test_unreadable(self) -> None:
        """An invalid configuration is decoded as unreadable."""
        cases = (
            b'not json',
            _configuration(),
            _configuration(service='s-1', routeType='sometimes'),
            b'{"version": 7}',
        )
        for content in cases:
            with self.subTest(content=content[:40]):
                decoded = decode_item('op/config', content)
                self.assertIsInstance(decoded, UnreadableItem)


class RegistrationTest(unittest.TestCase):
    """Registrations are decoded into records of targets."""

    def test_ready(self) -> None:
        """A ready target keeps its identity, warm-up and start time."""
        decoded = decode_item('servers/i-1', json.dumps(REGISTRATION).encode())
        assert isinstance(decoded, TargetStored)
        self.assertEqual(decoded.record.identity, 'i-1')
        self.assertEqual(decoded.record.warm_up_left_s, 1.5)
        self.assertEqual(decoded.record.started_ms, 77)
        self.assertFalse(decoded.record.draining)

    def test_unreadable(self) -> None:
        """An invalid registration is unreadable but still names its target."""
        changes: tuple[dict[str, object], ...] = (
            {'state': 'gone'},
            {'concurrencyLimit': '2'},
            {'concurrencyLimit': 0},
            {'address': 'nowhere'},
            {'service': None},
            {'born': 'yesterday'},
        )
        for change in changes:
            with self.subTest(change=change):
                content = json.dumps({**REGISTRATION, **change}).encode()
                decoded = decode_item('servers/i-1', content)
                self.assertIsInstance(decoded, UnreadableItem)
                if isinstance(decoded, UnreadableItem):
                    self.assertEqual(decoded.target, 'i-1')

    def test_incomplete(self) -> None:
        """Guards against using the entry of another writer.

        The platform's entries have all of these fields, with these types.
        """
        for field in REGISTRATION.keys() - {'born'}:
            document = {**REGISTRATION}
            document.pop(field)
            for changed in (document, {**document, field: []}):
                with self.subTest(field=field, value=changed.get(field)):
                    decoded = decode_item(
                        'servers/i-1', json.dumps(changed).encode()
                    )
                    self.assertIsInstance(decoded, UnreadableItem)

    def test_keys(self) -> None:
        """The prefix of a key selects what an item or its removal means."""
        self.assertEqual(
            decode_item('op/evacuate/dc-a', b'{}'),
            DataCentreClosed('dc-a'),
        )
        self.assertIsNone(decode_item('elsewhere/x', b'{}'))
        cases = (
            ('op/evacuate/dc-a', DataCentreOpened('dc-a')),
            ('servers/i-1', TargetRemoved('i-1')),
            ('hosts/h-1', HostRemoved('h-1')),
            ('op/config', None),
        )
        for key, expected in cases:
            with self.subTest(key=key):
                self.assertEqual(decode_removal(key), expected)
