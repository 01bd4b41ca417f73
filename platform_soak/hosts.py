"""Starts entry hosts with the command of the deploy file."""

import asyncio
import json
import os
import signal
import sys
import sysconfig
import tomllib
from pathlib import Path
from types import MappingProxyType

ROOT = Path(__file__).resolve().parents[1]
#: Folders in which the locked packages may be, by preference.
PACKAGES = (
    ROOT / 'target' / 'deps',
    Path(sysconfig.get_path('purelib')),
)
#: Name of the interpreter in the command of the deploy file.
INTERPRETER = 'python3'
#: Bounds of the small sites.
BOUNDS = MappingProxyType(
    {
        'seedLagS': 3,
        'reuseAfterS': 2,
        'contactMs': 5000,
        'ackTimeoutMs': 6000,
        'catchUpS': 4,
        'drainMs': 4000,
        'graceS': 6,
        'lossSlackMs': 200,
        'configApplyMs': 4000,
        'downgradeSlackMs': 250,
        'skewMaxMs': 15000,
        'retryBudget': 0.2,
        'budgetWindowS': 10,
        'retrySlack': 52,
        'warmupOverage': 1.5,
        'warmupSlack': 5,
        'evacuateMs': 5000,
        'recoveryS': 12,
    }
)
ZONES = MappingProxyType(
    {
        'marmara-a': 'marmara',
        'ege-a': 'ege',
        'ic-anadolu-a': 'ic-anadolu',
    }
)


class EntryHost:
    """One entry host, a process of the program under review."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store: str,
        folder: Path,
        first_build: Path = ROOT,
    ) -> None:
        """Create a host that does not run yet.

        Its first process runs the build in the folder ``first_build``, and
        those after it the one at hand.
        """
        self.name = name
        self._build = first_build
        self.zone = zone
        self.ip = ip
        self.front = f'{ip}:8104'
        self.ready = f'{ip}:8108'
        #: Time of the SIGTERM in the record; None before it.
        self.stopped_at: float | None = None
        #: Times of all stop signals, pauses and reloads, in the record.
        self.stops: list[float] = []
        self.pauses: list[tuple[float, float]] = []
        self.reloads: list[float] = []
        #: Whether its process was sent a signal that ends it.
        self.ending = False
        #: Rules that its settings list (``policies``).
        self.policies: tuple[str, ...] = ()
        self._peak_kb = 0
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f'{name}.yaml'
        self._log = folder / f'{name}.log'
        self._store = store

    async def start(self) -> None:
        """Write the settings, which are JSON and so YAML, and start."""
        self._settings.write_text(json.dumps(self._document()), 'utf-8')
        deploy = tomllib.loads(
            (self._build / 'deploy' / 'system.toml').read_text('utf-8')
        )
        command = host_command(deploy['roles']['entry']['run'])
        packages = next(folder for folder in PACKAGES if folder.is_dir())
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self._build,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(packages),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'ORIOLESTAGE_SETTINGS': str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
        self._build = ROOT
        self.stopped_at = None
        self.ending = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        self.peak_memory_kb()
        self.ending |= number in {signal.SIGTERM, signal.SIGKILL}
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def reload(self, now: float) -> None:
        """Send SIGHUP at a time of the record."""
        self.reloads.append(now)
        self.send(signal.SIGHUP)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it came in time."""
        if self.process is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            return False
        return True

    def peak_memory_kb(self) -> int:
        """Return the greatest memory of all its processes so far, in KB."""
        if self.process is not None and self.process.returncode is None:
            self._peak_kb = max(self._peak_kb, _memory_kb(self.process.pid))
        return self._peak_kb

    def unasked_end(self) -> int | None:
        """Return the id of a process that has ended by itself, or None."""
        process = self.process
        if process is None or process.returncode is None or self.ending:
            return None
        return process.pid

    @property
    def log_bytes(self) -> int:
        """Length of the log of all processes of the host so far."""
        return self._log.stat().st_size

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of the host's log with an event."""
        text = self._log.read_text('utf-8', 'replace')
        return [line for line in text.splitlines() if f'event={event}' in line]

    async def end(self) -> None:
        """Kill the process and wait for it."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()

    def _document(self) -> dict:
        return {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge'],
            'ip': self.ip,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': dict(ZONES),
            'endpoints': {'front': self.front, 'ready': self.ready},
            'portRange': [7380, 7395],
            'seeds': [],
            'bootstrap': True,
            'lossCounts': False,
            'limits': {'memoryMb': 300, 'maxFds': 4100},
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'policies': list(self.policies),
            'bounds': dict(BOUNDS),
            'platform': {
                'address': self._store,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }


def host_command(run: str) -> list[str]:
    """Return the words of a command, with this interpreter for ``python3``.

    The one on the search path may be another version, without the packages.
    """
    first, *others = run.split()
    return [sys.executable if first == INTERPRETER else first, *others]


def _memory_kb(pid: int) -> int:
    """Return the greatest memory of a process, in KB; 0 if it has ended."""
    try:
        text = Path(f'/proc/{pid}/status').read_text('utf-8')
    except (FileNotFoundError, ProcessLookupError):
        return 0
    for line in text.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1])
    return 0
