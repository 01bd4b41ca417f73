"""Stand-in for a target: one replica of one service.

It simulates the limits of a real target: more requests in flight than
``slots`` count as overload and twice as many are shed, new connections are
delayed, and a cold target slows down sharply when it gets more requests at once
than it can carry. It counts what it receives and runs, which tests read from
``GET /report`` and from its log. ``POST /control`` changes its state.
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

#: Factor by which a cold target slows down above its capacity.
COLD_OVERLOAD_SLOWDOWN = 10
#: Time after a response within which the owner surely receives and applies the
#: status that it carries, in seconds.
STATUS_DELAY_S = 0.1
NEVER = float('inf')
#: Multiple of its slots in flight from which a target sheds load.
SHED_FACTOR = 2


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /control``; absent fields change nothing."""

    cold: bool | None = None
    leaving: bool | None = None
    #: When true, responses and the status page do not show that it leaves.
    silent: bool | None = None
    versions: tuple[int, ...] | None = None
    key_start: int | None = None
    key_end: int | None = None
    partition_revision: int | None = None
    service_ms: float | None = None
    straggle_share: float | None = None
    straggle_ms: float | None = None


class State(msgspec.Struct):
    """The state of the target, which ``POST /control`` changes."""

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
    """The counts that ``GET /report`` returns."""

    name: str
    process: str
    received: int = 0
    ran: int = 0
    cancelled: int = 0
    shed: int = 0
    most_in_flight: int = 0
    #: Requests that started while all slots were in use.
    over_slots: int = 0
    #: Requests that started beyond the limit of a cold target, after the owner
    #: could know that it is cold.
    over_cold: int = 0
    #: Largest number of connections open at once.
    most_connections: int = 0
    #: Time from the start of leaving to the last request received, in seconds;
    #: -1 if none was received since then.
    last_after_leaving_s: float = -1.0
    #: Wall-clock time of the last request received, in seconds.
    last_received_at: float = 0
    #: Number of runs by the ``booking`` field of the body.
    runs: dict[str, int] = {}


class TargetStandIn:
    """Simulates one replica."""

    def __init__(self, arguments) -> None:
        """Start in the state given by the parsed command line."""
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
        self._answered_while_cold = 0
        self._leaving_since: float = 0
        # Time from which the owner knows that the target is cold.
        self._cold_known_at: float = 0
        self._known: set[int] = set()
        self._open_transports: set[asyncio.BaseTransport] = set()
        self._cancel_events: dict[str, asyncio.Event] = {}

    async def shard(self, request: web.Request) -> web.Response:
        """Run a shard request and return its rows.

        Return status 503 if it is refused, 504 if it would outlast its timeout
        and 499 if it is cancelled. A body with ``"crash"`` ends the process.
        """
        body = await request.read()
        request_id = request.headers['X-Request-Id']
        self._append_log('received', request_id, body)
        self._record_received(body)
        await self._delay_new_connection(request)
        refusal = self._refuse_if_needed(request)
        if refusal is not None:
            return refusal
        self._in_flight += 1
        try:
            return await self._run(request, body)
        finally:
            self._in_flight -= 1

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel the request named by ``X-Request-Id`` if it is in flight."""
        event = self._cancel_events.get(request.headers['X-Request-Id'])
        if event is not None:
            event.set()
        return web.Response()

    async def status(self, request: web.Request) -> web.Response:
        """Return the status headers with an empty body."""
        return web.Response(headers=self._status_headers())

    async def control(self, request: web.Request) -> web.Response:
        """Apply a change of state; turning cold also restarts the warm-up."""
        control_request = msgspec.json.decode(
            await request.read(), type=Control
        )
        for name in Control.__struct_fields__:
            new_value = getattr(control_request, name)
            if new_value is not None:
                setattr(self._state, name, new_value)
        if control_request.cold:
            self._answered_while_cold = 0
            # The owner learns it only from the next response.
            self._cold_known_at = NEVER
        if control_request.leaving:
            self._leaving_since = time.monotonic()
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Return the counts of this process."""
        return web.Response(body=msgspec.json.encode(self._report))

    def _append_log(self, kind: str, request_id: str, body: bytes) -> None:
        """Append a JSON line to the log file, which survives a crash."""
        if not self._arguments.log:
            return
        line = {
            'kind': kind,
            'request': request_id,
            'booking': _parse_booking(body),
            'at': time.time(),
            'in_flight': self._in_flight,
        }
        with Path(self._arguments.log).open('a') as log:
            log.write(f'{json.dumps(line)}\n')

    def _record_received(self, body: bytes) -> None:
        report = self._report
        report.received += 1
        report.last_received_at = time.time()
        if self._state.leaving:
            elapsed_s = time.monotonic() - self._leaving_since
            report.last_after_leaving_s = elapsed_s
        if b'"crash"' in body:
            self._append_log('crashed', '', body)
            os._exit(1)

    async def _delay_new_connection(self, request: web.Request) -> None:
        transport = request.transport
        if transport is None or transport in self._open_transports:
            return
        self._open_transports = {
            opened
            for opened in self._open_transports
            if not opened.is_closing()
        }
        self._open_transports.add(transport)
        report = self._report
        report.most_connections = max(
            report.most_connections,
            len(self._open_transports),
        )
        await asyncio.sleep(self._arguments.connect_ms / 1000)

    def _refuse_if_needed(self, request: web.Request) -> web.Response | None:
        reason = ''
        requested = int(request.headers.get('X-Index-Version', '0'))
        if self._state.leaving and not self._state.silent:
            reason = 'leaving'
        elif requested and requested not in self._state.versions:
            reason = 'version'
        elif self._in_flight >= SHED_FACTOR * self._arguments.slots:
            reason = 'shed'
            self._report.shed += 1
        if not reason:
            return None
        headers = self._status_headers()
        headers['X-Request-Id'] = request.headers['X-Request-Id']
        headers['X-Refused'] = reason
        headers['X-Retry-After-Ms'] = '50'
        return web.Response(status=503, headers=headers)

    async def _run(self, request: web.Request, body: bytes) -> web.Response:
        started_at = time.monotonic()
        version = self._choose_version(request)
        request_id = request.headers['X-Request-Id']
        self._record_start(request_id, body)
        cancelled = asyncio.Event()
        self._cancel_events[request_id] = cancelled
        timeout_s = int(request.headers['X-Request-Timeout-Ms']) / 1000
        duration_s = self._draw_duration_s()
        try:
            async with asyncio.timeout(min(duration_s, timeout_s)):
                await cancelled.wait()
        except TimeoutError:
            if duration_s > timeout_s:
                headers = {'X-Request-Id': request_id}
                return web.Response(status=504, headers=headers)
            self._record_completion()
            return self._build_answer(request, version, started_at)
        finally:
            self._cancel_events.pop(request_id, None)
        self._report.cancelled += 1
        return web.Response(
            status=499,
            headers={'X-Request-Id': request_id},
        )

    def _choose_version(self, request: web.Request) -> int:
        requested = int(request.headers.get('X-Index-Version', '0'))
        return requested or max(self._state.versions)

    def _record_start(self, request_id: str, body: bytes) -> None:
        report = self._report
        self._append_log('ran', request_id, body)
        report.ran += 1
        report.most_in_flight = max(report.most_in_flight, self._in_flight)
        if self._in_flight > self._arguments.slots:
            report.over_slots += 1
            self._append_log('over_slots', request_id, body)
        cold_limit = self._arguments.cold_carries
        state_known = time.monotonic() >= self._cold_known_at
        if self._state.cold and state_known and self._in_flight > cold_limit:
            report.over_cold += 1
            self._append_log('over_cold', request_id, body)
        booking = _parse_booking(body)
        if booking:
            report.runs[booking] = report.runs.get(booking, 0) + 1

    def _record_completion(self) -> None:
        if not self._state.cold:
            return
        self._answered_while_cold += 1
        if self._answered_while_cold >= self._arguments.warm_after:
            self._state.cold = False

    def _draw_duration_s(self) -> float:
        mean_ms = self._state.service_ms
        duration_ms = mean_ms / 2 + self._random.expovariate(2 / mean_ms)
        if self._random.random() < self._state.straggle_share:
            duration_ms += self._state.straggle_ms
        cold_limit = self._arguments.cold_carries
        if self._state.cold and self._in_flight > cold_limit:
            duration_ms *= COLD_OVERLOAD_SLOWDOWN
        return duration_ms / 1000

    def _build_answer(
        self,
        request: web.Request,
        version: int,
        started_at: float,
    ) -> web.Response:
        headers = self._status_headers()
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

    def _status_headers(self) -> dict[str, str]:
        if self._state.cold and self._cold_known_at == NEVER:
            self._cold_known_at = time.monotonic() + STATUS_DELAY_S
        state = 'cold' if self._state.cold else 'warm'
        if self._state.leaving and not self._state.silent:
            state = 'leaving'
        return {
            'X-Process': self._report.process,
            'X-State': state,
            'X-Index-Versions': ','.join(map(str, self._state.versions)),
        }


def _parse_booking(body: bytes) -> str:
    return json.loads(body).get('booking', '')


async def make_app(arguments) -> web.Application:
    """Build the web application of a target."""
    target = TargetStandIn(arguments)
    app = web.Application()
    app.router.add_post('/v1/shards/{service}', target.shard)
    app.router.add_post('/v1/cancel', target.cancel)
    app.router.add_get('/v1/status', target.status)
    app.router.add_post('/control', target.control)
    app.router.add_get('/report', target.report)
    return app


def main() -> None:
    """Run the target stand-in from the command line."""
    parser = make_parser('target: one replica of one service')
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
