"""The HTTP servers of a daemon on loopback, with a core of one host."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oriolestage.daemon._caller_metrics import CallerMetrics
from oriolestage.daemon._caller_server import CallerServer
from oriolestage.daemon._operator_server import OperatorServer
from oriolestage.daemon.tests.core_services import RunningCore, running_core

#: Largest body of a caller's request, in bytes.
BODY_LIMIT = 300_000
#: Time within which a request is answered, in seconds.
TIMEOUT_S = 10.0


class Servers:
    """Both servers and the core behind them."""

    def __init__(self, running: RunningCore) -> None:
        """Listen on free ports."""
        self.core = running
        self.ports: dict[str, int] = {}
        metrics = CallerMetrics(running.core, running.failures)
        self.services = (
            OperatorServer(
                self._listen('operators'),
                running.inbox,
                metrics,
                running.failures,
            ),
            CallerServer(
                self._listen('callers'),
                BODY_LIMIT,
                running.core,
                running.inbox,
                metrics,
                running.failures,
            ),
        )

    async def request(
        self,
        server: str,
        line: bytes,
        body: bytes = b'',
        headers: bytes = b'',
    ) -> tuple[int, bytes]:
        """Send a request as it is; return the status and the response."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[server]
        )
        writer.write(
            b'%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            b'Content-Length: %d\r\n%s\r\n%s' % (line, len(body), headers, body)
        )
        async with asyncio.timeout(TIMEOUT_S):
            response = await reader.read()
        writer.close()
        return int(response.split(b' ')[1]), response

    def _listen(self, server: str) -> socket.socket:
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setblocking(False)
        self.ports[server] = listener.getsockname()[1]
        return listener


@asynccontextmanager
async def running_servers() -> AsyncIterator[Servers]:
    """Run a core and its servers."""
    async with running_core() as running:
        servers = Servers(running)
        for service in servers.services:
            await service.start()
        yield servers
        for started in servers.services:
            await started.stop()
