"""Stand-in for a replica (server) of a service."""

import asyncio
import types
import uuid
from collections.abc import Mapping

from platform_soak.accounts import account_fields
from platform_soak.answers import (
    CLOSING_WAYS,
    answer_body,
    break_answer,
    draw_work_s,
    stamp_of,
)
from platform_soak.messages import Message, encode, read_message, wait_closed
from platform_soak.record import Record
from platform_soak.registration import (
    USUAL_VERSION,
    Registration,
    describe_target,
)
from platform_soak.store import Store
from platform_soak.troubles import Troubles

#: Requests that wait for a slot at a server before it sheds.
QUEUE = 12
#: Time for which a server serves on after it has left (``drainMs``), and a
#: little longer, in seconds.
DRAIN_S = 4.0
DRAIN_EXTRA_S = 1.5
NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})


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
        #: Longest time for which it works, drawn for each request; 0 if all
        #: take ``work_s``.
        self.longest_work_s: float = 0
        self.troubles = Troubles()
        self.version = USUAL_VERSION
        self._record = record
        self._store = store
        self._ip = ip
        self._slots = slots
        self._port = 0
        self._registration = self._register()
        self._leaving = False
        self._down = True
        self._running = 0
        self._free = asyncio.Condition()
        self._waiting = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._served = 0

    @property
    def is_down(self) -> bool:
        """Whether its process does not run."""
        return self._down

    @property
    def is_leaving(self) -> bool:
        """Whether it has said that it leaves, or its entry was removed."""
        return self._leaving

    async def start(self) -> None:
        """Listen and register as a new incarnation with a new id."""
        self.identity = f'i-{uuid.uuid4().hex[:8]}'
        self._running = 0
        self._waiting = 0
        self._listener = await self._listen()
        self._port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{self._ip}:{self._port}'
        self._down = False
        self._leaving = False
        self._record.add(
            'server_up',
            server=self.identity,
            service=self.service,
            zone=self.zone,
            version=self.version,
        )
        self._registration = self._register()
        self._registration.start()

    async def _listen(self) -> asyncio.Server:
        """Listen on the port of before, or on another one if it is taken."""
        try:
            return await asyncio.start_server(self._serve, self._ip, self._port)
        except OSError:
            return await asyncio.start_server(self._serve, self._ip, 0)

    async def crash(self) -> None:
        """End without a word: connections are reset, the entry lapses."""
        self._down = True
        self._record.add('server_down', server=self.identity)
        self._stop_listening()
        self._registration.lapse()

    async def leave(self, *, announced: bool) -> None:
        """Leave: the entry says so or is removed, the process serves on.

        Return when it has ended.
        """
        identity = self.identity
        self._leaving = True
        if announced:
            await self._registration.announce_leaving()
        else:
            await self._registration.remove()
        self._record.add('leaving', server=identity, service=self.service)
        await asyncio.sleep(DRAIN_S + DRAIN_EXTRA_S)
        if self._down or identity != self.identity:
            return
        self._down = True
        self._record.add('server_down', server=identity)
        self._stop_listening()
        await self._registration.remove()

    def close(self) -> None:
        """End at the end of the case."""
        self._stop_listening()

    def _stop_listening(self) -> None:
        self._registration.stop()
        if self._listener is not None:
            self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def _register(self) -> Registration:
        return Registration(
            self._store,
            self.identity,
            describe_target(
                self.service,
                self.address,
                self.zone,
                self.version,
                self._slots,
            ),
        )

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
                if self.troubles.broken_way in CLOSING_WAYS:
                    return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, identity: str, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        attempt = request.headers.get('attempt-id', '')
        expected = request.headers.get('target-instance', identity)
        if expected != identity:
            return encode(
                'HTTP/1.1 421 Misdirected Request', {'Instance-Id': identity}
            )
        self._record.add(
            'reached',
            attempt=attempt,
            server=identity,
            **account_fields(request.headers),
        )
        rest_s = self.troubles.retry_after_s
        if rest_s:
            self._record.add(
                'turned_away', attempt=attempt, server=identity, rest_s=rest_s
            )
            return self._reject(attempt, identity, {'Retry-After': str(rest_s)})
        if self._waiting >= QUEUE:
            return self._reject(attempt, identity)
        if not await self._wait_for_slot(request):
            return self._reject(attempt, identity)
        work_s = draw_work_s(request.start[1], self.work_s, self.longest_work_s)
        self._record.add(
            'run',
            attempt=attempt,
            server=identity,
            service=self.service,
            path=request.start[1],
            work_s=work_s,
        )
        try:
            await self._work(request, reader, attempt, identity, work_s)
        finally:
            self._running -= 1
            async with self._free:
                self._free.notify()
        await self.troubles.wait_out_pause()
        self._served += 1
        stamp = stamp_of(attempt, self.service, identity, self._served)
        self._record.add('ran', attempt=attempt, server=identity, stamp=stamp)
        answer = encode(
            'HTTP/1.1 200 OK',
            {
                'Attempt-Id': attempt,
                'Server-Stamp': stamp,
                'Keep-Alive': 'timeout=10',
                **self._say_troubles(attempt, identity),
            },
            answer_body(request.start[1], attempt, self.service),
        )
        way = self.troubles.draw_way()
        if not way:
            return answer
        self._record.add('broken', attempt=attempt, server=identity, way=way)
        if way == 'reset':
            raise ConnectionResetError
        return break_answer(answer, way, attempt)

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

    def _say_troubles(self, attempt: str, identity: str) -> dict[str, str]:
        """Return the headers of an answer about troubles; record them."""
        leaving = self._leaving and identity == self.identity
        return self.troubles.say(
            self._record, attempt, identity, leaving=leaving
        )

    def _reject(
        self,
        attempt: str,
        identity: str,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> bytes:
        """Return the answer to a request that does not run."""
        return encode(
            'HTTP/1.1 503 Service Unavailable',
            {
                'Attempt-Id': attempt,
                'Not-Executed': '1',
                **headers,
                **self._say_troubles(attempt, identity),
            },
        )

    async def _work(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        attempt: str,
        identity: str,
        work_s: float,
    ) -> None:
        """Work until done; stop if the connection closes meanwhile."""
        closed = asyncio.create_task(wait_closed(reader))
        try:
            async with asyncio.timeout(work_s):
                await closed
        except TimeoutError:
            return
        finally:
            closed.cancel()
        self._record.add('dropped', attempt=attempt, server=identity)
        raise ConnectionResetError
