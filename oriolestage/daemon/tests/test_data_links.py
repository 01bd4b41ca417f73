"""Tests of the streams of data messages between hosts."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import IsolatedAsyncioTestCase, mock

import msgspec

from oriolestage._frames import frame
from oriolestage.core import encode_message
from oriolestage.core._messages import (
    AcquireTargets,
    CancelAttempts,
    ShardBatch,
)
from oriolestage.core.tests.messages import data_messages
from oriolestage.daemon._data_links import DataLinks, DataListener
from oriolestage.daemon._events import (
    DataArrived,
    DataNotSent,
    Event,
    Inbox,
    PeerLost,
)
from oriolestage.daemon._failure_log import FailureLog

#: Time within which an event has to arrive, in seconds.
TIMEOUT_S = 10.0
#: Lists nested deeper than any recursion limit of a decoder.
DEEP_LISTS = b'\x91' * 100_000
CANCEL = CancelAttempts('entry-2', (1,))
ACQUIRE = AcquireTargets('entry-2', ('search-0-0',))


class Receiver:
    """A listener on loopback and the events that it passed on."""

    def __init__(self) -> None:
        """Listen on a free port."""
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setblocking(False)
        port = listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.failures = FailureLog()
        self.inbox: Inbox = asyncio.Queue()
        self.service = DataListener(listener, self.inbox, self.failures)

    async def next_event(self) -> Event:
        """Return the next event."""
        return await next_event(self.inbox)


async def next_event(inbox: Inbox) -> Event:
    """Return the next event of an inbox, within a time limit."""
    async with asyncio.timeout(TIMEOUT_S):
        return await inbox.get()


@asynccontextmanager
async def running_receiver() -> AsyncIterator[Receiver]:
    """Run a receiver."""
    receiver = Receiver()
    await receiver.service.start()
    yield receiver
    await receiver.service.stop()


class DataListenerTest(IsolatedAsyncioTestCase):
    """A malformed message ends its own exchange only."""

    async def test_next_message_arrives(self) -> None:
        """Guards against one message that ends all requests of a peer.

        The stream was closed, and its peer reported each request on it as
        one that may have run.
        """
        good = encode_message(ACQUIRE)
        cases = (
            ('deep lists', bytes([good[0] + 1]) + good[1:] + DEEP_LISTS),
            ('cut off', good[:-3]),
            ('empty', b''),
            ('not UTF-8', good.replace(b'entry', b'ent\xff\xfe')),
            ('unknown kind', b'\x91\x7f'),
            ('not a list', b'\x01'),
        )
        for name, payload in cases:
            with self.subTest(name):
                async with running_receiver() as receiver:
                    ip, port = receiver.address.split(':')
                    _, writer = await asyncio.open_connection(ip, int(port))
                    writer.write(frame(payload) + frame(good))
                    arrived = await receiver.next_event()
                    self.assertEqual(arrived, DataArrived(ACQUIRE))
                    counts = receiver.failures.counts
                    self.assertEqual(counts['link.decode'], 1)
                    writer.close()

    async def test_unexpected_error(self) -> None:
        """An error that no decoder should raise is counted and skipped."""
        with mock.patch(
            'oriolestage.daemon._data_links.decode_data',
            side_effect=(KeyError('decoder'), ACQUIRE),
        ):
            async with running_receiver() as receiver:
                ip, port = receiver.address.split(':')
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.write(frame(b'first') + frame(b'second'))
                arrived = await receiver.next_event()
                self.assertEqual(arrived, DataArrived(ACQUIRE))
                self.assertEqual(receiver.failures.counts['link.decode'], 1)
                writer.close()


class DataLinksTest(IsolatedAsyncioTestCase):
    """A message that cannot be sent is reported, and the next one is sent."""

    async def test_message_that_cannot_be_sent(self) -> None:
        """Guards against a link that stays open and sends nothing more.

        The task of the link ended with the error of the encoder.
        """
        batch = data_messages()[0]
        assert isinstance(batch, ShardBatch)
        cases = (
            ('number', msgspec.structs.replace(batch, version=1 << 64)),
            ('text', msgspec.structs.replace(batch, caller='\udcff')),
            ('size', msgspec.structs.replace(batch, body=bytes(1 << 24))),
        )
        for name, message in cases:
            with self.subTest(name):
                async with running_receiver() as receiver:
                    inbox: Inbox = asyncio.Queue()
                    links = DataLinks('127.0.0.1', inbox, FailureLog())
                    links.send('entry-1', receiver.address, CANCEL)
                    links.send('entry-1', receiver.address, message)
                    links.send('entry-1', receiver.address, ACQUIRE)
                    not_sent = await next_event(inbox)
                    assert isinstance(not_sent, DataNotSent)
                    self.assertIs(not_sent.message, message)
                    for expected in (CANCEL, ACQUIRE):
                        arrived = await receiver.next_event()
                        self.assertEqual(arrived, DataArrived(expected))
                    self.assertTrue(inbox.empty())
                    links.close()

    async def test_bad_address(self) -> None:
        """Guards against messages that wait for ever for a connection."""
        for address in ('127.0.0.1:99999', '127.0.0.1', 'a:b', '127.0.0.1:-1'):
            with self.subTest(address):
                inbox: Inbox = asyncio.Queue()
                links = DataLinks('127.0.0.1', inbox, FailureLog())
                links.send('entry-1', address, CANCEL)
                not_sent = await next_event(inbox)
                self.assertEqual(not_sent, DataNotSent('entry-1', CANCEL))
                links.close()

    async def test_unexpected_error_while_writing(self) -> None:
        """The peer counts as lost, and the next message opens a new link."""
        async with running_receiver() as receiver:
            inbox: Inbox = asyncio.Queue()
            failures = FailureLog()
            links = DataLinks('127.0.0.1', inbox, failures)
            with mock.patch(
                'asyncio.StreamWriter.writelines', side_effect=KeyError('write')
            ):
                links.send('entry-1', receiver.address, CANCEL)
                self.assertEqual(await next_event(inbox), PeerLost('entry-1'))
            links.send('entry-1', receiver.address, ACQUIRE)
            arrived = await receiver.next_event()
            self.assertEqual(arrived, DataArrived(ACQUIRE))
            self.assertEqual(failures.counts['link.write'], 1)
            links.close()
