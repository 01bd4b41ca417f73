"""Starts, controls and ends the processes of a trial."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from pathlib import Path

import yaml

from oriolestage.tool import dump_document
from trial.exclusive import exclusive_addresses
from trial.http_calls import post, wait_for_http
from trial.layout import (
    BALANCER_IP,
    BALANCER_PORT,
    CALLERS_PORT,
    DATA_PORT,
    GOSSIP_PORT,
    LINKS_IP,
    LINKS_PORT,
    OPERATORS_PORT,
    PLATFORM_IP,
    PLATFORM_PORT,
    Layout,
    PlacedHost,
    PlacedTarget,
)

#: Time within which a process must end by itself, in seconds.
END_TIMEOUT_S = 20.0
#: Number of last log lines that ``Trial.describe`` returns.
SHOWN_LOG_LINES = 40


class Trial:
    """A query tier of daemons and the stand-ins around it, as processes."""

    def __init__(self, layout: Layout, folder: Path) -> None:
        """Prepare a trial that writes settings and logs to ``folder``."""
        self._layout = layout
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        #: Setting of every daemon; ``60min`` in effect disables the limit.
        self.freshness_limit = '3s'

    @property
    def layout(self) -> Layout:
        """The hosts, targets and configuration of the trial."""
        return self._layout

    @property
    def folder(self) -> Path:
        """The folder of settings and logs."""
        return self._folder

    @property
    def callers_url(self) -> str:
        """The URL at which callers reach the load balancer."""
        return f'http://{BALANCER_IP}:{BALANCER_PORT}'

    @property
    def platform_url(self) -> str:
        """The URL of the platform stand-in, also for control."""
        return f'http://{PLATFORM_IP}:{PLATFORM_PORT}'

    @property
    def links_url(self) -> str:
        """The URL for control of the network stand-in."""
        return f'http://{LINKS_IP}:{LINKS_PORT}'

    def host(self, name: str) -> PlacedHost:
        """Return the entry host called ``name``, or raise KeyError."""
        for host in self._layout.hosts:
            if host.name == name:
                return host
        raise KeyError(name)

    def operator_address(self, name: str) -> str:
        """Return the operator address of the host called ``name``."""
        return self.host(name).address(OPERATORS_PORT)

    def target(self, name: str) -> PlacedTarget:
        """Return the target called ``name``, or raise KeyError."""
        for placed in self._layout.targets:
            if placed.target.name == name:
                return placed
        raise KeyError(name)

    async def start(self) -> None:
        """Start all processes, wait until they are ready and configure the tier.

        Raise TimeoutError if a process is not ready in time.
        """
        await self._spawn(
            'platform',
            'stand_ins.platform',
            '--ip',
            PLATFORM_IP,
            '--port',
            str(PLATFORM_PORT),
        )
        address_pairs = ','.join(
            f'{host.advertised_ip}={host.ip}' for host in self._layout.hosts
        )
        await self._spawn(
            'links',
            'stand_ins.links',
            '--ip',
            LINKS_IP,
            '--port',
            str(LINKS_PORT),
            '--pairs',
            address_pairs,
            '--ports',
            f'{GOSSIP_PORT},{DATA_PORT}',
        )
        for placed in self._layout.targets:
            await self.start_target(placed.target.name)
        await wait_for_http(f'{self.platform_url}/report')
        await wait_for_http(f'{self.links_url}/report')
        await self.publish_hosts()
        for host in self._layout.hosts:
            await self.start_host(host.name)
        await self._spawn(
            'balancer',
            'stand_ins.balancer',
            '--ip',
            BALANCER_IP,
            '--port',
            str(BALANCER_PORT),
            '--hosts',
            self._join_addresses(CALLERS_PORT),
        )
        for placed in self._layout.targets:
            await wait_for_http(f'http://{placed.target.address}/report')
        for host in self._layout.hosts:
            await wait_for_http(
                f'http://{host.address(CALLERS_PORT)}/health/ready',
            )
        await wait_for_http(f'{self.callers_url}/health/ready')
        await self._apply_configuration()

    async def start_target(self, name: str, *, warm: bool = False) -> None:
        """Start the stand-in of one target, cold unless ``warm``."""
        placed = self.target(name)
        target = placed.target
        ip, port = target.address.rsplit(':', 1)
        arguments = [
            '--ip',
            ip,
            '--port',
            port,
            '--name',
            target.name,
            '--service',
            target.service,
            '--slots',
            str(target.slots),
            '--connections',
            str(target.connections),
            '--connect-ms',
            str(placed.connect_ms),
            '--key-range',
            f'{placed.key_start}-{placed.key_end}',
            '--log',
            str(self._folder / f'{target.name}.jsonl'),
        ]
        if warm:
            arguments.append('--warm')
        await self._spawn(name, 'stand_ins.target', *arguments)

    async def start_host(self, name: str) -> None:
        """Write the settings of one daemon and start it."""
        host = self.host(name)
        settings = self._folder / f'{name}.yaml'
        settings.write_text(yaml.safe_dump(self._build_settings(host)))
        await self._spawn(name, 'oriolestage.daemon', str(settings))

    async def publish_hosts(
        self,
        leaving: frozenset[str] = frozenset(),
        lag_s: float = 0,
    ) -> None:
        """Set the platform's host list, with the names in ``leaving`` marked.

        The platform shows the new list after ``lag_s`` seconds.
        """
        hosts = [
            {
                'name': host.name,
                'kind': 'entry',
                'address': host.advertised_address(GOSSIP_PORT),
                'data_centre': host.data_centre,
                'leaving': host.name in leaving,
            }
            for host in self._layout.hosts
        ]
        targets = [
            {
                'name': placed.target.name,
                'kind': 'target',
                'address': placed.target.address,
                'data_centre': placed.target.data_centre,
                'leaving': placed.target.name in leaving,
            }
            for placed in self._layout.targets
        ]
        await post(
            f'{self.platform_url}/control',
            {'hosts': {'hosts': hosts + targets}, 'lag_s': lag_s},
        )

    async def operate(
        self,
        *words: str,
        hosts: str = '',
        operator: str = 'trial',
    ) -> tuple[int, str]:
        """Run the operator tool and return its exit code and output.

        ``words`` are the command; ``hosts`` defaults to all entry hosts.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'oriolestage.tool',
            '--host',
            hosts or self._join_addresses(OPERATORS_PORT),
            '--operator',
            operator,
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to the process called ``name``."""
        self._processes[name].send_signal(signal_number)

    def process(self, name: str) -> asyncio.subprocess.Process:
        """Return the process called ``name``."""
        return self._processes[name]

    def describe(self, name: str) -> str:
        """Return a text with the exit code and last log lines of a process."""
        log = (self._folder / f'{name}.log').read_text('utf-8', 'replace')
        last_lines = '\n'.join(log.splitlines()[-SHOWN_LOG_LINES:])
        code = self._processes[name].returncode
        return f'{name}: exit code {code}, last log lines:\n{last_lines}'

    async def kill(self, name: str) -> None:
        """Kill a process, also one that is suspended, and wait for its end."""
        process = self._processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.kill()
        await process.wait()

    async def stop_host(self, name: str) -> int:
        """Shut a daemon down with SIGTERM and return its exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return await process.wait()

    async def close(self) -> None:
        """Kill all processes that still run."""
        for name in tuple(self._processes):
            await self.kill(name)

    async def _apply_configuration(self) -> None:
        path = self._folder / 'configuration.yaml'
        path.write_text(dump_document(self._layout.configuration))
        code, output = await self.operate('apply', str(path))
        if code:
            raise RuntimeError(f'apply failed ({code}): {output}')

    def _join_addresses(self, port: int) -> str:
        return ','.join(host.address(port) for host in self._layout.hosts)

    def _build_settings(self, host: PlacedHost) -> dict[str, object]:
        platform = f'{PLATFORM_IP}:{PLATFORM_PORT}'
        return {
            'name': host.name,
            'data_centre': host.data_centre,
            'listen': {
                'callers': host.address(CALLERS_PORT),
                'operators': host.address(OPERATORS_PORT),
                'gossip': host.address(GOSSIP_PORT),
                'data': host.address(DATA_PORT),
            },
            'advertise_gossip': host.advertised_address(GOSSIP_PORT),
            'advertise_data': host.advertised_address(DATA_PORT),
            'platform': {'store': platform, 'host_list': platform},
            'seeds': [
                other.advertised_address(GOSSIP_PORT)
                for other in self._layout.hosts
            ],
            'freshness_limit': self.freshness_limit,
            'stop': {'notice': '1s', 'deadline': '10s'},
        }

    async def _spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self._folder / f'{name}.log').open('ab') as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
                start_new_session=True,
            )


@contextlib.asynccontextmanager
async def running_trial(
    layout: Layout,
    keep_logs: Path | None = None,
    freshness_limit: str = '3s',
):
    """Run a trial within a context and kill its processes afterwards.

    Wait first for other trials of this machine to end. Settings and logs stay
    in ``keep_logs`` if it is given.
    """
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(exclusive_addresses())
        temporary = stack.enter_context(
            tempfile.TemporaryDirectory(prefix='oriolestage-'),
        )
        folder = keep_logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        trial = Trial(layout, folder)
        trial.freshness_limit = freshness_limit
        stack.push_async_callback(trial.close)
        await trial.start()
        yield trial
