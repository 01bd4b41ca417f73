"""A small deployment: store, entry hosts, servers, balancer and clients."""

import asyncio
import random
import tempfile
from pathlib import Path
from types import MappingProxyType

from balancer import Balancer
from clients import Clients
from hosts import EntryHost
from record import Record
from servers import Server
from store import Store

#: Hosts of the small site in each zone.
HOSTS = MappingProxyType({'marmara-a': 2, 'ege-a': 3, 'ic-anadolu-a': 1})
#: Longest time until all hosts are ready, in seconds.
START_S = 12.0
READY_CHECK_S = 0.1


class NotStartedError(Exception):
    """The deployment did not become ready, so the case cannot run."""


class Deployment:
    """The processes and stand-ins of one case."""

    def __init__(self, seed: int) -> None:
        """Create a deployment that does not run yet."""
        self.record = Record()
        self.store = Store(self.record)
        self.servers: list[Server] = []
        self.hosts: list[EntryHost] = []
        self._folder = tempfile.TemporaryDirectory()
        draw = random.Random()
        #: Hosts have addresses of their own, since their ports are the same.
        self._net = f'127.{draw.randint(16, 250)}.{draw.randint(1, 250)}'
        self.balancer = Balancer(self.hosts, seed)
        self.clients = Clients(self.balancer, self.record)

    async def start(
        self,
        config: dict,
        servers: dict[str, list[str]],
        late_registrations: dict[str, float] | None = None,
    ) -> None:
        """Start all parts.

        ``servers`` has the zones of the servers of each service;
        ``late_registrations`` is for the store.
        """
        self.store.late_registrations = dict(late_registrations or {})
        names = [
            (f'edge-{zone}-{number}', zone)
            for zone, count in HOSTS.items()
            for number in range(1, count + 1)
        ]
        stores = await self.store.start(
            f'{self._net}.1', [name for name, _ in names]
        )
        await self.store.put('op/config', config)
        for service, zones in servers.items():
            for zone in zones:
                await self.build_server(service, zone).start()
        folder = Path(self._folder.name)
        for number, (name, zone) in enumerate(names, 10):
            host = EntryHost(
                name, zone, f'{self._net}.{number}', stores[name], folder
            )
            self.hosts.append(host)
            await host.start()
        self.balancer.start()
        await self._wait_ready()

    def build_server(self, service: str, zone: str) -> Server:
        """Return a new server that does not run yet."""
        server = Server(
            self.record, self.store, service, zone, f'{self._net}.2'
        )
        self.servers.append(server)
        return server

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            await host.end()
        self.balancer.close()
        for server in self.servers:
            server.close()
        self.store.close()
        self._folder.cleanup()

    async def _wait_ready(self) -> None:
        try:
            async with asyncio.timeout(START_S):
                while not all(map(self.balancer.in_rotation, self.hosts)):
                    await asyncio.sleep(READY_CHECK_S)
        except TimeoutError as error:
            raise NotStartedError('hosts are not ready') from error
