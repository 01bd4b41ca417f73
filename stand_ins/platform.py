"""Stand-in for the platform: key-value store and host list.

``POST /control`` injects faults: ``down`` (connections are aborted),
``slow_ms`` (added latency), ``lose_replies`` (the number of writes that take
effect but get no reply) and ``cut`` (client addresses whose connections are
aborted). It also sets ``hosts``, the host list, which is published after
``lag_s`` seconds.
"""

import asyncio
import dataclasses
import time
from collections import Counter

import msgspec
from aiohttp import web

from stand_ins._server import make_parser, serve


class Faults(msgspec.Struct):
    """The faults that are injected at present."""

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    cut: tuple[str, ...] = ()


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /control``; absent fields change nothing."""

    down: bool | None = None
    slow_ms: int | None = None
    lose_replies: int | None = None
    cut: tuple[str, ...] | None = None
    #: New host list, published after ``lag_s`` seconds.
    hosts: dict | None = None
    lag_s: float = 0


@dataclasses.dataclass(slots=True)
class StoredValue:
    """The content of a key, its version and when it expires.

    ``expires_at`` is in seconds of the monotonic clock.
    """

    content: bytes
    version: int
    expires_at: float


class Platform:
    """An in-memory versioned key-value store and a host list."""

    def __init__(self) -> None:
        """Start with no keys, no hosts and no faults."""
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._stored: dict[str, StoredValue] = {}
        self._changed = asyncio.Condition()
        self._hosts = b'{"hosts": []}'

    async def get(self, request: web.Request) -> web.Response:
        """Return a key, or with ``after`` wait for a later version of it.

        A watch waits up to ``wait_ms``. Return status 404 if the key is absent
        or its version does not exceed ``after``.
        """
        await self._apply_faults(request)
        key = request.match_info['key']
        after = int(request.query.get('after', '-1'))
        self.calls['watch' if after >= 0 else 'read'] += 1
        if after >= 0:
            wait_s = int(request.query.get('wait_ms', '0')) / 1000
            await self._wait_for_change(key, after, wait_s)
            await self._apply_faults(request)
        entry = self._find_unexpired(key)
        if entry is None or entry.version <= after:
            return web.Response(status=404)
        return web.Response(
            body=entry.content,
            headers={'X-Version': str(entry.version)},
        )

    async def put(self, request: web.Request) -> web.Response:
        """Write a key by compare-and-swap on its version.

        Return status 409 if the version is not ``expected``; 0 expects an
        absent key. The key expires after ``ttl_s`` seconds unless that is 0.
        """
        await self._apply_faults(request)
        self.calls['write'] += 1
        key = request.match_info['key']
        content = await request.read()
        current = self._find_unexpired(key)
        version = current.version if current else 0
        if version != int(request.query['expected']):
            return web.Response(status=409)
        ttl_s = int(request.query.get('ttl_s', '0'))
        expires_at = time.monotonic() + ttl_s if ttl_s else float('inf')
        self._stored[key] = StoredValue(content, version + 1, expires_at)
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            self._abort_connection(request)
        return web.Response(headers={'X-Version': str(version + 1)})

    async def hosts(self, request: web.Request) -> web.Response:
        """Return the published host list."""
        await self._apply_faults(request)
        self.calls['hosts'] += 1
        return web.Response(body=self._hosts)

    async def control(self, request: web.Request) -> web.Response:
        """Change the faults and schedule a new host list."""
        control_request = msgspec.json.decode(
            await request.read(), type=Control
        )
        for name in ('down', 'slow_ms', 'lose_replies', 'cut'):
            new_value = getattr(control_request, name)
            if new_value is not None:
                setattr(self.faults, name, new_value)
        if control_request.hosts is not None:
            loop = asyncio.get_running_loop()
            hosts = msgspec.json.encode(control_request.hosts)
            loop.call_later(control_request.lag_s, self._publish_hosts, hosts)
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Return the number of calls by kind and the number of keys."""
        body = msgspec.json.encode(
            {'calls': dict(self.calls), 'keys': len(self._stored)},
        )
        return web.Response(body=body)

    def _publish_hosts(self, hosts: bytes) -> None:
        self._hosts = hosts

    def _find_unexpired(self, key: str) -> StoredValue | None:
        entry = self._stored.get(key)
        if entry is not None and entry.expires_at <= time.monotonic():
            return None
        return entry

    async def _wait_for_change(
        self,
        key: str,
        after: int,
        wait_s: float,
    ) -> None:
        def is_newer() -> bool:
            entry = self._find_unexpired(key)
            return entry is not None and entry.version > after

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(is_newer)
        except TimeoutError:
            return

    async def _apply_faults(self, request: web.Request) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down or request.remote in self.faults.cut:
            self._abort_connection(request)

    def _abort_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError


async def make_app() -> web.Application:
    """Build the web application of the platform."""
    platform = Platform()
    app = web.Application(client_max_size=1024 * 1024)
    app.router.add_get('/v1/kv/{key:.+}', platform.get)
    app.router.add_put('/v1/kv/{key:.+}', platform.put)
    app.router.add_get('/v1/hosts', platform.hosts)
    app.router.add_post('/control', platform.control)
    app.router.add_get('/report', platform.report)
    return app


def main() -> None:
    """Run the platform stand-in from the command line."""
    arguments = make_parser('platform: store and host list').parse_args()
    serve(make_app(), arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
