"""Gossip messages between hosts over ``pynng`` push and pull sockets."""

import asyncio
from collections import OrderedDict

import pynng
from aiomisc import Service

from oriolestage.core import (
    GossipMessage,
    decode_gossip,
    encode_message,
)
from oriolestage.daemon._events import GossipArrived, Inbox
from oriolestage.daemon._failure_log import FailureLog

#: Number of sockets to peers that are kept open.
MAX_OPEN_SOCKETS = 64
#: Time after which an unsent message is dropped, in milliseconds.
SEND_TIMEOUT_MS = 300
#: Range of the back-off between attempts to connect, in milliseconds.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
#: Pause after an error of the socket before it is read again, in seconds.
RECEIVE_RETRY_S = 0.1


class GossipSender:
    """Sends gossip messages, over one push socket for each address.

    The least recently used socket is closed when there are too many.
    """

    def __init__(self, source_ip: str, failures: FailureLog) -> None:
        """Create a sender that connects from ``source_ip``."""
        self._source_ip = source_ip
        self._failures = failures
        self._sockets: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._send_tasks: set[asyncio.Task[None]] = set()

    def send(self, address: str, message: GossipMessage) -> None:
        """Send a message in the background.

        It may be lost; only errors that are not expected are logged.
        """
        try:
            payload = encode_message(message)
            socket = self._get_socket(address)
        except Exception as error:
            self._failures.record_unexpected('gossip.send', error)
            return
        task = asyncio.create_task(_send(socket, payload))
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
        try:
            socket.dial(f'tcp://{self._source_ip};{address}', block=False)
        except pynng.NNGException:
            socket.close()
            raise
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

    def __init__(
        self, address: str, inbox: Inbox, failures: FailureLog
    ) -> None:
        """Create a receiver that passes messages to ``inbox``."""
        super().__init__()
        self._address = address
        self._inbox = inbox
        self._failures = failures
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
            try:
                payload = await self._socket.arecv()
            except pynng.Closed:
                return
            except Exception as error:
                self._failures.record_unexpected('gossip.receive', error)
                await asyncio.sleep(RECEIVE_RETRY_S)
                continue
            self._pass_on(payload)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the socket."""
        self._socket.close()

    def _pass_on(self, payload: bytes) -> None:
        try:
            message = decode_gossip(payload)
        except Exception as error:
            self._failures.record_malformed(
                'gossip_malformed', 'gossip.decode', error
            )
            return
        self._inbox.put_nowait(GossipArrived(message))
