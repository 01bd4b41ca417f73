"""A small deployment for one case, built from the project's stand-ins."""

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from types import MappingProxyType

from platform_soak.balancer import Balancer
from platform_soak.clients import Clients
from platform_soak.deployment import claim_net, net_of
from platform_soak.hosts import EntryHost
from platform_soak.record import Record
from platform_soak.servers import Server
from platform_soak.store import Store

#: The hosts of the small site, by zone.
HOSTS: Mapping[str, int] = MappingProxyType(
    {'marmara-a': 2, 'ege-a': 3, 'ic-anadolu-a': 1}
)
#: Longest time until all hosts are ready, in seconds.
START_S = 15.0
#: Longest time for which a case runs, in seconds.
LONGEST_S = 110
#: Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case did not come to its point, so that it shows nothing."""


class Host(EntryHost):
    """An entry host whose settings a case may add to."""

    more_settings: Mapping[str, object] = {}

    def _document(self) -> dict:
        document = super()._document()
        for name, fields in self.more_settings.items():
            if isinstance(fields, Mapping):
                document[name] = {**document[name], **fields}
            else:
                document[name] = fields
        return document


class Lab:
    """The store, the servers, the hosts and the clients of a case."""

    def __init__(
        self, seed: int, more_settings: Mapping[str, object] | None = None
    ) -> None:
        """Create a deployment that does not run yet."""
        self.record = Record()
        self.store = Store(self.record)
        self.servers: list[Server] = []
        self.hosts: list[Host] = []
        self.balancer = Balancer(self.hosts, seed)
        self.clients = Clients(self.balancer, self.record)
        self._more_settings = dict(more_settings or {})
        self._folder = tempfile.TemporaryDirectory()
        self._claim = claim_net(random.Random())
        self.net = net_of(self._claim)
        self._stores: dict[str, str] = {}

    async def start(self, config: dict, spare: tuple[str, str] | None) -> None:
        """Start all parts but the host ``spare``, a name with its zone."""
        names = [
            (f'edge-{zone}-{number}', zone)
            for zone, count in HOSTS.items()
            for number in range(1, count + 1)
        ]
        first = list(names)
        if spare is not None:
            names.append(spare)
        self._stores = await self.store.start(
            f'{self.net}.1', [name for name, _ in names]
        )
        await self.store.put('op/config', config)
        for number, (name, zone) in enumerate(names, 10):
            self.hosts.append(self._build_host(name, zone, number))
        for host in self.hosts[: len(first)]:
            await host.start()
        self.balancer.start()
        await self.wait_ready(self.hosts[: len(first)])

    async def add_server(
        self, service: str, zone: str, slots: int, work_s: float
    ) -> Server:
        """Start a server of a service."""
        server = Server(
            self.record, self.store, service, zone, f'{self.net}.2', slots
        )
        server.work_s = work_s
        self.servers.append(server)
        await server.start()
        return server

    async def wait_ready(self, hosts: list[Host]) -> None:
        """Wait until the balancer counts hosts as ready."""
        try:
            async with asyncio.timeout(START_S):
                while not all(map(self.balancer.in_rotation, hosts)):
                    await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise CannotRunError('hosts are not ready') from error

    def host(self, name: str) -> Host:
        """Return the host with a name."""
        return next(host for host in self.hosts if host.name == name)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(
            *(host.end() for host in self.hosts), return_exceptions=True
        )
        self.balancer.close()
        for server in self.servers:
            server.close()
        self.store.close()
        self._claim.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for log in Path(self._folder.name).glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    def _build_host(self, name: str, zone: str, number: int) -> Host:
        host = Host(
            name,
            zone,
            f'{self.net}.{number}',
            self._stores[name],
            Path(self._folder.name).resolve(),
        )
        host.more_settings = self._more_settings
        return host


#: Plays a case and returns what broke the rule, a line for each.
Play = Callable[[Lab], Awaitable[list[str]]]


def has_trouble() -> bool:
    """Return whether the disruption of the case is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(lab: Lab, play: Play, folder: Path) -> None:
    """Play a case, write its record and exit with its status."""
    sys.exit(asyncio.run(_run(lab, play, folder)))


async def _run(lab: Lab, play: Play, folder: Path) -> int:
    problem = ''
    broken: list[str] = []
    loop = asyncio.get_running_loop()
    # Handlers of the stand-ins that are cancelled at the end are not errors.
    loop.set_exception_handler(lambda *_: None)
    playing = asyncio.ensure_future(play(lab))
    loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            broken = await playing
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        # None of them is a verdict on the rule.
        problem = f'could not run: {error!r}'
    finally:
        await lab.close()
        lab.record.write(folder / 'record.txt')
    verdicts = [problem] if problem else broken or ['the rule held']
    with (folder / 'record.txt').open('a', encoding='utf-8') as record:
        for line in verdicts:
            record.write(f'{line}\n')
            sys.stdout.write(f'{line}\n')
    if problem:
        return NOT_RUN
    return BROKEN if broken else HELD
