"""Stand-in for a target: one replica of one service.

It works on ``slots`` requests at once, makes new connections slow, collapses
when it is cold and gets more than it carries, and keeps a truthful account of
what it received, which tests read from ``GET /report``. ``POST /control``
changes its state.
"""

import asyncio
import json
import os
import random
import time
import uuid
from pathlib import Path

import msgspec
from aiohttp import web

from stand_ins._server import make_parser, serve

#: Factor by which an overloaded cold target gets slower.
COLLAPSE_FACTOR = 10
#: Time in which a response surely reached the owner and took effect there.
ROUND_TRIP_S = 0.1
NEVER = float('inf')
#: Requests in flight, in slots, from which the target sheds load.
SHED_FACTOR = 2


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """A change of the target's state."""

    cold: bool | None = None
    leaving: bool | None = None
    #: When true, responses and the status page hide that it leaves.
    silent: bool | None = None
    versions: tuple[int, ...] | None = None
    key_start: int | None = None
    key_end: int | None = None
    partition_revision: int | None = None
    service_ms: float | None = None
    straggle_share: float | None = None
    straggle_ms: float | None = None


class State(msgspec.Struct):
    """What the target does at the moment."""

    cold: bool
    leaving: bool
    silent: bool
    versions: tuple[int, ...]
    key_start: int
    key_end: int
    partition_revision: int
    service_ms: float
    straggle_share: float
    straggle_ms: float


class Report(msgspec.Struct):
    """What the target saw."""

    name: str
    process: str
    received: int = 0
    ran: int = 0
    cancelled: int = 0
    shed: int = 0
    most_in_flight: int = 0
    #: Requests started beyond the slots.
    over_slots: int = 0
    #: Requests started beyond what a cold target carries.
    over_cold: int = 0
    #: Most connections open at once.
    most_connections: int = 0
    #: Seconds after the sign at which the last new request came.
    last_after_leaving_s: float = -1.0
    #: Wall-clock time of the last request received, seconds.
    last_received_at: float = 0
    #: Runs by the ``booking`` field of the body.
    runs: dict[str, int] = {}


class TargetStandIn:
    """One replica."""

    def __init__(self, arguments) -> None:
        """Take the command line."""
        self._arguments = arguments
        self._random = random.Random(arguments.seed)
        self._versions = tuple(
            int(part) for part in arguments.versions.split(',')
        )
        start, end = arguments.key_range.split('-')
        self._state = State(
            cold=not arguments.warm,
            leaving=False,
            silent=False,
            versions=self._versions,
            key_start=int(start),
            key_end=int(end),
            partition_revision=1,
            service_ms=arguments.service_ms,
            straggle_share=arguments.straggle_share,
            straggle_ms=arguments.straggle_ms,
        )
        self._report = Report(arguments.name, uuid.uuid4().hex[:8], runs={})
        self._in_flight = 0
        self._served_cold = 0
        self._leaving_since: float = 0
        self._cold_known_at: float = 0
        self._known: set[int] = set()
        self._open: set[asyncio.BaseTransport] = set()
        self._cancelled: dict[str, asyncio.Event] = {}

    async def shard(self, request: web.Request) -> web.Response:
        """Answer a shard request."""
        body = await request.read()
        request_id = request.headers['X-Request-Id']
        self._write('received', request_id, body)
        self._account(body)
        await self._charge_connection(request)
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        self._in_flight += 1
        try:
            return await self._run(request, body)
        finally:
            self._in_flight -= 1

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request in flight."""
        event = self._cancelled.get(request.headers['X-Request-Id'])
        if event is not None:
            event.set()
        return web.Response()

    async def status(self, request: web.Request) -> web.Response:
        """Give the status page."""
        return web.Response(headers=self._signs())

    async def control(self, request: web.Request) -> web.Response:
        """Change the state."""
        asked = msgspec.json.decode(await request.read(), type=Control)
        for name in Control.__struct_fields__:
            wanted = getattr(asked, name)
            if wanted is not None:
                setattr(self._state, name, wanted)
        if asked.cold:
            self._served_cold = 0
            # Its owner cannot know before the first response.
            self._cold_known_at = NEVER
        if asked.leaving:
            self._leaving_since = time.monotonic()
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Give the account of what was received."""
        return web.Response(body=msgspec.json.encode(self._report))

    def _write(self, kind: str, request_id: str, body: bytes) -> None:
        """Append a line to the log, which outlives the process."""
        if not self._arguments.log:
            return
        line = {
            'kind': kind,
            'request': request_id,
            'booking': _booking(body),
            'at': time.time(),
            'in_flight': self._in_flight,
        }
        with Path(self._arguments.log).open('a') as log:
            log.write(f'{json.dumps(line)}\n')

    def _account(self, body: bytes) -> None:
        report = self._report
        report.received += 1
        report.last_received_at = time.time()
        if self._state.leaving:
            passed = time.monotonic() - self._leaving_since
            report.last_after_leaving_s = passed
        if b'"crash"' in body:
            self._write('crashed', '', body)
            os._exit(1)

    async def _charge_connection(self, request: web.Request) -> None:
        transport = request.transport
        if transport is None or transport in self._open:
            return
        self._open = {kept for kept in self._open if not kept.is_closing()}
        self._open.add(transport)
        report = self._report
        report.most_connections = max(
            report.most_connections,
            len(self._open),
        )
        await asyncio.sleep(self._arguments.connect_ms / 1000)

    def _refusal(self, request: web.Request) -> web.Response | None:
        why = ''
        wanted = int(request.headers.get('X-Index-Version', '0'))
        if self._state.leaving and not self._state.silent:
            why = 'leaving'
        elif wanted and wanted not in self._state.versions:
            why = 'version'
        elif self._in_flight >= SHED_FACTOR * self._arguments.slots:
            why = 'shed'
            self._report.shed += 1
        if not why:
            return None
        headers = self._signs()
        headers['X-Request-Id'] = request.headers['X-Request-Id']
        headers['X-Refused'] = why
        headers['X-Retry-After-Ms'] = '50'
        return web.Response(status=503, headers=headers)

    async def _run(self, request: web.Request, body: bytes) -> web.Response:
        started = time.monotonic()
        version = self._version(request)
        request_id = request.headers['X-Request-Id']
        self._count_start(request_id, body)
        cancelled = asyncio.Event()
        self._cancelled[request_id] = cancelled
        deadline_s = int(request.headers['X-Request-Timeout-Ms']) / 1000
        duration_s = self._service_s()
        try:
            async with asyncio.timeout(min(duration_s, deadline_s)):
                await cancelled.wait()
        except TimeoutError:
            if duration_s > deadline_s:
                headers = {'X-Request-Id': request_id}
                return web.Response(status=504, headers=headers)
            self._count_end()
            return self._answer(request, version, started)
        finally:
            self._cancelled.pop(request_id, None)
        self._report.cancelled += 1
        return web.Response(
            status=499,
            headers={'X-Request-Id': request_id},
        )

    def _version(self, request: web.Request) -> int:
        wanted = int(request.headers.get('X-Index-Version', '0'))
        return wanted or max(self._state.versions)

    def _count_start(self, request_id: str, body: bytes) -> None:
        report = self._report
        self._write('ran', request_id, body)
        report.ran += 1
        report.most_in_flight = max(report.most_in_flight, self._in_flight)
        if self._in_flight > self._arguments.slots:
            report.over_slots += 1
            self._write('over_slots', request_id, body)
        carries = self._arguments.cold_carries
        known = time.monotonic() >= self._cold_known_at
        if self._state.cold and known and self._in_flight > carries:
            report.over_cold += 1
            self._write('over_cold', request_id, body)
        booking = _booking(body)
        if booking:
            report.runs[booking] = report.runs.get(booking, 0) + 1

    def _count_end(self) -> None:
        if not self._state.cold:
            return
        self._served_cold += 1
        if self._served_cold >= self._arguments.warm_after:
            self._state.cold = False

    def _service_s(self) -> float:
        mean_ms = self._state.service_ms
        duration_ms = mean_ms / 2 + self._random.expovariate(2 / mean_ms)
        if self._random.random() < self._state.straggle_share:
            duration_ms += self._state.straggle_ms
        carries = self._arguments.cold_carries
        if self._state.cold and self._in_flight > carries:
            duration_ms *= COLLAPSE_FACTOR
        return duration_ms / 1000

    def _answer(
        self,
        request: web.Request,
        version: int,
        started: float,
    ) -> web.Response:
        headers = self._signs()
        headers['X-Request-Id'] = request.headers['X-Request-Id']
        headers['X-Index-Version'] = str(version)
        headers['X-Key-Range'] = (
            f'{self._state.key_start}-{self._state.key_end}'
        )
        headers['X-Partition-Revision'] = str(self._state.partition_revision)
        rows = [
            {
                'service': self._arguments.service,
                'version': version,
                'request': request.headers['X-Request-Id'],
                'range': [self._state.key_start, self._state.key_end],
            },
        ]
        return web.Response(body=json.dumps(rows), headers=headers)

    def _signs(self) -> dict[str, str]:
        if self._state.cold and self._cold_known_at == NEVER:
            self._cold_known_at = time.monotonic() + ROUND_TRIP_S
        state = 'cold' if self._state.cold else 'warm'
        if self._state.leaving and not self._state.silent:
            state = 'leaving'
        return {
            'X-Process': self._report.process,
            'X-State': state,
            'X-Index-Versions': ','.join(map(str, self._state.versions)),
        }


def _booking(body: bytes) -> str:
    return json.loads(body).get('booking', '')


async def make_app(arguments) -> web.Application:
    """Make the web application."""
    target = TargetStandIn(arguments)
    app = web.Application()
    app.router.add_post('/v1/shards/{service}', target.shard)
    app.router.add_post('/v1/cancel', target.cancel)
    app.router.add_get('/v1/status', target.status)
    app.router.add_post('/control', target.control)
    app.router.add_get('/report', target.report)
    return app


def main() -> None:
    """Run the stand-in."""
    parser = make_parser('a target')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--slots', type=int, default=2)
    parser.add_argument('--connections', type=int, default=25)
    parser.add_argument('--connect-ms', type=float, default=6)
    parser.add_argument('--service-ms', type=float, default=5)
    parser.add_argument('--key-range', default='0-65536')
    parser.add_argument('--versions', default='1')
    parser.add_argument('--cold-carries', type=int, default=1)
    parser.add_argument('--warm-after', type=int, default=8)
    parser.add_argument('--warm', action='store_true')
    parser.add_argument('--straggle-share', type=float, default=0)
    parser.add_argument('--straggle-ms', type=float, default=200)
    parser.add_argument('--log', default='')
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    serve(make_app(arguments), arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
