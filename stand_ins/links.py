"""Stand-in for the network between entry hosts.

It listens on the addresses that hosts advertise and passes streams on to the
addresses they listen on. ``POST /control`` cuts directions: what a sender's
address writes to a cut receiver is held back until the cut is healed.
"""

import asyncio
import contextlib

import msgspec
from aiohttp import web

from stand_ins._server import make_parser, serve

#: Bytes passed on at once.
CHUNK = 65536


class Direction(msgspec.Struct, frozen=True):
    """One direction between two hosts, by their addresses."""

    sender: str
    receiver: str


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """All directions that are cut from now on."""

    cuts: tuple[Direction, ...]


class Links:
    """Passes streams on, but for directions that are cut."""

    def __init__(self, pairs: list[str], ports: list[int]) -> None:
        """Take pairs ``advertised=real`` of addresses."""
        self._pairs = [pair.split('=') for pair in pairs]
        self._ports = ports
        self._cuts: frozenset[Direction] = frozenset()
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def run(self, app: web.Application):
        """Listen while the application runs."""
        for advertised, real in self._pairs:
            for port in self._ports:
                self._servers.append(
                    await asyncio.start_server(
                        self._acceptor(real, port),
                        advertised,
                        port,
                    ),
                )
        yield
        for server in self._servers:
            server.close()

    async def control(self, request: web.Request) -> web.Response:
        """Replace the set of cuts."""
        asked = msgspec.json.decode(await request.read(), type=Control)
        self._cuts = frozenset(asked.cuts)
        self._changed.set()
        self._changed = asyncio.Event()
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Tell that the stand-in runs."""
        return web.Response()

    def _acceptor(self, real: str, port: int):
        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            sender = writer.get_extra_info('peername')[0]
            with contextlib.suppress(OSError):
                await self._join(Direction(sender, real), port, reader, writer)
            writer.close()

        return accept

    async def _join(
        self,
        direction: Direction,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        onward_reader, onward = await asyncio.open_connection(
            direction.receiver,
            port,
        )
        forth = asyncio.create_task(self._pass_on(direction, reader, onward))
        back = asyncio.create_task(
            self._pass_on(direction, onward_reader, writer),
        )
        await asyncio.wait((forth, back), return_when=asyncio.FIRST_COMPLETED)
        forth.cancel()
        back.cancel()
        onward.close()

    async def _pass_on(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK)
            while direction in self._cuts:
                await self._changed.wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()


async def make_app(pairs: list[str], ports: list[int]) -> web.Application:
    """Make the web application."""
    links = Links(pairs, ports)
    app = web.Application()
    app.cleanup_ctx.append(links.run)
    app.router.add_post('/control', links.control)
    app.router.add_get('/report', links.report)
    return app


def main() -> None:
    """Run the stand-in."""
    parser = make_parser('the network between hosts')
    parser.add_argument('--pairs', required=True, help='with commas')
    parser.add_argument('--ports', required=True, help='with commas')
    arguments = parser.parse_args()
    ports = [int(port) for port in arguments.ports.split(',')]
    app = make_app(arguments.pairs.split(','), ports)
    serve(app, arguments.ip, arguments.port)


if __name__ == '__main__':
    main()
