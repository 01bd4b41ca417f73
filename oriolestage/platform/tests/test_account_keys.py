"""Tests of keys and accounts from the caller's bytes to the target's."""

import asyncio
import contextlib
import logging
import unittest
from unittest.mock import patch

from oriolestage._logging import LineFormatter
from oriolestage.platform.tests.account_hosts import (
    ACCOUNT,
    HOST,
    KEY,
    PUBLIC_PATH,
    QUERY_PATH,
    SINGLE_PATH,
    AccountHost,
)
from oriolestage.platform.tests.served_callers import (
    CALLER_TIMEOUT_S,
    ask,
    parse_fields,
    status_of,
)
from oriolestage.routing import _connection_ages

OTHER_KEY = 'kiosk-key-2'
AUTHORIZED = (f'Authorization: Bearer {KEY}',)
PATHS = (SINGLE_PATH, QUERY_PATH, PUBLIC_PATH)


def _encode(path: str, lines: tuple[str, ...], *, last: bool = True) -> bytes:
    closing = ('Connection: close',) if last else ()
    fields = (f'Host: {HOST}', 'Attempt-Id: a', *lines, *closing)
    return '\r\n'.join((f'GET {path} HTTP/1.1', *fields, '', '')).encode()


class AccountKeyTest(unittest.IsolatedAsyncioTestCase):
    """A target learns the account of a request, and never its key."""

    async def _ask(self, host: AccountHost, path: str, *lines: str) -> int:
        received = await ask(host.address, (_encode(path, lines),))
        return status_of(received)

    async def test_account_reaches_target(self) -> None:
        """Guards against keys that are passed on and accounts that are not.

        All paths to a target are covered: directly, and through another host
        for a single service and for the shards of a query.
        """
        logged = ''
        for relayed in (False, True):
            host = AccountHost()
            with patch('oriolestage._logging.logging.info') as info:
                async with host.running(relayed=relayed):
                    host.configure()
                    for path in PATHS:
                        status = await self._ask(host, path, *AUTHORIZED)
                        self.assertEqual(status, 200, (path, relayed))
            logged += str(info.mock_calls)
            self.assertEqual(len(host.forwarded_heads), len(PATHS))
            for head in host.forwarded_heads:
                self.assertEqual(parse_fields(head)[b'tenant'], b'kiosks')
                self.assertNotIn(KEY.encode(), head)
                self.assertNotIn(b'authorization', head.lower())
        self.assertIn('request_done', logged)
        self.assertNotIn(KEY, logged)

    async def test_invalid_header(self) -> None:
        """Guards against keys in the log of the parser of requests."""
        host = AccountHost()
        lines = (
            f'Authorization: Bearer {KEY}\x01',
            f'Authorization: Bearer \'{KEY}\x01"',
            f'Authorization : Bearer {KEY}',
        )
        with self.assertLogs('aiohttp.server', logging.ERROR) as logs:
            async with host.running(relayed=False):
                host.configure()
                for line in lines:
                    status = await self._ask(host, SINGLE_PATH, line)
                    self.assertEqual(status, 400)
        self.assertEqual(len(logs.records), len(lines))
        for record in logs.records:
            logged = LineFormatter().format(record)
            self.assertIn('Invalid header', logged)
            self.assertNotIn(KEY, logged)

    async def test_forged_account(self) -> None:
        """Guards against accounts that callers state themselves.

        ``Connection`` must remove neither the account's header nor leave the
        caller's in place.
        """
        forged = (
            ('Tenant: bank',),
            ('tENANT: bank', 'Tenant: other'),
            ('Tenant: bank', 'Connection: Tenant'),
            ('Connection: tenant, Authorization, X-Hop',),
        )
        for relayed in (False, True):
            host = AccountHost()
            async with host.running(relayed=relayed):
                host.configure()
                for lines in forged:
                    status = await self._ask(
                        host, SINGLE_PATH, *AUTHORIZED, *lines
                    )
                    self.assertEqual(status, 200)
                    await self._ask(host, PUBLIC_PATH, *lines)
            for number, head in enumerate(host.forwarded_heads):
                expected = int(number % 2 == 0)
                self.assertEqual(head.lower().count(b'\r\ntenant:'), expected)
                self.assertNotIn(b'bank', head)
                if expected:
                    self.assertIn(b'\r\nTenant: kiosks\r\n', head)

    async def test_refused_keys(self) -> None:
        """Guards against requests that run without the one key they need."""
        rejected: tuple[tuple[str, ...], ...] = (
            (),
            ('Authorization: Bearer',),
            ('Authorization: Bearer ',),
            (f'Authorization: {KEY}',),
            (f'Authorization: Basic {KEY}',),
            (f'Authorization: Bearer\t{KEY}',),
            (f'Authorization: Bearer {KEY.upper()}',),
            (f'Authorization: Bearer {KEY} {KEY}',),
            (f'Authorization: Bearer {KEY}, Bearer {KEY}',),
            ('Authorization: Bearer wrong', *AUTHORIZED),
            (*AUTHORIZED, f'authorization: Bearer {KEY}'),
            (f'Proxy-Authorization: Bearer {KEY}',),
            (f'Tenant: {ACCOUNT}',),
        )
        host = AccountHost()
        async with host.running(relayed=False):
            host.configure()
            for lines in rejected:
                with self.subTest(lines=lines):
                    status = await self._ask(host, SINGLE_PATH, *lines)
                    self.assertEqual(status, 401)
                    status = await self._ask(host, PUBLIC_PATH, *lines)
                    self.assertEqual(status, 200)
            unknown_route = await self._ask(host, '/none/')
        self.assertEqual(unknown_route, 404)
        self.assertEqual(len(host.forwarded_heads), len(rejected))
        for head in host.forwarded_heads:
            self.assertNotIn(b'tenant', head.lower())
            self.assertNotIn(KEY.encode(), head)

    async def test_scheme_case(self) -> None:
        """The scheme is compared without regard to case."""
        host = AccountHost()
        async with host.running(relayed=False):
            host.configure()
            for scheme in ('bearer', 'BEARER', 'bEaReR  '):
                status = await self._ask(
                    host, SINGLE_PATH, f'AUTHORIZATION: {scheme} {KEY}'
                )
                self.assertEqual(status, 200)

    async def test_challenge(self) -> None:
        """A 401 names the scheme, as RFC 9110 requires."""
        host = AccountHost()
        async with host.running(relayed=False):
            host.configure()
            received = await ask(host.address, (_encode(SINGLE_PATH, ()),))
        self.assertIn(b'\r\nWWW-Authenticate: Bearer\r\n', received)

    async def test_no_common_region(self) -> None:
        """Guards against an empty intersection that allows all regions."""
        host = AccountHost()
        account = {
            'name': ACCOUNT,
            'apiKeys': [KEY],
            'allowedRegions': ['region-b'],
        }
        async with host.running(relayed=False):
            host.configure(tenants=[account])
            status = await self._ask(host, SINGLE_PATH, *AUTHORIZED)
            self.assertEqual(status, 503)
            account['allowedRegions'] = ['region-a', 'region-b']
            host.configure(tenants=[account])
            status = await self._ask(host, SINGLE_PATH, *AUTHORIZED)
            self.assertEqual(status, 200)
        self.assertEqual(len(host.forwarded_heads), 1)

    async def test_without_accounts(self) -> None:
        """Guards against changed headers where there are no accounts."""
        lines = (*AUTHORIZED, 'Tenant: bank')
        host = AccountHost()
        async with host.running(relayed=False):
            host.configure(tenants=[])
            await self._ask(host, SINGLE_PATH, *lines)
            await self._ask(host, SINGLE_PATH)
        heads = host.forwarded_heads
        self.assertEqual(len(heads), 2)
        for line in lines:
            self.assertIn(f'\r\n{line}\r\n'.encode(), heads[0])
        self.assertNotIn(b'tenant', heads[1].lower())


class ChangedKeysTest(unittest.IsolatedAsyncioTestCase):
    """Keys that are added or removed take effect on open connections."""

    @patch.object(_connection_ages, 'SETTLING_S', 0)
    async def test_open_connection(self) -> None:
        """Guards against keys that are remembered for a connection."""
        host = AccountHost()
        async with host.running(relayed=False):
            host.configure()
            reader, writer = await asyncio.open_connection(*host.address)
            with contextlib.closing(writer):
                for keys, accepted in (
                    ((KEY,), (KEY,)),
                    ((OTHER_KEY,), (OTHER_KEY,)),
                    ((KEY, OTHER_KEY), (KEY, OTHER_KEY)),
                    ((), ()),
                ):
                    account = {'name': ACCOUNT, 'apiKeys': keys}
                    host.configure(tenants=[account])
                    for key in (KEY, OTHER_KEY):
                        line = f'Authorization: Bearer {key}'
                        writer.write(_encode(SINGLE_PATH, (line,), last=False))
                        status = await _read_status(reader)
                        expected = 200 if key in accepted else 401
                        self.assertEqual(status, expected)


async def _read_status(reader: asyncio.StreamReader) -> int:
    """Return the status of the next answer, which is read whole."""
    async with asyncio.timeout(CALLER_TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(int(parse_fields(head)[b'content-length']))
    return status_of(head)
