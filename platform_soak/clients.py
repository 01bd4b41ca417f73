"""Stand-in for clients, which send requests through the balancer."""

import asyncio
import dataclasses
import uuid

from platform_soak.accounts import key_headers
from platform_soak.balancer import Balancer
from platform_soak.hosts import EntryHost
from platform_soak.messages import (
    MalformedError,
    Message,
    encode,
    read_answer,
)
from platform_soak.record import Record

#: Time that clients allow for a new connection, in seconds.
CONNECT_S = 1.0
#: Digits of the id of an attempt.
ATTEMPT_DIGITS = 16
#: Problems of calls without an answer: its deadline passed, its caller left
#: before, and the bytes that came are no answer.
DEADLINE = 'deadline'
LEFT = 'left'
MALFORMED = 'malformed'


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
    #: Whether it may run more than once.
    repeatable: bool = False
    #: Whether it was sent on a connection that had been used before.
    kept: bool = False
    #: Time at which the caller began, before it connected.
    started_at: float = 0
    #: Key of its account; empty if the run has no accounts.
    key: str = ''

    def names(self, server: str) -> bool:
        """Return whether its answer has the signature of a target."""
        if self.answer is None:
            return False
        headers = self.answer.headers
        listed = headers.get('part-stamps', headers.get('server-stamp', ''))
        return any(
            stamp.strip().startswith(f'{server}.')
            for stamp in listed.split(',')
        )

    @property
    def last_sent_at(self) -> float:
        """Time of its last byte, or of its start if that was not sent."""
        return self.started_at if self.sent_at is None else self.sent_at


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a kind of request looks like."""

    method: str
    host: str
    path: str
    deadline_ms: int
    body: bytes = b''
    #: Whether it may run more than once.
    repeatable: bool = False
    #: Key of its account; empty if the run has no accounts.
    key: str = ''

    def headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of an attempt."""
        return {
            'Host': self.host,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(self.deadline_ms),
            **key_headers(self.key),
        }


def record_end(record: Record, call: Call) -> None:
    """Record how a call ended."""
    record.add(
        'answered' if call.answer else 'unanswered',
        attempt=call.attempt,
        host=call.host.name,
        path=call.path,
        key=call.key,
        sent_at=call.sent_at,
        status=call.answer.status if call.answer else 0,
        problem=call.problem,
    )


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
        call = Call(
            uuid.uuid4().hex[:ATTEMPT_DIGITS],
            chosen,
            shape.path,
            repeatable=shape.repeatable,
            started_at=self._record.now,
            key=shape.key,
        )
        self.calls.append(call)
        try:
            async with asyncio.timeout(shape.deadline_ms / 1000):
                await self._exchange(call, shape)
        except TimeoutError:
            call.problem = call.problem or DEADLINE
        except MalformedError:
            call.problem = MALFORMED
        except (OSError, asyncio.IncompleteReadError) as error:
            call.problem = type(error).__name__
        call.ended_at = self._record.now
        record_end(self._record, call)
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
                    shape.headers(call.attempt),
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
            call.answer = await read_answer(reader)
        finally:
            writer.close()
