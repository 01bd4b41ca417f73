"""Stand-in for clients, which send requests through the balancer."""

import asyncio
import dataclasses
import uuid

from balancer import Balancer
from hosts import EntryHost
from messages import Message, encode, read_message
from record import Record

#: Time that clients allow for a new connection, in seconds.
CONNECT_S = 1.0


@dataclasses.dataclass
class Call:
    """One client attempt and how it ended."""

    attempt: str
    host: EntryHost
    path: str
    #: Time at which its last byte was sent; None if it was not.
    sent_at: float | None = None
    ended_at: float = 0
    #: The answer; None if the connection ended without a complete one.
    answer: Message | None = None
    #: Why there is no answer.
    problem: str = ''


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a kind of request looks like."""

    method: str
    host: str
    path: str
    deadline_ms: int
    body: bytes = b''


class Clients:
    """Sends requests on new connections and records what comes back."""

    def __init__(self, balancer: Balancer, record: Record) -> None:
        """Start without requests."""
        self.calls: list[Call] = []
        self._balancer = balancer
        self._record = record
        self._tasks: set[asyncio.Task] = set()

    async def send(
        self, shape: Shape, zone: str, host: EntryHost | None = None
    ) -> Call:
        """Send a request from a zone and return how it ended."""
        chosen = host or self._balancer.choose(zone)
        call = Call(uuid.uuid4().hex[:16], chosen, shape.path)
        self.calls.append(call)
        try:
            async with asyncio.timeout(shape.deadline_ms / 1000):
                await self._exchange(call, shape)
        except TimeoutError:
            call.problem = call.problem or 'deadline'
        except (OSError, asyncio.IncompleteReadError) as error:
            call.problem = type(error).__name__
        call.ended_at = self._record.now
        self._record.add(
            'answered' if call.answer else 'unanswered',
            attempt=call.attempt,
            host=chosen.name,
            sent_at=call.sent_at,
            status=call.answer.status if call.answer else 0,
            problem=call.problem,
        )
        return call

    async def send_steadily(
        self, shape: Shape, zone: str, per_s: float, for_s: float
    ) -> None:
        """Send requests at a rate, each on a new connection."""
        ends_at = self._record.now + for_s
        while self._record.now < ends_at:
            task = asyncio.create_task(self.send(shape, zone))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def finish(self) -> None:
        """Wait for the requests that are under way."""
        await asyncio.gather(*tuple(self._tasks))

    async def _exchange(self, call: Call, shape: Shape) -> None:
        ip, _, port = call.host.front.rpartition(':')
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(
                encode(
                    f'{shape.method} {shape.path} HTTP/1.1',
                    {
                        'Host': shape.host,
                        'Attempt-Id': call.attempt,
                        'Deadline-Ms': str(shape.deadline_ms),
                    },
                    shape.body,
                )
            )
            await writer.drain()
            call.sent_at = round(self._record.now, 4)
            self._record.add(
                'sent',
                attempt=call.attempt,
                host=call.host.name,
                path=shape.path,
            )
            call.answer = await read_message(reader)
        finally:
            writer.close()
