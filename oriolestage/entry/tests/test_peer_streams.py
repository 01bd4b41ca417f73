"""Tests of the bound on the streams of other hosts."""

import asyncio
from unittest import TestCase, mock

from oriolestage.entry._caller_connections import ConnectionGuard
from oriolestage.entry._peer_streams import (
    SILENT_S,
    PeerStream,
    PeerStreams,
)
from oriolestage.routing._rules import CallerLimits

BOUND = 8


class SilentStreamsTest(TestCase):
    """Streams of hosts that were lost make room for those of others.

    A host that loses power, or whose link drops its messages, does not close
    its streams. They took all room after a while, and no host could open one.
    """

    def setUp(self) -> None:
        """Fill the room with streams that have had a message."""
        self._now = 100.0
        patcher = mock.patch('time.monotonic', lambda: self._now)
        patcher.start()
        self.addCleanup(patcher.stop)
        guard = ConnectionGuard(connections=BOUND)
        self._streams = PeerStreams(guard, CallerLimits)
        self._opened: list[PeerStream] = []
        for _ in range(BOUND):
            stream = self._add()
            assert stream is not None
            stream.note_message()
            self._opened.append(stream)

    def test_lost_host(self) -> None:
        """A stream without a message for long is closed for a new one."""
        self._now += SILENT_S
        for stream in self._opened[1:]:
            stream.note_message()
        added = self._add()
        assert added is not None
        added.note_message()
        self.assertIsNone(self._add())

    def test_in_use(self) -> None:
        """A stream that is pinged is not closed."""
        self._now += SILENT_S / 2
        self.assertIsNone(self._add())

    def _add(self) -> PeerStream | None:
        reader = mock.Mock(asyncio.StreamReader)
        return self._streams.add(reader, mock.Mock(asyncio.StreamWriter))
