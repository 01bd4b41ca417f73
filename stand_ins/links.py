"""Stand-in for the network between entry hosts.

It is a TCP proxy that listens on the addresses that hosts advertise and
connects to the addresses they listen on. ``POST /control`` replaces the set of
cuts, which simulate network partitions: on connections that the sender of a cut
opened to its receiver, data is held back both ways until the cut is removed.
"""

import asyncio
import contextlib

import msgspec
from aiohttp import web

from stand_ins._server import make_parser, serve

#: Largest number of bytes copied at once.
CHUNK_BYTES = 65536


class Direction(msgspec.Struct, frozen=True):
    """The direction of a connection between two hosts, by IP address."""

    sender: str
    receiver: str


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /control``: all directions that are cut."""

    cuts: tuple[Direction, ...]


class Links:
    """Relays streams between hosts unless their direction is cut."""

    def __init__(self, pairs: list[str], ports: list[int]) -> None:
        """Relay between ``pairs`` of IP addresses, ``ADVERTISED=REAL``.

        Each of ``ports`` is relayed to the same port of the real address.
        """
        self._pairs = [pair.split('=') for pair in pairs]
        self._ports = ports
        self._cuts: frozenset[Direction] = frozenset()
        self._cuts_changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def run(self, app: web.Application):
        """Listen on all advertised addresses while the application runs."""
        for advertised, real in self._pairs:
            for port in self._ports:
                self._servers.append(
                    await asyncio.start_server(
                        self._make_acceptor(real, port),
                        advertised,
                        port,
                    ),
                )
        yield
        for server in self._servers:
            server.close()

    async def control(self, request: web.Request) -> web.Response:
        """Replace the set of cuts."""
        control_request = msgspec.json.decode(
            await request.read(), type=Control
        )
        self._cuts = frozenset(control_request.cuts)
        self._cuts_changed.set()
        self._cuts_changed = asyncio.Event()
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Return status 200, which tells that the stand-in runs."""
        return web.Response()

    def _make_acceptor(self, real: str, port: int):
        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            sender = writer.get_extra_info('peername')[0]
            with contextlib.suppress(OSError):
                await self._relay_stream(
                    Direction(sender, real), port, reader, writer
                )
            writer.close()

        return accept

    async def _relay_stream(
        self,
        direction: Direction,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            direction.receiver,
            port,
        )
        outbound = asyncio.create_task(
            self._copy(direction, reader, upstream_writer)
        )
        inbound = asyncio.create_task(
            self._copy(direction, upstream_reader, writer),
        )
        await asyncio.wait(
            (outbound, inbound), return_when=asyncio.FIRST_COMPLETED
        )
        outbound.cancel()
        inbound.cancel()
        upstream_writer.close()

    async def _copy(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            while direction in self._cuts:
                await self._cuts_changed.wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()


async def make_app(pairs: list[str], ports: list[int]) -> web.Application:
    """Build the application that relays streams and serves control."""
    links = Links(pairs, ports)
    app = web.Application()
    app.cleanup_ctx.append(links.run)
    app.router.add_post('/control', links.control)
    app.router.add_get('/report', links.report)
    return app


def main() -> None:
    """Run the network stand-in from the command line."""
    parser = make_parser('network between entry hosts')
    parser.add_argument('--pairs', required=True, help='Separated by commas.')
    parser.add_argument('--ports', required=True, help='Separated by commas.')
    arguments = parser.parse_args()
    ports = [int(port) for port in arguments.ports.split(',')]
    app = make_app(arguments.pairs.split(','), ports)
    serve(app, arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
