"""Open connections that wait for their next request.

The platform's store is called over them as well as the targets.
"""

import asyncio

from oriolestage._addresses import parse_address
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._target_connection import TargetConnection

#: Timeout for connecting to a target, in seconds. A round trip between
#: regions takes about 40 ms; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 0.3
#: Idle time after which a connection is closed, in seconds. Targets close
#: idle connections themselves after a few seconds.
IDLE_TIMEOUT_S = 4.0


#: A connection and the loop time since which it is idle.
_Idle = tuple[float, TargetConnection]


class NotConnectedError(Exception):
    """The connection was not established, so nothing was sent."""


class ConnectionPool:
    """Keeps connections by address; the one used last is used first."""

    def __init__(self) -> None:
        """Create a pool without connections."""
        self._idle: dict[str, list[_Idle]] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Close all idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for connections in self._idle.values():
            for _, connection in connections:
                connection.abort()
        self._idle.clear()

    def take(self, address: str) -> TargetConnection | None:
        """Return an idle connection that can be used; None if there is none."""
        connections = self._idle.get(address, [])
        horizon = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        while connections:
            idle_since, connection = connections.pop()
            if idle_since >= horizon and connection.is_reusable:
                return connection
            connection.abort()
        return None

    def put(self, address: str, connection: TargetConnection) -> None:
        """Keep a connection after its exchange, if it can be reused."""
        if not connection.is_reusable:
            connection.abort()
            return
        loop = asyncio.get_running_loop()
        self._idle.setdefault(address, []).append((loop.time(), connection))
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(IDLE_TIMEOUT_S, self._sweep)

    def _sweep(self) -> None:
        """Close connections that were idle for too long."""
        loop = asyncio.get_running_loop()
        horizon = loop.time() - IDLE_TIMEOUT_S
        for address, connections in tuple(self._idle.items()):
            kept: list[_Idle] = []
            for idle_since, connection in connections:
                if idle_since >= horizon and connection.is_reusable:
                    kept.append((idle_since, connection))
                else:
                    connection.abort()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)
        self._sweep_timer = None
        if self._idle:
            self._sweep_timer = loop.call_later(IDLE_TIMEOUT_S, self._sweep)


async def connect(
    address: str, held: HeldBytes, timeout_s: float = CONNECT_TIMEOUT_S
) -> TargetConnection:
    """Open a connection to an address, given as ``ip:port``.

    ``held`` counts the bytes that all connections hold. Raises
    :class:`NotConnectedError` if that fails or takes longer than
    ``timeout_s`` seconds, or if ``address`` is none.
    """
    loop = asyncio.get_running_loop()
    try:
        peer = parse_address(address)
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(loop, held), peer.ip, peer.port
            )
    except (OSError, TimeoutError, ValueError) as error:
        raise NotConnectedError(f'{address}: {error!r}') from error
    return connection
