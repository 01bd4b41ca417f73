"""Tests of items of the store with fields that nothing can use."""

import unittest

from oriolestage.entry.tests.odd_addresses import (
    ODD_ADDRESSES,
    SHARED_ADDRESSES,
)
from oriolestage.platform._documents import crash_key, decode_item
from oriolestage.platform.tests.cluster_states import make_cluster_state
from oriolestage.platform.tests.stored_items import (
    HUGE,
    make_configuration,
    make_host,
    make_registration,
)
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import (
    ConfigurationStored,
    CrashStored,
    HostStored,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._trials import TrialReport

#: Parts of keys that name no target or host.
ODD_IDENTITIES = (
    '',
    ' ',
    'i 1',
    'i\r\nHost: x',
    'i\x00',
    'i\x7f',
    '\u00e9',
    '\u0663',
    '\u200b',
)
#: Parts of keys that are no fingerprint of a request.
ODD_FINGERPRINTS = (
    '',
    '-1',
    '+1',
    '0x1f',
    '1_0',
    ' 1f',
    '1f ',
    'xyz',
    '\u0663',
    'f' * 17,
    'f' * 4000,
    '9' * 5000,
)
#: Numbers that are none of a kind, by the field of a registration.
ODD_TARGET_NUMBERS: tuple[tuple[str, tuple[object, ...]], ...] = (
    (
        'concurrencyLimit',
        (0, -1, 2.5, 1e300, HUGE, -HUGE, 1_000_001, '2', True),
    ),
    ('warmupLeftMs', (1e300, HUGE, 86_400_001, '0', None, [])),
    ('born', (-1, 0.5, 1e300, HUGE, -HUGE, '77', None)),
)
ODD_VERSIONS: tuple[object, ...] = (-1, 0.5, HUGE, None)
#: The same for routes, services and limits.
ODD_ROUTE_NUMBERS: tuple[tuple[str, tuple[object, ...]], ...] = (
    ('timeoutMs', (0, -1, 1e300, HUGE, '1', None)),
    ('targetLatencyMs', (-1, 1e300, HUGE)),
    ('priority', (-1, HUGE, 0.5)),
    ('maxAttempts', (-1, HUGE, 1.5)),
    ('topK', (-1, HUGE)),
    ('minCoverage', (-0.1, 1.1, HUGE)),
    ('backends', ([{'service': 's-1', 'weight': -1}], HUGE)),
    ('weight', ([{'service': 's-1', 'weight': HUGE}],)),
    ('gather', ([1], 's-1')),
)
ODD_SERVICE_NUMBERS: tuple[tuple[str, tuple[object, ...]], ...] = (
    ('maxConnections', (-1, HUGE, 0.5)),
    ('warmupPerS', (-1, 1e300, HUGE)),
)
ODD_LIMIT_NUMBERS: tuple[tuple[str, tuple[object, ...]], ...] = (
    ('maxHeaderBytes', (0, -1, HUGE)),
    ('maxBodyBytes', (-1, HUGE)),
    ('headerTimeoutMs', (0, -1, 1e300, HUGE)),
    ('idleTimeoutMs', (0, -1, 1e300, HUGE)),
)


class OddFieldTest(unittest.TestCase):
    """Guards against odd fields that fail later, far from their item."""

    def assert_unreadable(self, key: str, encoded: bytes, field: str) -> None:
        """Check that an item is unreadable because of a field."""
        decoded = decode_item(key, encoded)
        assert isinstance(decoded, UnreadableItem), decoded
        self.assertIn(field, decoded.problem)
        self.assertLess(len(decoded.problem), 400)

    def test_addresses(self) -> None:
        """An address that no process can have names no target and no host."""
        for text in (*ODD_ADDRESSES, *SHARED_ADDRESSES):
            with self.subTest(text=text[:40]):
                self.assert_unreadable(
                    'servers/i-1',
                    make_registration(address=text),
                    'address' if text.isprintable() else '',
                )
                self.assert_unreadable(
                    'hosts/h-1',
                    make_host(peer_address=text),
                    'peer_address' if text.isprintable() else '',
                )

    def test_address_form(self) -> None:
        """An address is kept in one form, by which it is compared."""
        target = decode_item(
            'servers/i-1', make_registration(address='10.0.0.1:0080')
        )
        assert isinstance(target, TargetStored)
        self.assertEqual(target.record.address, '10.0.0.1:80')
        host = decode_item('hosts/h-1', make_host(peer_address='10.0.0.1:0080'))
        assert isinstance(host, HostStored)
        self.assertEqual(host.record.peer_address, '10.0.0.1:80')

    def test_identities(self) -> None:
        """An identity that cannot stand in a header names nothing."""
        for text in ODD_IDENTITIES:
            with self.subTest(text=text):
                for key, encoded in (
                    (f'servers/{text}', make_registration()),
                    (f'hosts/{text}', make_host()),
                    (f'crashes/00000000000000ff/{text}', b''),
                ):
                    self.assert_unreadable(key, encoded, 'identity')

    def test_fingerprints(self) -> None:
        """A crash report is of a request with a 64-bit fingerprint."""
        for text in ODD_FINGERPRINTS:
            with self.subTest(text=text[:40]):
                self.assert_unreadable(
                    f'crashes/{text}/i-1', b'', 'fingerprint'
                )
        for report in (CrashReport(0, 'i-1'), CrashReport(2**64 - 1, 'i/1')):
            with self.subTest(report=report):
                self.assertEqual(
                    decode_item(crash_key(report), b''), CrashStored(report)
                )

    def test_trials(self) -> None:
        """A claim names a 64-bit fingerprint and a positive number."""
        for key in (
            'trial/00000000000000ff',
            'trial/00000000000000ff/',
            'trial/00000000000000ff/0',
            'trial/00000000000000ff/-1',
            'trial/00000000000000ff/1/1',
            'trial/00000000000000ff/99999',
            'trial/00000000000000ff/\u0661',
            'trial/xyz/1',
        ):
            with self.subTest(key=key):
                self.assert_unreadable(f'crashes/{key}', b'', 'in the key')
        report = TrialReport(2**64 - 1, 9999)
        self.assertEqual(
            decode_item(crash_key(report), b''), CrashStored(report)
        )

    def test_hosts(self) -> None:
        """The record of a host has a data centre and an address."""
        for field, odd in (
            ('data_centre', None),
            ('data_centre', 7),
            ('peer_address', None),
            ('peer_address', HUGE),
            ('peer_address', ['127.0.0.1:80']),
        ):
            with self.subTest(field=field, odd=str(odd)[:40]):
                self.assert_unreadable(
                    'hosts/h-1', make_host(**{field: odd}), field
                )

    def test_target_numbers(self) -> None:
        """A number that no target can have makes its entry unreadable."""
        for field, numbers in ODD_TARGET_NUMBERS:
            for number in numbers:
                with self.subTest(field=field, number=str(number)[:40]):
                    self.assert_unreadable(
                        'servers/i-1',
                        make_registration(**{field: number}),
                        field,
                    )

    def test_configuration_numbers(self) -> None:
        """A number without sense makes the configuration unreadable."""
        for number in ODD_VERSIONS:
            with self.subTest(field='version', number=str(number)[:40]):
                self.assert_unreadable(
                    'op/config', make_configuration(version=number), 'version'
                )
        for part, table in (
            ('route', ODD_ROUTE_NUMBERS),
            ('service', ODD_SERVICE_NUMBERS),
            ('limits', ODD_LIMIT_NUMBERS),
        ):
            for field, numbers in table:
                for number in numbers:
                    with self.subTest(field=field, number=str(number)[:40]):
                        name = 'backends' if field == 'weight' else field
                        encoded = make_configuration(**{part: {name: number}})
                        self.assert_unreadable('op/config', encoded, field)

    def test_no_destination(self) -> None:
        """A route without a service to send to cannot be followed."""
        routes: tuple[dict[str, object], ...] = (
            {'service': None},
            {'service': None, 'gather': []},
            {'service': None, 'backends': []},
        )
        for route in routes:
            with self.subTest(route=route):
                self.assert_unreadable(
                    'op/config', make_configuration(route), 'has no service'
                )

    def test_accepted_numbers(self) -> None:
        """Numbers at the ends of the ranges are accepted."""
        for registration in (
            {'concurrencyLimit': 1, 'warmupLeftMs': 0, 'born': 0},
            {'concurrencyLimit': 1_000_000, 'warmupLeftMs': 86_400_000},
            {'warmupLeftMs': -1, 'born': 1_796_000_000_000},
        ):
            with self.subTest(registration=registration):
                decoded = decode_item(
                    'servers/i-1', make_registration(**registration)
                )
                self.assertIsInstance(decoded, TargetStored)
        for route in (
            {'targetLatencyMs': 0, 'maxAttempts': 0, 'priority': 0},
            {'gather': ['s-1'], 'topK': 0, 'minCoverage': 0},
            {'gather': ['s-1'], 'topK': 1000, 'minCoverage': 1},
            {'backends': [{'service': 's-1', 'weight': 0}]},
        ):
            with self.subTest(route=route):
                encoded = make_configuration(
                    route,
                    {'maxConnections': 0, 'warmupPerS': 0},
                    {'maxBodyBytes': 0},
                )
                decoded = decode_item('op/config', encoded)
                self.assertIsInstance(decoded, ConfigurationStored)

    def test_last_configuration_stays(self) -> None:
        """An unreadable configuration leaves the last one in force."""
        state = make_cluster_state()
        for encoded in (
            make_configuration(),
            make_configuration({'timeoutMs': -1}, version=8),
        ):
            fact = decode_item('op/config', encoded)
            assert fact is not None
            state.apply(fact, 1)
        assert state.table is not None
        self.assertEqual(state.table.version, 7)
