"""A daemon that gives one answer, and sessions of the tool with it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oriolestage.tool import DaemonClient, ExitCode, Session


class ToolRun:
    """A session and what it printed."""

    def __init__(self, host: str, command_id: str = '') -> None:
        """Create a session with the daemon at an address."""
        self.output: list[str] = []
        self.errors: list[str] = []
        self._session = Session(
            DaemonClient([host]),
            'tests',
            as_json=False,
            write=self.output.append,
            write_error=self.errors.append,
            command_id=command_id,
        )

    async def run(self, command: str) -> ExitCode:
        """Run a command."""
        return await self._session.run(command)


@asynccontextmanager
async def running_daemon(answer: bytes, status: int) -> AsyncIterator[str]:
    """Run a daemon that answers each request the same; give its address."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n'
        writer.write(head.encode() + b'Connection: close\r\n\r\n' + answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    server.close()
