"""Callers that keep their connections and repeat what may be repeated."""

import asyncio
import dataclasses
import random
import uuid

from platform_soak.balancer import Balancer
from platform_soak.clients import (
    ATTEMPT_DIGITS,
    CONNECT_S,
    DEADLINE,
    LEFT,
    MALFORMED,
    Call,
    Shape,
    record_end,
)
from platform_soak.hosts import EntryHost
from platform_soak.messages import MalformedError, encode, read_answer
from platform_soak.record import Record

#: Longest time that a caller waits for Retry-After, in seconds.
MAX_RETRY_AFTER_S = 1.0
#: Answers that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Habit:
    """What a caller sends."""

    #: Requests that it draws from.
    shapes: tuple[Shape, ...]
    #: Longest pause between two of them, in seconds.
    pause_s: float
    #: Longest time after which it leaves, in seconds; 0 if it does not.
    patience_s: float = 0


@dataclasses.dataclass(slots=True)
class _Connection:
    host: EntryHost
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class KeepingCaller:
    """Sends one request after the other on a connection that it keeps."""

    def __init__(
        self,
        balancer: Balancer,
        record: Record,
        calls: list[Call],
        zone: str,
        draw: random.Random,
    ) -> None:
        """Create a caller of a zone, whose attempts are added to ``calls``."""
        self._balancer = balancer
        self._record = record
        self._calls = calls
        self._zone = zone
        self._draw = draw
        self._connection: _Connection | None = None

    async def run(self, habit: Habit, until: float) -> None:
        """Send requests until a time of the record."""
        while self._record.now < until:
            shape = self._draw.choice(habit.shapes)
            if habit.patience_s:
                await self._leave_early(shape, habit.patience_s)
            else:
                await self._request(shape)
            await asyncio.sleep(self._draw.uniform(0, habit.pause_s))
        self._close()

    async def _request(self, shape: Shape) -> None:
        """Send a request; repeat it once if its first attempt allows that."""
        call = await self._attempt(shape)
        record_end(self._record, call)
        answer = call.answer
        if answer is not None and answer.status not in PROMISES:
            return
        if answer is None and not shape.repeatable and call.sent_at is not None:
            return
        if answer is not None:
            wait_s = float(answer.headers.get('retry-after', '0'))
            await asyncio.sleep(min(wait_s, MAX_RETRY_AFTER_S))
        self._close()
        record_end(self._record, await self._attempt(shape))

    async def _leave_early(self, shape: Shape, patience_s: float) -> None:
        """Send a request and close the connection before its deadline."""
        patience_s = self._draw.uniform(0, patience_s)
        call = await self._attempt(shape, patience_s)
        if call.problem == DEADLINE:
            call.problem = LEFT
        record_end(self._record, call)

    async def _attempt(self, shape: Shape, patience_s: float = 0) -> Call:
        connection = self._connection
        host = connection.host if connection else None
        chosen = host or self._balancer.choose(self._zone)
        attempt = uuid.UUID(int=self._draw.getrandbits(128)).hex
        call = Call(
            attempt[:ATTEMPT_DIGITS],
            chosen,
            shape.path,
            repeatable=shape.repeatable,
            kept=connection is not None,
            started_at=self._record.now,
            key=shape.key,
        )
        self._calls.append(call)
        try:
            async with asyncio.timeout(
                patience_s or shape.deadline_ms / MS_PER_S
            ):
                await self._exchange(call, shape)
        except TimeoutError:
            call.problem = DEADLINE
        except MalformedError:
            call.problem = MALFORMED
        except (OSError, asyncio.IncompleteReadError) as error:
            call.problem = type(error).__name__
        call.ended_at = self._record.now
        if call.answer is None:
            self._close()
        elif call.answer.headers.get('connection', '').lower() == 'close':
            self._close()
        return call

    async def _exchange(self, call: Call, shape: Shape) -> None:
        connection = self._connection
        if connection is None:
            connection = await _connect(call.host)
            self._connection = connection
        headers = shape.headers(call.attempt)
        start = f'{shape.method} {shape.path} HTTP/1.1'
        connection.writer.write(encode(start, headers, shape.body))
        await connection.writer.drain()
        call.sent_at = self._record.now
        call.answer = await read_answer(connection.reader)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
        self._connection = None


async def _connect(host: EntryHost) -> _Connection:
    ip, _, port = host.front.rpartition(':')
    async with asyncio.timeout(CONNECT_S):
        reader, writer = await asyncio.open_connection(ip, int(port))
    return _Connection(host, reader, writer)
