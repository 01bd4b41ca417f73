"""Stand-in for the platform: key-value store and host list.

``POST /control`` sets faults: ``down``, ``slow_ms``, ``lose_replies`` (the
number of writes that take effect without a reply), ``cut`` (client addresses
that get no answer) and ``hosts`` (the host list, shown after ``lag_s``).
"""

import asyncio
import dataclasses
import time
from collections import Counter

import msgspec
from aiohttp import web

from stand_ins._server import make_parser, serve


class Faults(msgspec.Struct):
    """What is wrong with the platform."""

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    cut: tuple[str, ...] = ()


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """A request to change the faults or the host list."""

    down: bool | None = None
    slow_ms: int | None = None
    lose_replies: int | None = None
    cut: tuple[str, ...] | None = None
    #: The list as JSON, shown after ``lag_s`` seconds.
    hosts: dict | None = None
    lag_s: float = 0


@dataclasses.dataclass(slots=True)
class Entry:
    """One key."""

    content: bytes
    version: int
    expires_at: float


class Platform:
    """Keeps the keys and the host list."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._entries: dict[str, Entry] = {}
        self._changed = asyncio.Condition()
        self._hosts = b'{"hosts": []}'

    async def get(self, request: web.Request) -> web.Response:
        """Read a key, or wait until its version exceeds ``after``."""
        await self._suffer(request)
        key = request.match_info['key']
        after = int(request.query.get('after', '-1'))
        self.calls['watch' if after >= 0 else 'read'] += 1
        if after >= 0:
            wait_s = int(request.query.get('wait_ms', '0')) / 1000
            await self._wait_for_change(key, after, wait_s)
            await self._suffer(request)
        entry = self._living(key)
        if entry is None or entry.version <= after:
            return web.Response(status=404)
        return web.Response(
            body=entry.content,
            headers={'X-Version': str(entry.version)},
        )

    async def put(self, request: web.Request) -> web.Response:
        """Write a key if its version is the expected one."""
        await self._suffer(request)
        self.calls['write'] += 1
        key = request.match_info['key']
        content = await request.read()
        held = self._living(key)
        version = held.version if held else 0
        if version != int(request.query['expected']):
            return web.Response(status=409)
        ttl_s = int(request.query.get('ttl_s', '0'))
        expires_at = time.monotonic() + ttl_s if ttl_s else float('inf')
        self._entries[key] = Entry(content, version + 1, expires_at)
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            self._abort(request)
        return web.Response(headers={'X-Version': str(version + 1)})

    async def hosts(self, request: web.Request) -> web.Response:
        """Give the host list."""
        await self._suffer(request)
        self.calls['hosts'] += 1
        return web.Response(body=self._hosts)

    async def control(self, request: web.Request) -> web.Response:
        """Set faults or the host list."""
        asked = msgspec.json.decode(await request.read(), type=Control)
        for name in ('down', 'slow_ms', 'lose_replies', 'cut'):
            wanted = getattr(asked, name)
            if wanted is not None:
                setattr(self.faults, name, wanted)
        if asked.hosts is not None:
            loop = asyncio.get_running_loop()
            hosts = msgspec.json.encode(asked.hosts)
            loop.call_later(asked.lag_s, self._show_hosts, hosts)
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Tell the calls counted and the number of keys."""
        body = msgspec.json.encode(
            {'calls': dict(self.calls), 'keys': len(self._entries)},
        )
        return web.Response(body=body)

    def _show_hosts(self, hosts: bytes) -> None:
        self._hosts = hosts

    def _living(self, key: str) -> Entry | None:
        entry = self._entries.get(key)
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
            entry = self._living(key)
            return entry is not None and entry.version > after

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(is_newer)
        except TimeoutError:
            return

    async def _suffer(self, request: web.Request) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down or request.remote in self.faults.cut:
            self._abort(request)

    def _abort(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError


async def make_app() -> web.Application:
    """Make the web application."""
    platform = Platform()
    app = web.Application(client_max_size=1024 * 1024)
    app.router.add_get('/v1/kv/{key:.+}', platform.get)
    app.router.add_put('/v1/kv/{key:.+}', platform.put)
    app.router.add_get('/v1/hosts', platform.hosts)
    app.router.add_post('/control', platform.control)
    app.router.add_get('/report', platform.report)
    return app


def main() -> None:
    """Run the stand-in."""
    arguments = make_parser('store and host list').parse_args()
    serve(make_app(), arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
