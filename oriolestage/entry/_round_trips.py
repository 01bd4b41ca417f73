"""How long the way to the other end of a connection takes."""

import asyncio
import socket
import struct

#: Size of the kernel's report on a connection, and where the smoothed
#: round-trip time stands in it, in bytes (Linux, struct tcp_info).
TCP_INFO_BYTES = 104
ROUND_TRIP_OFFSET = 68
ROUND_TRIP = struct.Struct('=I')
US_PER_S = 1_000_000
#: Assumed where the kernel does not tell, in seconds: callers are in the same
#: region as their host.
DEFAULT_ROUND_TRIP_S = 0.006
#: Longest round trip that is believed, in seconds; a lost packet would
#: otherwise count as distance.
MAX_ROUND_TRIP_S = 0.05


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Give the time of the way there and back, in seconds."""
    connection = transport.get_extra_info('socket')
    if connection is None:
        return DEFAULT_ROUND_TRIP_S
    try:
        report = connection.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            TCP_INFO_BYTES,
        )
    except OSError:
        # Not all systems report on connections; the usual time will do.
        return DEFAULT_ROUND_TRIP_S
    if len(report) < ROUND_TRIP_OFFSET + ROUND_TRIP.size:
        return DEFAULT_ROUND_TRIP_S
    measured_s = ROUND_TRIP.unpack_from(report, ROUND_TRIP_OFFSET)[0] / US_PER_S
    return min(MAX_ROUND_TRIP_S, measured_s)
