"""A small deployment: store, entry hosts, servers, balancer and clients."""

import asyncio
import errno
import random
import socket
import tempfile
import types
from collections.abc import Mapping
from pathlib import Path

from platform_soak.balancer import Balancer
from platform_soak.builds import check_out
from platform_soak.clients import Clients
from platform_soak.hosts import ROOT, EntryHost
from platform_soak.record import Record
from platform_soak.servers import Server
from platform_soak.store import Store

#: Hosts of the small site in each zone.
HOSTS = types.MappingProxyType({'marmara-a': 2, 'ege-a': 3, 'ic-anadolu-a': 1})
#: Longest time until all hosts are ready, in seconds.
START_S = 12.0
#: Requests that a server runs at a time.
SLOTS = 4
USUAL_SLOTS: Mapping[str, int] = types.MappingProxyType({})
#: Ranges of the second and third byte of the loopback addresses of a run.
SECOND_BYTES = (16, 250)
THIRD_BYTES = (1, 250)
READY_CHECK_S = 0.1
#: Port whose listener on the first address of a run keeps others from it.
CLAIM_PORT = 8099


class NotStartedError(Exception):
    """The deployment did not become ready, so the case cannot run."""


class Deployment:
    """The processes and stand-ins of one case."""

    def __init__(
        self,
        seed: int,
        logs: Path | None = None,
        slots: Mapping[str, int] = USUAL_SLOTS,
        production: str = '',
    ) -> None:
        """Create a deployment that does not run yet.

        Settings and logs of the hosts go to the folder ``logs``, or to one
        that is removed at the end. ``slots`` has the number of requests that
        a server runs at a time, by service, where it is not `SLOTS`.
        ``production`` is the commit that the hosts run at first; empty for
        the build at hand.
        """
        self._slots = slots
        self._production = production
        self.record = Record()
        self.store = Store(self.record)
        self.servers: list[Server] = []
        #: Rules that the settings of all hosts list.
        self.policies: tuple[str, ...] = ()
        self.hosts: list[EntryHost] = []
        self._folder = tempfile.TemporaryDirectory()
        # Processes of an earlier build have another working folder.
        self._logs = (logs or Path(self._folder.name)).resolve()
        #: Hosts have addresses of their own, since their ports are the same.
        self._claim = claim_net(random.Random())
        self._net = net_of(self._claim)
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
        first_build = ROOT
        if self._production:
            folder = Path(self._folder.name) / 'production'
            first_build = check_out(self._production, folder)
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
                slots = self._slots.get(service, SLOTS)
                await self.build_server(service, zone, slots).start()
        for number, (name, zone) in enumerate(names, 10):
            host = EntryHost(
                name,
                zone,
                f'{self._net}.{number}',
                stores[name],
                self._logs,
                first_build,
            )
            host.policies = self.policies
            self.hosts.append(host)
            await host.start()
        self.balancer.start()
        await self._wait_ready()

    def build_server(
        self, service: str, zone: str, slots: int = SLOTS
    ) -> Server:
        """Return a new server that does not run yet."""
        server = Server(
            self.record,
            self.store,
            service,
            zone,
            f'{self._net}.2',
            slots,
        )
        self.servers.append(server)
        return server

    async def close(self) -> None:
        """End all processes and stand-ins."""
        ends = [host.end() for host in self.hosts]
        problems = await asyncio.gather(*ends, return_exceptions=True)
        self.balancer.close()
        for server in self.servers:
            server.close()
        self.store.close()
        self._folder.cleanup()
        self._claim.close()
        for problem in problems:
            if problem is not None:
                raise problem

    async def _wait_ready(self) -> None:
        try:
            async with asyncio.timeout(START_S):
                while not all(map(self.balancer.in_rotation, self.hosts)):
                    await asyncio.sleep(READY_CHECK_S)
        except TimeoutError as error:
            raise NotStartedError('hosts are not ready') from error


def claim_net(draw: random.Random) -> socket.socket:
    """Return a socket on a net that no other run has until it is closed."""
    while True:
        net = f'127.{draw.randint(*SECOND_BYTES)}.{draw.randint(*THIRD_BYTES)}'
        claim = socket.socket()
        try:
            claim.bind((f'{net}.1', CLAIM_PORT))
        except OSError as error:
            claim.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return claim


def net_of(claim: socket.socket) -> str:
    """Return the first three bytes of the addresses of a net."""
    ip: str = claim.getsockname()[0]
    return ip.rpartition('.')[0]
