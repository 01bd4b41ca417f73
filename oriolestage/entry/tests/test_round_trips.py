"""Tests of the round-trip time of a connection."""

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry._round_trips import (
    DEFAULT_ROUND_TRIP_S,
    MAX_ROUND_TRIP_S,
    ROUND_TRIP,
    ROUND_TRIP_OFFSET,
    TCP_INFO_BYTES,
    round_trip_s,
)


def _transport(report: bytes | OSError | None) -> asyncio.BaseTransport:
    connection = mock.Mock(spec=socket.socket)
    connection.getsockopt.side_effect = [report]
    transport = mock.Mock(spec=asyncio.Transport)
    transport.get_extra_info.return_value = connection
    if report is None:
        transport.get_extra_info.return_value = None
    return transport


def _report(round_trip_us: int) -> bytes:
    report = bytearray(TCP_INFO_BYTES)
    ROUND_TRIP.pack_into(report, ROUND_TRIP_OFFSET, round_trip_us)
    return bytes(report)


class RoundTripTest(IsolatedAsyncioTestCase):
    """The kernel's estimate is used if it is present and plausible."""

    def test_reports(self) -> None:
        """Missing, short and implausible reports give a bounded time."""
        cases = (
            ('measured', _report(6200), 0.0062),
            ('lost packet', _report(1_200_000), MAX_ROUND_TRIP_S),
            ('short', b'\0' * ROUND_TRIP_OFFSET, DEFAULT_ROUND_TRIP_S),
            ('not supported', OSError('no such option'), DEFAULT_ROUND_TRIP_S),
            ('no socket', None, DEFAULT_ROUND_TRIP_S),
        )
        for name, report, expected in cases:
            with self.subTest(name):
                measured_s = round_trip_s(_transport(report))
                self.assertAlmostEqual(measured_s, expected)

    async def test_loopback(self) -> None:
        """A loopback connection has a shorter round trip than the default."""
        listener = socket.create_server(('127.0.0.1', 0))
        server = await asyncio.start_server(lambda *_: None, sock=listener)
        host, port = listener.getsockname()
        _, writer = await asyncio.open_connection(host, port)
        measured_s = round_trip_s(writer.transport)
        self.assertLess(measured_s, DEFAULT_ROUND_TRIP_S)
        writer.close()
        server.close()
