"""Measures the processor time of queries in the core and of HTTP calls.

The core and the message codec are measured without sockets, the calls to
targets over loopback.
"""

import asyncio
import random
import time

import aiohttp
import uvloop
from aiohttp import web

from oriolestage.core import (
    Answered,
    CallerRequest,
    CallTarget,
    DataMessage,
    Identity,
    KeyRange,
    NodeCore,
    OperatorCommand,
    Parameters,
    ReadHostList,
    ReplaceDocument,
    StoreMissing,
    StoreRead,
    StoreWrite,
    StoreWritten,
    TargetAnswered,
    TargetStatus,
    encode_message,
)
from oriolestage.core._messages import (
    ShardBatch,
    ShardEntry,
    ShardReplies,
    ShardReply,
    decode_data,
)
from trial.layout import association, make_layout

#: Queries, or messages of each kind, per measurement.
ITERATIONS = 200
#: Target calls per measurement.
TARGET_CALLS = 1000
#: Rows of one shard answer.
ROWS = b'[{"motif": "carafe", "score": 0.5}]'


class QueryBenchmark:
    """A core that is both entry host and owner; its targets answer at once."""

    def __init__(self, services: int) -> None:
        """Start a core and put a query group of ``services`` in force."""
        self._now: float = 0
        layout = make_layout([association(services)], 1)
        self._core = NodeCore(
            Identity('entry-1', 'g', 'd', 'marmara-a', 1),
            Parameters(freshness_limit_s=1e9),
            random.Random(1),
            0,
        )
        self._core.start()
        command = OperatorCommand(
            ReplaceDocument(layout.configuration),
            'b',
            'c',
            0,
        )
        self._advance(1)
        self._core.on_operator_command(
            self._now,
            command,
            lambda outcome: None,
        )
        self._advance(3)
        self._ranges = {
            placed.target.name: KeyRange(placed.key_start, placed.key_end)
            for placed in layout.targets
        }

    def time_per_query(self, queries: int) -> float:
        """Run queries one after another; return processor seconds per query."""
        started_at = time.process_time()
        for number in range(queries):
            self._now += 0.001
            request = CallerRequest(
                f'r{number}',
                'c',
                'sitter-app',
                b'{"query": 1}',
                1000,
            )
            self._core.on_caller_request(self._now, request)
            self._deliver_effects()
        return (time.process_time() - started_at) / queries

    def _advance(self, until: float) -> None:
        while self._now < until:
            self._now += 0.05
            self._core.on_time(self._now)
            self._deliver_effects()

    def _deliver_effects(self) -> None:
        while True:
            effects = self._core.take_effects()
            if not effects:
                return
            for effect in effects:
                self._execute(effect)

    def _execute(self, effect) -> None:
        match effect:
            case CallTarget(call=call, target=target):
                answer = TargetAnswered(
                    TargetStatus('p', versions=(1,)),
                    1,
                    self._ranges[target.name],
                    1,
                    ROWS,
                )
                self._core.on_target_result(self._now, call, answer)
            case StoreWrite(operation=operation):
                written = StoreWritten(1)
                self._core.on_store_outcome(self._now, operation, written)
            case (
                StoreRead(operation=operation)
                | ReadHostList(operation=operation)
            ):
                missing = StoreMissing()
                self._core.on_store_outcome(self._now, operation, missing)


def query_time_us(services: int) -> float:
    """Return the core's time for a query to ``services`` shards, in us."""
    benchmark = QueryBenchmark(services)
    benchmark.time_per_query(ITERATIONS // 4)
    return 1e6 * benchmark.time_per_query(ITERATIONS)


def batch_codec_us(shards: int) -> float:
    """Return the time to encode and decode a batch and its replies, in us."""
    batch = ShardBatch(
        'entry-1',
        'request-1',
        'caller',
        1,
        'sitter-app',
        b'{"query": 1}',
        1,
        200,
        True,
        tuple(
            ShardEntry(number, f'sitter-app-{number}-1')
            for number in range(shards)
        ),
        1,
    )
    answer = Answered(1, KeyRange(0, 5), 1, ROWS)
    replies = ShardReplies(
        'entry-2',
        tuple(ShardReply(number, answer, (1,)) for number in range(shards)),
        1,
    )
    messages: list[DataMessage] = [batch, replies]
    started_at = time.process_time()
    for _ in range(ITERATIONS):
        for message in messages:
            decode_data(encode_message(message))
    return 1e6 * (time.process_time() - started_at) / ITERATIONS


def target_exchange_us(parallel: int) -> float:
    """Return the time of client and server for a target call, in us."""
    return uvloop.run(_measure_exchange(parallel))


async def _measure_exchange(parallel: int) -> float:
    async def answer(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=ROWS)

    server = web.AppRunner(_app(answer), access_log=None)
    await server.setup()
    site = web.TCPSite(server, '127.0.0.1', 0)
    await site.start()
    port = server.addresses[0][1]
    url = f'http://127.0.0.1:{port}/'
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_at = time.process_time()
        for _ in range(TARGET_CALLS // parallel):
            await asyncio.gather(
                *(_post(session, url) for _ in range(parallel)),
            )
        processor_s = time.process_time() - started_at
    await server.cleanup()
    return 1e6 * processor_s / TARGET_CALLS


def _app(answer) -> web.Application:
    app = web.Application()
    app.router.add_post('/', answer)
    return app


async def _post(session: aiohttp.ClientSession, url: str) -> None:
    async with session.post(url, data=b'{"query": 1}') as response:
        await response.read()


MEASURES = (
    (
        'core time of a query in us, n shards (entry and owner)',
        (5, 20, 80, 320),
        query_time_us,
    ),
    (
        'encode and decode a batch in us, n shards',
        (5, 20, 80, 320),
        batch_codec_us,
    ),
    (
        'HTTP exchange with a target in us (client and server), n at once',
        (1, 5, 20),
        target_exchange_us,
    ),
)
