"""Starts entry hosts with the command of the deploy file."""

import asyncio
import json
import os
import signal
import tomllib
from pathlib import Path
from types import MappingProxyType

ROOT = Path(__file__).resolve().parents[2]
#: Folders in which the locked packages may be, by preference.
PACKAGES = (
    ROOT / 'target' / 'deps',
    ROOT / '.venv' / 'lib' / 'python3.11' / 'site-packages',
)
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
        self, name: str, zone: str, ip: str, store: str, folder: Path
    ) -> None:
        """Create a host that does not run yet."""
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = f'{ip}:8104'
        self.ready = f'{ip}:8108'
        #: Time of the SIGTERM in the record; None before it.
        self.stopped_at: float | None = None
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f'{name}.yaml'
        self._log = folder / f'{name}.log'
        self._store = store

    async def start(self) -> None:
        """Write the settings, which are JSON and so YAML, and start."""
        self._settings.write_text(json.dumps(self._document()), 'utf-8')
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text('utf-8')
        )
        command = deploy['roles']['entry']['run'].split()
        packages = next(folder for folder in PACKAGES if folder.is_dir())
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
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
        self.stopped_at = None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

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
