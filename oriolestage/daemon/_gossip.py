"""Gossip messages between hosts over ``pynng`` push and pull sockets."""

import asyncio
from collections import OrderedDict

import pynng
from aiomisc import Service

from oriolestage._logging import log_event
from oriolestage.core import (
    GossipMessage,
    MalformedError,
    decode_gossip,
    encode_message,
)
from oriolestage.daemon._events import GossipArrived, Inbox

#: Number of sockets to peers that are kept open.
MAX_OPEN_SOCKETS = 64
#: Time after which an unsent message is dropped, in milliseconds.
SEND_TIMEOUT_MS = 300
#: Range of the back-off between attempts to connect, in milliseconds.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000


class GossipSender:
    """Sends gossip messages, over one push socket for each address.

    The least recently used socket is closed when there are too many.
    """

    def __init__(self, source_ip: str) -> None:
        """Create a sender that connects from ``source_ip``."""
        self._source_ip = source_ip
        self._sockets: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._send_tasks: set[asyncio.Task[None]] = set()

    def send(self, address: str, message: GossipMessage) -> None:
        """Send a message in the background; it may be lost without notice."""
        socket = self._get_socket(address)
        task = asyncio.create_task(_send(socket, encode_message(message)))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()

    def _get_socket(self, address: str) -> pynng.Push0:
        socket = self._sockets.get(address)
        if socket is not None:
            self._sockets.move_to_end(address)
            return socket
        socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f'tcp://{self._source_ip};{address}', block=False)
        self._sockets[address] = socket
        if len(self._sockets) > MAX_OPEN_SOCKETS:
            _, oldest = self._sockets.popitem(last=False)
            oldest.close()
        return socket


async def _send(socket: pynng.Push0, payload: bytes) -> None:
    try:
        await socket.asend(payload)
    except pynng.NNGException:
        # Gossip tolerates lost messages, and probes of the membership detect
        # unreachable hosts.
        return


class GossipListener(Service):
    """Receives gossip messages on a pull socket."""

    def __init__(self, address: str, inbox: Inbox) -> None:
        """Create a receiver that passes messages to ``inbox``."""
        super().__init__()
        self._address = address
        self._inbox = inbox
        self._socket = pynng.Pull0()

    def bind(self) -> None:
        """Bind the address; raise ``pynng.NNGException`` if it is in use."""
        self._socket.listen(f'tcp://{self._address}')

    async def start(self) -> None:
        """Receive until the service is stopped."""
        self.start_event.set()
        task = asyncio.current_task()
        # pynng drops a cancellation that arrives together with a message.
        while task is not None and not task.cancelling():
            payload = await self._socket.arecv()
            try:
                message = decode_gossip(payload)
            except MalformedError as error:
                log_event(
                    'gossip_malformed',
                    {'step': 'gossip.decode', 'error': error},
                )
                continue
            self._inbox.put_nowait(GossipArrived(message))

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the socket."""
        self._socket.close()
