"""Stand-in for the load balancer in front of the entry hosts.

It polls the readiness of each host and forwards requests round-robin to the
ready ones.
"""

import asyncio
import itertools

import aiohttp
from aiohttp import web

from stand_ins._server import make_parser, serve

#: Interval between health checks of a host, in seconds.
HEALTH_CHECK_PERIOD_S = 0.25
#: Timeout of a health check, in seconds.
HEALTH_CHECK_TIMEOUT_S = 0.5
#: Headers that apply to one connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset({'Host', 'Transfer-Encoding', 'Content-Length'})


class Balancer:
    """Forwards requests round-robin to ready hosts."""

    def __init__(self, hosts: list[str]) -> None:
        """Balance between ``hosts``, given by their addresses for callers."""
        self._hosts = hosts
        self._ready: set[str] = set()
        self._rotation = itertools.count()
        self._session: aiohttp.ClientSession | None = None

    async def run(self, app: web.Application):
        """Poll the health of all hosts while the application runs."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            # Exceeds the largest timeout of a route, 60 s.
            timeout=aiohttp.ClientTimeout(total=70),
        )
        health_polls = [
            asyncio.create_task(self._poll_health(host)) for host in self._hosts
        ]
        yield
        for health_poll in health_polls:
            health_poll.cancel()
        await self._session.close()

    async def forward(self, request: web.Request) -> web.Response:
        """Forward a request to a ready host and return its response.

        Try another host only if the connection fails, so that nothing was
        sent. Return status 502 if the host is lost or times out later, and 503
        if no ready host is left.
        """
        body = await request.read()
        headers = {
            name: content
            for name, content in request.headers.items()
            if name not in HOP_BY_HOP_HEADERS
        }
        for host in self._rotate_ready():
            try:
                return await self._forward_to(host, request, headers, body)
            except aiohttp.ClientConnectorError:
                self._ready.discard(host)
            except (aiohttp.ClientError, TimeoutError):
                return web.Response(status=502, text='host lost')
        return web.Response(status=503, text='no host ready')

    async def _forward_to(
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
            response_headers = {
                name: value
                for name, value in response.headers.items()
                if name not in HOP_BY_HOP_HEADERS
            }
            response_headers['X-Served-By'] = host
            return web.Response(
                status=response.status,
                body=content,
                headers=response_headers,
            )

    def _rotate_ready(self) -> list[str]:
        ready = [host for host in self._hosts if host in self._ready]
        if not ready:
            return []
        first = next(self._rotation) % len(ready)
        return ready[first:] + ready[:first]

    async def _poll_health(self, host: str) -> None:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=HEALTH_CHECK_TIMEOUT_S)
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
            await asyncio.sleep(HEALTH_CHECK_PERIOD_S)


async def make_app(hosts: list[str]) -> web.Application:
    """Build the web application of a balancer."""
    balancer = Balancer(hosts)
    app = web.Application()
    app.cleanup_ctx.append(balancer.run)
    app.router.add_route('*', '/{path:.*}', balancer.forward)
    return app


def main() -> None:
    """Run the balancer from the command line."""
    parser = make_parser('load balancer in front of the entry hosts')
    parser.add_argument(
        '--hosts',
        required=True,
        help='Separated by commas.',
    )
    arguments = parser.parse_args()
    hosts = arguments.hosts.split(',')
    serve(make_app(hosts), arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
