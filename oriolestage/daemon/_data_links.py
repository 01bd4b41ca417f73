"""TCP streams of length-prefixed data messages between hosts.

Each stream carries messages one way: a host opens one to every peer that it
sends to, and accepts those of its peers.
"""

import asyncio
import contextlib
import socket
from collections.abc import Sequence

from aiomisc import Service

from oriolestage._frames import MAX_MESSAGE_BYTES, frame, read_frame
from oriolestage._logging import log_event
from oriolestage.core import DataMessage, decode_data, encode_message
from oriolestage.daemon._events import (
    DataArrived,
    DataNotSent,
    Inbox,
    PeerLost,
)
from oriolestage.daemon._failure_log import FailureLog

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
        failures: FailureLog,
    ) -> None:
        self._peer = peer
        self._address = address
        self._source_ip = source_ip
        self._inbox = inbox
        self._failures = failures
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
        except Exception as error:
            self._count_unexpected('link.connect', error)
            self._end('link.connect', error)
            return
        read_task = asyncio.create_task(reader.read(1))
        try:
            await self._write_until_closed(writer, read_task)
        except Exception as error:
            self._count_unexpected('link.write', error)
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
            try:
                await asyncio.wait(
                    (get_task, read_task),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            except asyncio.CancelledError:
                get_task.cancel()
                raise
            if read_task.done():
                await self._cancel_get(get_task)
                self._report_lost('link.read', 'closed by peer')
                return
            messages = [get_task.result()]
            while not self._outgoing.empty():
                messages.append(self._outgoing.get_nowait())
            writer.writelines(self._encode_all(messages))
            await writer.drain()

    def _encode_all(self, messages: Sequence[DataMessage]) -> list[bytes]:
        """Return the frames of messages; report those that have none."""
        frames: list[bytes] = []
        for message in messages:
            try:
                frames.append(_encode_frame(message))
            except Exception as error:
                self._failures.record_unexpected('link.encode', error)
                self._inbox.put_nowait(DataNotSent(self._peer, message))
        return frames

    async def _cancel_get(self, get_task: asyncio.Task[DataMessage]) -> None:
        if get_task.done():
            self._outgoing.put_nowait(get_task.result())
            return
        get_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await get_task

    def _count_unexpected(self, step: str, error: Exception) -> None:
        if not isinstance(error, OSError):
            self._failures.record_unexpected(step, error)

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

    def __init__(
        self, source_ip: str, inbox: Inbox, failures: FailureLog
    ) -> None:
        """Create a sender that connects from ``source_ip``."""
        self._source_ip = source_ip
        self._inbox = inbox
        self._failures = failures
        self._links: dict[str, _Link] = {}

    def send(self, peer: str, address: str, message: DataMessage) -> None:
        """Send a message to a peer.

        Opens a stream if there is none, if the last one ended or if the
        address of the peer changed.
        """
        link = self._links.get(peer)
        if link is None or link.closed or link.address != address:
            link = _Link(
                peer, address, self._source_ip, self._inbox, self._failures
            )
            self._links[peer] = link
        link.send(message)

    def close(self) -> None:
        """Close all streams."""
        for link in self._links.values():
            link.close()


class DataListener(Service):
    """Accepts streams of peers and passes their messages to the inbox."""

    def __init__(
        self, listener: socket.socket, inbox: Inbox, failures: FailureLog
    ) -> None:
        """Create a server on a socket that is bound and listening."""
        super().__init__()
        self._listener = listener
        self._inbox = inbox
        self._failures = failures
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
            await self._receive(reader, _peer_address(writer))
        except (asyncio.IncompleteReadError, OSError):
            return
        except Exception as error:
            # The length of a message is invalid, so the next one cannot be
            # found.
            self._failures.record_malformed(
                'data_malformed', 'link.frame', error, _peer_address(writer)
            )
        finally:
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, peer: str) -> None:
        while True:
            payload = await read_frame(reader)
            try:
                message = decode_data(payload)
            except Exception as error:
                self._failures.record_malformed(
                    'data_malformed', 'link.decode', error, peer
                )
                continue
            self._inbox.put_nowait(DataArrived(message))


def _peer_address(writer: asyncio.StreamWriter) -> str:
    return str(writer.get_extra_info('peername', ''))


def _encode_frame(message: DataMessage) -> bytes:
    payload = encode_message(message)
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(f'message of {len(payload)} bytes is too long')
    return frame(payload)
