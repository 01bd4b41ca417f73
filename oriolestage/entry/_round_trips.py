"""Round-trip times of TCP connections, as the kernel estimates them."""

import asyncio
import socket
import struct

#: Part of ``struct tcp_info`` (Linux) that is read, and the offset of the
#: smoothed round-trip time ``tcpi_rtt`` in it, in bytes.
TCP_INFO_BYTES = 104
ROUND_TRIP_OFFSET = 68
ROUND_TRIP = struct.Struct('=I')
US_PER_S = 1_000_000
#: Round trip assumed if the kernel reports none, in seconds. Callers are in
#: the same region as their host.
DEFAULT_ROUND_TRIP_S = 0.006
#: Upper bound of a reported round trip, in seconds. Retransmission of a lost
#: packet raises the kernel's estimate far above the real round trip.
MAX_ROUND_TRIP_S = 0.05


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Return the round-trip time of a connection, in seconds."""
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
        # TCP_INFO is not available on all systems.
        return DEFAULT_ROUND_TRIP_S
    if len(report) < ROUND_TRIP_OFFSET + ROUND_TRIP.size:
        return DEFAULT_ROUND_TRIP_S
    measured_s = ROUND_TRIP.unpack_from(report, ROUND_TRIP_OFFSET)[0] / US_PER_S
    return min(MAX_ROUND_TRIP_S, measured_s)
