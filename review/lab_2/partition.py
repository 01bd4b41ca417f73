"""Cuts hosts off from all servers, for which the callers are told apart.

Hosts connect to servers from one loopback address, so a server finds the
process that holds the other end of a connection: one that the case started.
"""

import asyncio
import contextlib
import os
from collections.abc import Iterable
from pathlib import Path

from platform_soak.hosts import EntryHost
from platform_soak.servers import Server

#: Columns of /proc/net/tcp: the local and the remote address, and the inode of
#: the socket.
LOCAL_COLUMN = 1
REMOTE_COLUMN = 2
INODE_COLUMN = 9
#: Inode of a connection that no process holds any more.
ENDED = '0'
#: Times that a connection is looked for, and the pause between them in
#: seconds.
LOOKS = 20
LOOK_INTERVAL_S = 0.005
#: Bytes that are passed on at once.
PIECE_BYTES = 65_536


class Partition:
    """Hosts whose connections to servers are reset or hang."""

    def __init__(self) -> None:
        """Start without hosts."""
        self._hosts: list[EntryHost] = []
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self.cut_off: frozenset[str] = frozenset()
        self._hangs = False

    def watch(self, hosts: Iterable[EntryHost]) -> None:
        """Set the hosts that may connect."""
        self._hosts = list(hosts)

    def begin(self, names: Iterable[str], *, hangs: bool) -> None:
        """Cut some hosts off.

        Their connections hang, open and new ones, or else are reset.
        """
        self.cut_off = frozenset(names)
        self._hangs = hangs
        for writer, name in tuple(self._writers.items()):
            if name in self.cut_off and not hangs:
                writer.transport.abort()

    async def pass_on(self, writer: asyncio.StreamWriter) -> None:
        """Return once what has arrived on a connection may be read."""
        while self._writers.get(writer, '') in self.cut_off:
            await asyncio.sleep(LOOK_INTERVAL_S)

    def end(self) -> None:
        """Let all hosts connect again."""
        self.cut_off = frozenset()

    async def admit(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a new connection may stay; else it is reset."""
        name = ''
        for _ in range(LOOKS):
            name = self._find_host(
                writer.get_extra_info('peername')[1],
                writer.get_extra_info('sockname')[1],
            )
            if name:
                break
            # The list of connections may miss one while it changes.
            await asyncio.sleep(LOOK_INTERVAL_S)
        if name in self.cut_off and not self._hangs:
            writer.transport.abort()
            return False
        self._writers[writer] = name
        return True

    def forget(self, writer: asyncio.StreamWriter) -> None:
        """Forget a connection that has ended."""
        self._writers.pop(writer, None)

    def _find_host(self, port: int, server_port: int) -> str:
        """Return the host that connects from a port; empty if none does."""
        inode = _inode_of(port, server_port)
        for host in self._hosts:
            process = host.process
            if process is not None and inode in _sockets_of(process.pid):
                return host.name
        return ''


class PartitionedServer(Server):
    """A server that some hosts do not reach."""

    partition = Partition()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not await self.partition.admit(writer):
            return
        held = asyncio.StreamReader()
        passing = asyncio.create_task(self._pass_on(reader, held, writer))
        try:
            await super()._serve(held, writer)
        finally:
            passing.cancel()
            self.partition.forget(writer)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        held: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Give what arrives to the server, unless the connection hangs."""
        with contextlib.suppress(OSError):
            while not reader.at_eof():
                piece = await reader.read(PIECE_BYTES)
                await self.partition.pass_on(writer)
                held.feed_data(piece)
        held.feed_eof()


def _inode_of(port: int, server_port: int) -> str:
    """Return the inode of the socket that connects from a port to another."""
    ends = (f':{port:04X}', f':{server_port:04X}')
    for line in Path('/proc/net/tcp').read_text('ascii').splitlines():
        columns = line.split()
        inode = columns[INODE_COLUMN]
        addresses = (columns[LOCAL_COLUMN], columns[REMOTE_COLUMN])
        if inode != ENDED and all(map(str.endswith, addresses, ends)):
            return inode
    return ''


def _sockets_of(process: int) -> set[str]:
    """Return the inodes of the sockets of a process."""
    inodes: set[str] = set()
    folder = f'/proc/{process}/fd'
    try:
        names = os.listdir(folder)
    except OSError:
        return inodes
    for name in names:
        try:
            link = os.readlink(f'{folder}/{name}')
        except OSError:
            continue
        inodes.add(link.removeprefix('socket:[').removesuffix(']'))
    return inodes
