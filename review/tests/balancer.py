"""Stand-in for the platform's balancer: which host gets a new connection."""

import asyncio
import random

from hosts import EntryHost
from messages import encode, read_message

#: Interval of the readiness checks, in seconds.
CHECK_INTERVAL_S = 1.0
#: Misses in a row after which a host gets no new connections.
MISSES = 2


class Balancer:
    """Checks readiness and chooses hosts as the platform's page says."""

    def __init__(self, hosts: list[EntryHost], seed: int) -> None:
        """Start with no host in rotation.

        Hosts may be added until it is started.
        """
        self._hosts = hosts
        self._random = random.Random(seed)
        self._misses: dict[str, int] = {}
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Check each host once a second."""
        for host in self._hosts:
            self._misses[host.name] = MISSES
            self._tasks.append(asyncio.create_task(self._check(host)))

    def close(self) -> None:
        """Stop checking."""
        for task in self._tasks:
            task.cancel()

    def in_rotation(self, host: EntryHost) -> bool:
        """Return whether a host counts as ready."""
        return self._misses[host.name] < MISSES

    def choose(self, zone: str, avoided: str = '') -> EntryHost:
        """Return the host for a new connection of a client in a zone.

        If fewer than half of the zone's hosts are in rotation, all of them
        are used; if none is, hosts of other zones are.
        """
        own = [host for host in self._hosts if host.zone == zone]
        ready = [host for host in own if self.in_rotation(host)]
        if not ready:
            ready = [host for host in self._hosts if self.in_rotation(host)]
            ready = ready or own
        elif 2 * len(ready) < len(own):
            ready = own
        others = [host for host in ready if host.name != avoided]
        return self._random.choice(others or ready)

    async def _check(self, host: EntryHost) -> None:
        while True:
            if await _is_ready(host):
                self._misses[host.name] = 0
            else:
                self._misses[host.name] += 1
            await asyncio.sleep(CHECK_INTERVAL_S)


async def _is_ready(host: EntryHost) -> bool:
    ip, _, port = host.ready.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(CHECK_INTERVAL_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                encode(
                    'GET /oriolestage/readyz HTTP/1.1',
                    {'Host': host.ready, 'Connection': 'close'},
                )
            )
            response = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        if writer is not None:
            writer.close()
    return response.status == 200
