"""Stand-in for the platform's balancer in front of the entry hosts."""

import asyncio
import itertools

import aiohttp
from aiohttp import web

from stand_ins._server import make_parser, serve

#: Time between two health checks of a host, in seconds.
CHECK_PERIOD_S = 0.25
#: Longest wait for a health check, in seconds.
CHECK_TIMEOUT_S = 0.5
#: Headers that belong to one hop.
HOP_HEADERS = frozenset({'Host', 'Transfer-Encoding', 'Content-Length'})


class Balancer:
    """Passes requests to ready hosts in turn."""

    def __init__(self, hosts: list[str]) -> None:
        """Take caller addresses of hosts."""
        self._hosts = hosts
        self._ready: set[str] = set()
        self._turn = itertools.count()
        self._session: aiohttp.ClientSession | None = None

    async def run(self, app: web.Application):
        """Check hosts while the application runs."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=70),
        )
        checks = [
            asyncio.create_task(self._check(host)) for host in self._hosts
        ]
        yield
        for check in checks:
            check.cancel()
        await self._session.close()

    async def forward(self, request: web.Request) -> web.Response:
        """Pass a request on; try another host only if nothing was sent."""
        body = await request.read()
        headers = {
            name: content
            for name, content in request.headers.items()
            if name not in HOP_HEADERS
        }
        for host in self._order():
            try:
                return await self._pass_on(host, request, headers, body)
            except aiohttp.ClientConnectorError:
                self._ready.discard(host)
            except (aiohttp.ClientError, TimeoutError):
                return web.Response(status=502, text='host lost')
        return web.Response(status=503, text='no host ready')

    async def _pass_on(
        self,
        host: str,
        request: web.Request,
        headers,
        body: bytes,
    ) -> web.Response:
        assert self._session is not None
        async with self._session.request(
            request.method,
            f'http://{host}{request.path_qs}',
            headers=headers,
            data=body,
        ) as response:
            content = await response.read()
            kept = {
                name: value
                for name, value in response.headers.items()
                if name not in HOP_HEADERS
            }
            kept['X-Served-By'] = host
            return web.Response(
                status=response.status,
                body=content,
                headers=kept,
            )

    def _order(self) -> list[str]:
        ready = [host for host in self._hosts if host in self._ready]
        if not ready:
            return []
        first = next(self._turn) % len(ready)
        return ready[first:] + ready[:first]

    async def _check(self, host: str) -> None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        while True:
            try:
                async with self._session.get(
                    f'http://{host}/health/ready',
                    timeout=timeout,
                ) as response:
                    ready = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                ready = False
            if ready:
                self._ready.add(host)
            else:
                self._ready.discard(host)
            await asyncio.sleep(CHECK_PERIOD_S)


async def make_app(hosts: list[str]) -> web.Application:
    """Make the web application."""
    balancer = Balancer(hosts)
    app = web.Application()
    app.cleanup_ctx.append(balancer.run)
    app.router.add_route('*', '/{path:.*}', balancer.forward)
    return app


def main() -> None:
    """Run the stand-in."""
    parser = make_parser('the balancer')
    parser.add_argument('--hosts', required=True, help='with commas')
    arguments = parser.parse_args()
    hosts = arguments.hosts.split(',')
    serve(make_app(hosts), arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
