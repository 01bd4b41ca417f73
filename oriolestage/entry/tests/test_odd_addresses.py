"""Tests of addresses that no process can have."""

import asyncio
from unittest import IsolatedAsyncioTestCase, TestCase, mock

from oriolestage._addresses import (
    Address,
    parse_address,
    parse_remote_address,
)
from oriolestage.entry._connection_pool import NotConnectedError, connect
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry.tests.odd_addresses import (
    ODD_ADDRESSES,
    SHARED_ADDRESSES,
)


class ParsedAddressTest(TestCase):
    """An address is an IPv4 address and a port."""

    def test_parsed(self) -> None:
        """A valid address is split, and has one text form."""
        for text, expected in (
            ('10.0.0.1:80', Address('10.0.0.1', 80)),
            ('127.0.0.1:1', Address('127.0.0.1', 1)),
            ('255.255.255.254:65535', Address('255.255.255.254', 65_535)),
            ('10.0.0.1:00080', Address('10.0.0.1', 80)),
        ):
            with self.subTest(text=text):
                self.assertEqual(parse_address(text), expected)
        self.assertEqual(str(parse_address('10.0.0.1:00080')), '10.0.0.1:80')

    def test_odd(self) -> None:
        """Anything else is an error with a short text."""
        for text in ODD_ADDRESSES:
            with self.subTest(text=text):
                with self.assertRaises(ValueError) as caught:
                    parse_address(text)
                self.assertLess(len(str(caught.exception)), 200)

    def test_shared(self) -> None:
        """An address of several processes is one to listen on at most."""
        for text in SHARED_ADDRESSES:
            with self.subTest(text=text):
                self.assertEqual(str(parse_address(text)), text)
                with self.assertRaises(ValueError):
                    parse_remote_address(text)


class ConnectTest(IsolatedAsyncioTestCase):
    """Guards against an address whose error ends the task that connects."""

    async def test_odd_addresses(self) -> None:
        """No connection is made to an odd address, and no name looked up."""
        loop = asyncio.get_running_loop()
        for text in ODD_ADDRESSES:
            lookup = mock.patch.object(
                loop, 'getaddrinfo', side_effect=AssertionError(text)
            )
            with self.subTest(text=text), lookup:
                with self.assertRaises(NotConnectedError):
                    await connect(text, HeldBytes())
