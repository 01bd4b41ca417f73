"""TCP streams of length-prefixed data messages between hosts.

Each stream carries messages one way: a host opens one to every peer that it
sends to, and accepts those of its peers.
"""

import asyncio
import contextlib
import socket

from aiomisc import Service

from oriolestage._frames import frame, read_frame
from oriolestage._logging import log_event
from oriolestage.core import DataMessage, decode_data, encode_message
from oriolestage.daemon._events import (
    DataArrived,
    DataNotSent,
    Inbox,
    PeerLost,
)

#: Timeout for connecting to a peer, in seconds.
CONNECT_TIMEOUT_S = 0.5


class _Link:
    """One outgoing stream, written by a task of its own.

    A link that failed is not reopened; messages still in its queue are
    reported as ``DataNotSent``.
    """

    def __init__(
        self,
        peer: str,
        address: str,
        source_ip: str,
        inbox: Inbox,
    ) -> None:
        self._peer = peer
        self._address = address
        self._source_ip = source_ip
        self._inbox = inbox
        self._outgoing: asyncio.Queue[DataMessage] = asyncio.Queue()
        self._closed = False
        self._task = asyncio.create_task(self._run())

    @property
    def address(self) -> str:
        """Address of the peer, as ``ip:port``."""
        return self._address

    @property
    def closed(self) -> bool:
        """Whether the stream ended."""
        return self._closed

    def send(self, message: DataMessage) -> None:
        """Queue a message for sending."""
        self._outgoing.put_nowait(message)

    def close(self) -> None:
        """Cancel the task, which closes the stream."""
        self._task.cancel()

    async def _run(self) -> None:
        try:
            reader, writer = await self._connect()
        except (OSError, TimeoutError) as error:
            self._end('link.connect', error)
            return
        read_task = asyncio.create_task(reader.read(1))
        try:
            await self._write_until_closed(writer, read_task)
        except OSError as error:
            self._report_lost('link.write', error)
        finally:
            read_task.cancel()
            writer.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self._address.rsplit(':', 1)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(
                host,
                int(port),
                local_addr=(self._source_ip, 0),
            )

    async def _write_until_closed(
        self,
        writer: asyncio.StreamWriter,
        read_task: asyncio.Task[bytes],
    ) -> None:
        while True:
            get_task = asyncio.create_task(self._outgoing.get())
            await asyncio.wait(
                (get_task, read_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if read_task.done():
                await self._cancel_get(get_task)
                self._report_lost('link.read', 'closed by peer')
                return
            frames = [frame(encode_message(get_task.result()))]
            while not self._outgoing.empty():
                message = self._outgoing.get_nowait()
                frames.append(frame(encode_message(message)))
            writer.writelines(frames)
            await writer.drain()

    async def _cancel_get(self, get_task: asyncio.Task[DataMessage]) -> None:
        if get_task.done():
            self._outgoing.put_nowait(get_task.result())
            return
        get_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await get_task

    def _report_lost(self, step: str, error: object) -> None:
        self._end(step, error)
        self._inbox.put_nowait(PeerLost(self._peer))

    def _end(self, step: str, error: object) -> None:
        self._closed = True
        log_event(
            'peer_stream_ended',
            {'step': step, 'peer': self._peer, 'error': error},
        )
        while not self._outgoing.empty():
            message = self._outgoing.get_nowait()
            self._inbox.put_nowait(DataNotSent(self._peer, message))


class DataLinks:
    """Sends messages to peers, over one outgoing stream for each."""

    def __init__(self, source_ip: str, inbox: Inbox) -> None:
        """Create a sender that connects from ``source_ip``."""
        self._source_ip = source_ip
        self._inbox = inbox
        self._links: dict[str, _Link] = {}

    def send(self, peer: str, address: str, message: DataMessage) -> None:
        """Send a message to a peer.

        Opens a stream if there is none, if the last one ended or if the
        address of the peer changed.
        """
        link = self._links.get(peer)
        if link is None or link.closed or link.address != address:
            link = _Link(peer, address, self._source_ip, self._inbox)
            self._links[peer] = link
        link.send(message)

    def close(self) -> None:
        """Close all streams."""
        for link in self._links.values():
            link.close()


class DataListener(Service):
    """Accepts streams of peers and passes their messages to the inbox."""

    def __init__(self, listener: socket.socket, inbox: Inbox) -> None:
        """Create a server on a socket that is bound and listening."""
        super().__init__()
        self._listener = listener
        self._inbox = inbox
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to accept streams."""
        self._server = await asyncio.start_server(
            self._serve_stream,
            sock=self._listener,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop accepting streams."""
        if self._server is not None:
            self._server.close()

    async def _serve_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._receive(reader)
        except (asyncio.IncompleteReadError, OSError):
            return
        except ValueError as error:
            log_event(
                'data_malformed',
                {'step': 'link.decode', 'error': error},
            )
        finally:
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        while True:
            message = decode_data(await read_frame(reader))
            self._inbox.put_nowait(DataArrived(message))
