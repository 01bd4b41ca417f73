"""Tests of receiving gossip."""

import asyncio
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.core import encode_message
from oriolestage.core._messages import RevisionQuery
from oriolestage.core.tests.messages import gossip_messages
from oriolestage.daemon._events import Event, GossipArrived
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._gossip import GossipListener, GossipSender

#: Time within which a message has to arrive, in seconds.
TIMEOUT_S = 10.0
#: Lists nested deeper than any recursion limit of a decoder.
DEEP_LISTS = b'\x91' * 100_000


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


class _ScriptedSocket:
    """A socket that gives messages or errors and then waits for ever."""

    def __init__(self, *results: bytes | Exception) -> None:
        self._results = list(results)

    async def arecv(self) -> bytes:
        """Return the next message, or raise the next error."""
        if not self._results:
            await asyncio.Event().wait()
        received = self._results.pop(0)
        if isinstance(received, Exception):
            raise received
        return received


class GossipListenerTest(IsolatedAsyncioTestCase):
    """The listener stops with its service."""

    async def test_message_at_cancellation(self) -> None:
        """Guards against a planned stop that waits for ever.

        The listener went on receiving when a message arrived together with
        its cancellation.
        """
        inbox: asyncio.Queue[Event] = asyncio.Queue()
        with mock.patch('pynng.Pull0', _MessageAtCancellation):
            listener = GossipListener('127.0.0.1:1', inbox, FailureLog())
        listener.set_loop(asyncio.get_running_loop())
        task = asyncio.create_task(listener.start())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,))
        self.assertIsNone(task.exception())

    async def test_errors(self) -> None:
        """Guards against a host that hears of no other host any more.

        The task ended with the first error that was not a DecodeError.
        """
        good = gossip_messages()[0]
        encoded = encode_message(good)
        deep = bytes([encoded[0] + 1]) + encoded[1:] + DEEP_LISTS
        cases = (
            ('deep lists', deep, 'gossip.decode'),
            ('not a message', b'\x01', 'gossip.decode'),
            ('error of the socket', OSError('receive'), 'gossip.receive'),
            ('unexpected error', KeyError('receive'), 'gossip.receive'),
        )
        for name, received, step in cases:
            with self.subTest(name):
                inbox: asyncio.Queue[Event] = asyncio.Queue()
                failures = FailureLog()
                socket = _ScriptedSocket(received, encode_message(good))
                with mock.patch('pynng.Pull0', return_value=socket):
                    listener = GossipListener('127.0.0.1:1', inbox, failures)
                listener.set_loop(asyncio.get_running_loop())
                task = asyncio.create_task(listener.start())
                async with asyncio.timeout(TIMEOUT_S):
                    arrived = await inbox.get()
                self.assertEqual(arrived, GossipArrived(good))
                self.assertEqual(failures.counts[step], 1)
                task.cancel()
                await asyncio.wait((task,))


class GossipSenderTest(IsolatedAsyncioTestCase):
    """A message that cannot be sent is dropped and logged."""

    async def test_bad_message_or_address(self) -> None:
        """Guards against a daemon that ends because of one member."""
        cases = (
            ('address', 'nowhere', RevisionQuery('entry-1', 1)),
            ('number', '127.0.0.1:1', RevisionQuery('entry-1', 1 << 64)),
        )
        for name, address, message in cases:
            with self.subTest(name):
                failures = FailureLog()
                sender = GossipSender('127.0.0.1', failures)
                sender.send(address, message)
                self.assertEqual(failures.counts['gossip.send'], 1)
                sender.close()
