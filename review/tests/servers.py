"""Stand-in for a replica (server) of a service."""

import asyncio
import contextlib
import time
import uuid
from collections import deque

from messages import Message, encode, read_message
from record import Record
from store import Store

#: Interval of a server's writes to the store, in seconds (``heartbeatMs``).
BEAT_S = 1.2
#: Intervals of silence after which its entry is removed.
BEATS_TO_REMOVAL = 3
#: Requests that wait for a slot at a server before it sheds.
QUEUE = 12


class CrashError(Exception):
    """A request crashes the server that runs it."""


class Server:
    """One replica, which runs ``slots`` requests at a time."""

    def __init__(
        self,
        record: Record,
        store: Store,
        service: str,
        zone: str,
        ip: str,
        slots: int = 4,
    ) -> None:
        """Create a server that does not run yet."""
        self.service = service
        self.zone = zone
        self.identity = ''
        self.address = ''
        #: Time for which it works on a request, in seconds.
        self.work_s = 0.06
        #: Time for which it is cold after a start during traffic, in seconds.
        self.cold_s: float = 0
        #: Requests in one second beyond which it crashes while it is cold.
        self.cold_limit: float = float('inf')
        #: Paths of requests that crash it.
        self.crashing: set[str] = set()
        #: Called after a crash with this server.
        self.on_crash = None
        self._record = record
        self._store = store
        self._ip = ip
        self._slots = slots
        self._port = 0
        self._born = 0
        self._cold_until: float = 0
        #: Times of the arrivals in the last second while it was cold.
        self._arrivals: deque[float] = deque()
        self._sequence = 0
        self._state = 'ready'
        self._down = True
        self._running = 0
        self._free = asyncio.Condition()
        self._waiting = 0
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._served = 0

    async def start(self) -> None:
        """Listen and register as a new incarnation with a new id."""
        self.identity = f'i-{uuid.uuid4().hex[:8]}'
        self._born = int(time.time() * 1000)
        self._cold_until = time.monotonic() + self.cold_s
        self._arrivals.clear()
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._listener = await asyncio.start_server(
            self._serve, self._ip, self._port
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{self._ip}:{self._port}'
        self._down = False
        self._record.add(
            'server_up', server=self.identity, service=self.service
        )
        self._beats = asyncio.create_task(self._beat(self.identity))

    async def crash(self) -> None:
        """End without a word: connections are reset, the entry lapses."""
        self._down = True
        self._record.add('server_down', server=self.identity)
        self._stop_listening()
        asyncio.create_task(self._lapse(self.identity))

    def close(self) -> None:
        """End at the end of the case."""
        self._stop_listening()

    def _stop_listening(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _lapse(self, identity: str) -> None:
        await asyncio.sleep(BEAT_S * BEATS_TO_REMOVAL)
        await self._store.remove(f'servers/{identity}')

    async def _beat(self, identity: str) -> None:
        while True:
            self._sequence += 1
            cold_left_s = max(0, self._cold_until - time.monotonic())
            await self._store.put(
                f'servers/{identity}',
                {
                    'service': self.service,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v1',
                    'concurrencyLimit': self._slots,
                    'state': self._state,
                    'warmupLeftMs': int(cold_left_s * 1000),
                    'sequence': self._sequence,
                    'born': self._born,
                },
            )
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        identity = self.identity
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._handle(identity, request, reader))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        except CrashError:
            await self._crash_now(identity)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _crash_now(self, identity: str) -> None:
        if self._down or identity != self.identity:
            return
        await self.crash()
        if self.on_crash is not None:
            asyncio.create_task(self.on_crash(self))

    async def _handle(
        self, identity: str, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        attempt = request.headers.get('attempt-id', '')
        expected = request.headers.get('target-instance', identity)
        if expected != identity:
            return encode(
                'HTTP/1.1 421 Misdirected Request', {'Instance-Id': identity}
            )
        self._count_cold(attempt, identity)
        if self._waiting >= QUEUE:
            return _not_executed(attempt)
        if not await self._wait_for_slot(request):
            return _not_executed(attempt)
        self._record.add(
            'run',
            attempt=attempt,
            server=identity,
            service=self.service,
            path=request.start[1],
        )
        try:
            await self._work(request, reader, attempt, identity)
        finally:
            self._running -= 1
            async with self._free:
                self._free.notify()
        self._served += 1
        self._record.add('ran', attempt=attempt, server=identity)
        return encode(
            'HTTP/1.1 200 OK',
            {
                'Attempt-Id': attempt,
                'Server-Stamp': f'{identity}.{self._served}.{attempt}',
                'Keep-Alive': 'timeout=10',
            },
            f'answer to {attempt} of {identity}'.encode(),
        )

    def _count_cold(self, attempt: str, identity: str) -> None:
        """Count an arrival while the server is cold; crash beyond the limit.

        Raises ``CrashError`` then.
        """
        now = time.monotonic()
        if now >= self._cold_until:
            return
        self._record.add('cold', attempt=attempt, server=identity)
        self._arrivals.append(now)
        while now - self._arrivals[0] >= 1:
            self._arrivals.popleft()
        if len(self._arrivals) > self.cold_limit:
            self._record.add('overloaded', server=identity)
            raise CrashError

    async def _wait_for_slot(self, request: Message) -> bool:
        deadline_s = int(request.headers.get('deadline-ms', '5000')) / 1000
        self._waiting += 1
        try:
            async with asyncio.timeout(deadline_s), self._free:
                await self._free.wait_for(lambda: self._running < self._slots)
                self._running += 1
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    async def _work(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        attempt: str,
        identity: str,
    ) -> None:
        """Work until done; stop if the connection closes meanwhile."""
        if request.start[1] in self.crashing:
            self._record.add('crashed_by', attempt=attempt, server=identity)
            raise CrashError
        closed = asyncio.create_task(_wait_closed(reader))
        try:
            async with asyncio.timeout(self.work_s):
                await closed
        except TimeoutError:
            return
        finally:
            closed.cancel()
        self._record.add('dropped', attempt=attempt, server=identity)
        raise ConnectionResetError


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Return once the caller has closed its side."""
    with contextlib.suppress(OSError):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)


def _not_executed(attempt: str) -> bytes:
    return encode(
        'HTTP/1.1 503 Service Unavailable',
        {'Attempt-Id': attempt, 'Not-Executed': '1'},
    )
