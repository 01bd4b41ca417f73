"""One entry host as a process, with a store, targets and callers around it."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import random
import signal
import socket
import sys
import tempfile
import time
import types
from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec
from aiohttp import web

from oriolestage.platform import _names
from oriolestage.platform.tests.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parents[3]
#: Port that is bound as a lock on the loopback address of a host.
LOCK_PORT = 7999
CALLER_PORT = 8104
READY_PORT = 8108
#: Time from SIGTERM to SIGKILL, in seconds.
GRACE_S = 6.0
#: Time within which a host has to be ready, and interval of asking, in seconds.
START_TIMEOUT_S = 10.0
READY_CHECK_S = 0.02
#: Pause of a caller after its connection was refused, in seconds.
RECONNECT_PAUSE_S = 0.1
NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})
SERVICE = 'bookings'
#: Time for which the target works on one request, in seconds.
WORK_HEADER = 'Work-S'
HOST_NAME = 'book.example'


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller and how it ended."""

    request_id: str
    #: The bytes of the request.
    request: bytes
    #: Monotonic time at which it was prepared to be sent.
    sent_at: float
    #: Status of the complete answer; 0 without one.
    status: int = 0
    #: Monotonic time at which the answer or the end of the connection came.
    ended_at: float = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class SlowTarget:
    """A target whose work takes the times of a list, one after another."""

    def __init__(self, work_s: Iterable[float]) -> None:
        """Create a target that does not listen yet."""
        self._work_s = itertools.cycle(work_s)
        #: Identifiers of the requests that it got, in order.
        self.received: list[str] = []
        self.address = ''
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=0.1
        )

    async def start(self) -> None:
        """Listen on a free port."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        await self._runner.setup()
        await web.SockSite(self._runner, listener).start()

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        request_id = request.headers.get(_names.REQUEST_ID_HEADER, '')
        if request_id:
            self.received.append(request_id)
            work_s = request.headers.get(WORK_HEADER) or next(self._work_s)
            await asyncio.sleep(float(work_s))
        return web.Response(
            body=b'booked',
            headers={
                _names.REQUEST_ID_HEADER: request_id,
                _names.SIGNATURE_HEADER: f'stamp.{request_id}',
            },
        )


class StoppedHost:
    """An entry host of its own process, on a loopback address of its own."""

    def __init__(
        self,
        work_s: Iterable[float],
        *,
        repeatable: bool = False,
        timeout_ms: int = 3000,
    ) -> None:
        """Prepare a host with one target and one route to it."""
        self.store = PlatformStore()
        self.target = SlowTarget(work_s)
        self.exchanges: list[Exchange] = []
        #: Monotonic time of the stop signal.
        self.stopped_at = float('inf')
        self.process: asyncio.subprocess.Process | None = None
        self.ip = ''
        self.name = 'host-1'
        self._repeatable = repeatable
        self._timeout_ms = timeout_ms
        self._numbers = itertools.count(1)
        self._folder = tempfile.TemporaryDirectory()
        self._lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    @property
    def log(self) -> str:
        """The log of the host so far."""
        return self._log_path.read_text('utf-8')

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of one event in the log."""
        return [
            line
            for line in self.log.splitlines()
            if f'event={event} ' in f'{line} '
        ]

    async def start(self, *, wait_ready: bool = True) -> None:
        """Start everything and wait until the host is ready."""
        self._reserve_address()
        await self.store.start()
        await self.target.start()
        self.store.write(_names.CONFIGURATION_KEY, self._configuration())
        self.store.write('servers/t-1', self._registration())
        await self.start_process()
        if wait_ready:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready():
                    await asyncio.sleep(READY_CHECK_S)

    async def start_process(self) -> None:
        """Start the process of the host."""
        settings = Path(self._folder.name) / 'settings.yaml'
        # JSON is YAML.
        settings.write_bytes(msgspec.json.encode(self._settings()))
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-S',
                '-m',
                'oriolestage.platform',
                cwd=ROOT,
                env={
                    **os.environ,
                    'PYTHONPATH': os.pathsep.join(filter(None, sys.path)),
                    _names.SETTINGS_VARIABLE: str(settings),
                },
                stdout=log,
                stderr=log,
            )

    async def close(self) -> None:
        """End everything that still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.target.close()
        await self.store.close()
        self._lock.close()
        self._folder.cleanup()

    async def is_ready(self) -> bool:
        """Ask the host whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(b'GET /oriolestage/readyz HTTP/1.1\r\nHost: h\r\n\r\n')
            with contextlib.suppress(OSError):
                return b' 200 ' in await reader.readline()
        return False

    async def wait_connectable(self) -> None:
        """Wait until the host accepts checks, and so handles signals."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(
                        self.ip, READY_PORT
                    )
                    writer.close()
                    return
                await asyncio.sleep(READY_CHECK_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the host."""
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self) -> None:
        """Send SIGTERM, as at the start of a planned stop."""
        self.stopped_at = time.monotonic()
        self.send_signal(signal.SIGTERM)

    async def wait_end(self) -> tuple[int, float]:
        """Wait for the end of the process; kill it after the grace.

        Return its exit code and the time since the stop signal in seconds.
        """
        assert self.process is not None
        left_s = self.stopped_at + GRACE_S - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                code = await self.process.wait()
        except TimeoutError:
            self.process.kill()
            code = await self.process.wait()
        return code, time.monotonic() - self.stopped_at

    def unanswered(self) -> list[float]:
        """Return when requests were sent that the target got and that failed.

        The times are in seconds since the stop.
        """
        passed_on = set(self.target.received)
        return [
            exchange.sent_at - self.stopped_at
            for exchange in self.exchanges
            if exchange.request_id in passed_on and exchange.status != 200
        ]

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a caller."""
        return await asyncio.open_connection(self.ip, CALLER_PORT)

    def build_request(
        self, body: bytes = b'', headers: Mapping[str, str] = NO_HEADERS
    ) -> Exchange:
        """Return a request that is about to be sent."""
        request_id = f'a-{next(self._numbers)}'
        lines = [
            'POST /bookings/new HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'{_names.REQUEST_ID_HEADER}: {request_id}',
            f'Content-Length: {len(body)}',
            *(f'{name}: {text}' for name, text in headers.items()),
        ]
        request = '\r\n'.join([*lines, '', '']).encode() + body
        exchange = Exchange(request_id, request, time.monotonic())
        self.exchanges.append(exchange)
        return exchange

    async def read_answer(
        self, reader: asyncio.StreamReader, exchange: Exchange
    ) -> None:
        """Read the answer to a request, if there is one."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            first, *lines = head.decode().split('\r\n')
            for line in filter(None, lines):
                name, _, text = line.partition(':')
                exchange.headers[name.lower()] = text.strip()
            size = int(exchange.headers.get('content-length', '0'))
            await reader.readexactly(size)
            exchange.status = int(first.split()[1])
        except (asyncio.IncompleteReadError, OSError):
            exchange.status = 0
        exchange.ended_at = time.monotonic()

    async def exchange(
        self, headers: Mapping[str, str] = NO_HEADERS
    ) -> Exchange:
        """Send a request on a new connection and return how it ended."""
        reader, writer = await self.connect()
        with contextlib.closing(writer):
            exchange = self.build_request(headers=headers)
            writer.write(exchange.request)
            await self.read_answer(reader, exchange)
        return exchange

    async def call_back_to_back(self, until: float) -> None:
        """Send the next request as soon as one is answered.

        Keeps its connection; opens a new one when the host closes it, as if
        the balancer still chose this host.
        """
        while time.monotonic() < until:
            try:
                reader, writer = await self.connect()
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            with contextlib.closing(writer):
                await self._call_on(reader, writer, until)

    async def _call_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        until: float,
    ) -> None:
        while time.monotonic() < until:
            exchange = self.build_request(b'{}')
            writer.write(exchange.request)
            await self.read_answer(reader, exchange)
            await asyncio.sleep(float(exchange.headers.get('retry-after', 0)))
            closes = exchange.headers.get('connection', '') == 'close'
            if closes or not exchange.status:
                return

    @property
    def _log_path(self) -> Path:
        return Path(self._folder.name) / 'host.log'

    def _reserve_address(self) -> None:
        """Take a loopback address that no other test uses now."""
        while True:
            self.ip = (
                f'127.83.{random.randint(1, 250)}.{random.randint(1, 250)}'
            )
            with contextlib.suppress(OSError):
                self._lock.bind((self.ip, LOCK_PORT))
                return

    def _settings(self) -> dict[str, object]:
        return {
            'nodeName': self.name,
            'ip': self.ip,
            'zone': 'dc-a',
            'region': 'north',
            'zones': {'dc-a': 'north'},
            'endpoints': {
                'front': f'{self.ip}:{CALLER_PORT}',
                'ready': f'{self.ip}:{READY_PORT}',
            },
            'portRange': [7380, 7395],
            'bounds': {'graceS': GRACE_S, 'contactMs': 5000},
            'platform': {'address': self.store.address, 'form': 'kv'},
        }

    def _configuration(self) -> dict[str, object]:
        route_type = 'idempotent' if self._repeatable else 'non_idempotent'
        return {
            'version': 1,
            'routes': [
                {
                    'name': 'bookings',
                    'host': HOST_NAME,
                    'pathPrefix': '/bookings/',
                    'routeType': route_type,
                    'timeoutMs': self._timeout_ms,
                    'targetLatencyMs': 400,
                    'priority': 2,
                    'service': SERVICE,
                    'maxAttempts': 2,
                    'allowedRegions': [],
                },
            ],
            'services': [
                {
                    'name': SERVICE,
                    'healthPath': '/healthz',
                    'maxConnections': 96,
                    'warmupS': 3,
                    'warmupPerS': 0,
                },
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }

    def _registration(self) -> dict[str, object]:
        return {
            'service': SERVICE,
            'address': self.target.address,
            'zone': 'dc-a',
            'version': 'v1',
            'concurrencyLimit': 32,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': 1,
        }
