"""Tests of receiving gossip."""

import asyncio
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.daemon._events import Event
from oriolestage.daemon._gossip import GossipListener


class _MessageAtCancellation:
    """A socket on which a message arrives just as a receive is cancelled."""

    def __init__(self) -> None:
        self.receives = 0

    async def arecv(self) -> bytes:
        """Return the message instead of the cancellation, as pynng does.

        Raises ``OSError`` when it is called again.
        """
        self.receives += 1
        if self.receives > 1:
            raise OSError('received after the cancellation')
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return b'not gossip'
        return b''


class GossipListenerTest(IsolatedAsyncioTestCase):
    """The listener stops with its service."""

    async def test_message_at_cancellation(self) -> None:
        """Guards against a planned stop that waits for ever.

        The listener went on receiving when a message arrived together with
        its cancellation.
        """
        inbox: asyncio.Queue[Event] = asyncio.Queue()
        with mock.patch('pynng.Pull0', _MessageAtCancellation):
            listener = GossipListener('127.0.0.1:1', inbox)
        listener.set_loop(asyncio.get_running_loop())
        task = asyncio.create_task(listener.start())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,))
        self.assertIsNone(task.exception())
