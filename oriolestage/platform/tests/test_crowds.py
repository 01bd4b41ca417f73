"""Tests of hosts whose clients do not behave, many at once.

Each starts a host of its own process. They check neither times nor shares of
requests that are served.
"""

import unittest

from oriolestage.platform.tests.crowded_host import (
    FILE_DESCRIPTORS,
    LONG_PATH,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    PORTS,
    STOPPING_PATH,
    CrowdedHost,
)
from oriolestage.platform.tests.crowds import (
    HTTP_CROWDS,
    PEER_CROWDS,
    Crowd,
    CrowdKind,
)

#: Time within which an ordinary request is answered after a crowd has left, in
#: seconds, and pause before a refused one is sent again.
ANSWER_S = 20.0
PAUSE_S = 0.2
ROUTED = '/bookings'
UNROUTED = '/nowhere'
READY = '/oriolestage/readyz'


class _CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Checks what a host uses beside a crowd, and that it serves after it."""

    async def asyncSetUp(self) -> None:
        """Start a host."""
        self._host = CrowdedHost()
        self.addAsyncCleanup(self._host.close)
        await self._host.start()

    async def _check(self, port: str, kind: CrowdKind, path: str) -> None:
        crowd = Crowd(self._host.address_of(PORTS[port]), kind)
        try:
            await crowd.run(path)
            usage = self._host.usage
        finally:
            crowd.close()
        answers = await self._host.answers(ANSWER_S, PAUSE_S)
        self.assertTrue(self._host.alive)
        used = f'{usage}, then {self._host.usage}'
        self.assertLess(self._host.usage.peak_mb, MEMORY_MB, used)
        self.assertLessEqual(
            usage.descriptors, MAX_DESCRIPTORS - FILE_DESCRIPTORS, used
        )
        self.assertTrue(answers, used)


class RoutedCrowdTest(_CrowdTest):
    """Callers ask for a path with a route."""

    async def test_short_bodies(self) -> None:
        """Bodies of legal size stop a byte short of their end."""
        await self._check(
            'callers', HTTP_CROWDS['short_bodies'], ROUTED + '/new'
        )

    async def test_small_pieces(self) -> None:
        """Bodies of legal size come in small pieces and stop."""
        await self._check(
            'callers', HTTP_CROWDS['small_pieces'], ROUTED + '/new'
        )

    async def test_chunks(self) -> None:
        """Bodies come in chunks of one byte and do not end."""
        await self._check('callers', HTTP_CROWDS['chunks'], ROUTED + '/new')

    async def test_long_bodies(self) -> None:
        """Bodies state a length far over the limit and come in full."""
        await self._check(
            'callers', HTTP_CROWDS['long_bodies'], ROUTED + '/new'
        )

    async def test_long_chunks(self) -> None:
        """Bodies in chunks go far over the limit."""
        await self._check(
            'callers', HTTP_CROWDS['long_chunks'], ROUTED + '/new'
        )

    async def test_open_heads(self) -> None:
        """Heads of legal size have very many short fields and no end."""
        await self._check('callers', HTTP_CROWDS['open_heads'], ROUTED + '/new')

    async def test_many_fields(self) -> None:
        """Heads of legal size with very many short fields follow."""
        await self._check(
            'callers', HTTP_CROWDS['many_fields'], ROUTED + '/new'
        )

    async def test_pipelined(self) -> None:
        """Many requests are sent and no answer is read."""
        await self._check(
            'callers', HTTP_CROWDS['pipelined'], ROUTED + LONG_PATH
        )

    async def test_pipelined_bodies(self) -> None:
        """Requests with bodies follow each other unread."""
        await self._check(
            'callers', HTTP_CROWDS['pipelined_bodies'], ROUTED + '/new'
        )

    async def test_slow_readers(self) -> None:
        """Answers are read a few bytes at a time."""
        await self._check(
            'callers', HTTP_CROWDS['slow_readers'], ROUTED + LONG_PATH
        )

    async def test_slow_heads(self) -> None:
        """Heads come in small pieces."""
        await self._check('callers', HTTP_CROWDS['slow_heads'], ROUTED + '/new')

    async def test_stopped_heads(self) -> None:
        """Heads stop half-way and the connections stay."""
        await self._check(
            'callers', HTTP_CROWDS['stopped_heads'], ROUTED + '/new'
        )

    async def test_silent(self) -> None:
        """Connections are opened and nothing is sent."""
        await self._check('callers', HTTP_CROWDS['silent'], ROUTED + '/new')

    async def test_stopping_answers(self) -> None:
        """Answers of targets stop a byte short of their end."""
        path = f'{ROUTED}{STOPPING_PATH}'
        await self._check('callers', HTTP_CROWDS['asking'], path)


class UnroutedCrowdTest(_CrowdTest):
    """Callers ask for a path without a route."""

    async def test_short_bodies(self) -> None:
        """Bodies of legal size stop a byte short of their end."""
        await self._check('callers', HTTP_CROWDS['short_bodies'], UNROUTED)

    async def test_small_pieces(self) -> None:
        """Bodies of legal size come in small pieces and stop."""
        await self._check('callers', HTTP_CROWDS['small_pieces'], UNROUTED)

    async def test_chunks(self) -> None:
        """Bodies come in chunks of one byte and do not end."""
        await self._check('callers', HTTP_CROWDS['chunks'], UNROUTED)

    async def test_long_bodies(self) -> None:
        """Bodies state a length far over the limit and come in full."""
        await self._check('callers', HTTP_CROWDS['long_bodies'], UNROUTED)

    async def test_long_chunks(self) -> None:
        """Bodies in chunks go far over the limit."""
        await self._check('callers', HTTP_CROWDS['long_chunks'], UNROUTED)

    async def test_open_heads(self) -> None:
        """Heads of legal size have very many short fields and no end."""
        await self._check('callers', HTTP_CROWDS['open_heads'], UNROUTED)

    async def test_many_fields(self) -> None:
        """Heads of legal size with very many short fields follow."""
        await self._check('callers', HTTP_CROWDS['many_fields'], UNROUTED)

    async def test_pipelined(self) -> None:
        """Many requests are sent and no answer is read."""
        await self._check('callers', HTTP_CROWDS['pipelined'], UNROUTED)

    async def test_pipelined_bodies(self) -> None:
        """Requests with bodies follow each other unread."""
        await self._check('callers', HTTP_CROWDS['pipelined_bodies'], UNROUTED)

    async def test_slow_readers(self) -> None:
        """Answers are read a few bytes at a time."""
        await self._check('callers', HTTP_CROWDS['slow_readers'], UNROUTED)

    async def test_slow_heads(self) -> None:
        """Heads come in small pieces."""
        await self._check('callers', HTTP_CROWDS['slow_heads'], UNROUTED)

    async def test_stopped_heads(self) -> None:
        """Heads stop half-way and the connections stay."""
        await self._check('callers', HTTP_CROWDS['stopped_heads'], UNROUTED)

    async def test_silent(self) -> None:
        """Connections are opened and nothing is sent."""
        await self._check('callers', HTTP_CROWDS['silent'], UNROUTED)


class ReadyCrowdTest(_CrowdTest):
    """Clients ask at the readiness address."""

    async def test_short_bodies(self) -> None:
        """Bodies of legal size stop a byte short of their end."""
        await self._check('ready', HTTP_CROWDS['short_bodies'], READY)

    async def test_small_pieces(self) -> None:
        """Bodies of legal size come in small pieces and stop."""
        await self._check('ready', HTTP_CROWDS['small_pieces'], READY)

    async def test_chunks(self) -> None:
        """Bodies come in chunks of one byte and do not end."""
        await self._check('ready', HTTP_CROWDS['chunks'], READY)

    async def test_long_bodies(self) -> None:
        """Bodies state a length far over the limit and come in full."""
        await self._check('ready', HTTP_CROWDS['long_bodies'], READY)

    async def test_long_chunks(self) -> None:
        """Bodies in chunks go far over the limit."""
        await self._check('ready', HTTP_CROWDS['long_chunks'], READY)

    async def test_open_heads(self) -> None:
        """Heads of legal size have very many short fields and no end."""
        await self._check('ready', HTTP_CROWDS['open_heads'], READY)

    async def test_many_fields(self) -> None:
        """Heads of legal size with very many short fields follow."""
        await self._check('ready', HTTP_CROWDS['many_fields'], READY)

    async def test_pipelined(self) -> None:
        """Many requests are sent and no answer is read."""
        await self._check('ready', HTTP_CROWDS['pipelined'], READY)

    async def test_pipelined_bodies(self) -> None:
        """Requests with bodies follow each other unread."""
        await self._check('ready', HTTP_CROWDS['pipelined_bodies'], READY)

    async def test_slow_readers(self) -> None:
        """Answers are read a few bytes at a time."""
        await self._check('ready', HTTP_CROWDS['slow_readers'], READY)

    async def test_slow_heads(self) -> None:
        """Heads come in small pieces."""
        await self._check('ready', HTTP_CROWDS['slow_heads'], READY)

    async def test_stopped_heads(self) -> None:
        """Heads stop half-way and the connections stay."""
        await self._check('ready', HTTP_CROWDS['stopped_heads'], READY)

    async def test_silent(self) -> None:
        """Connections are opened and nothing is sent."""
        await self._check('ready', HTTP_CROWDS['silent'], READY)


class MetricsCrowdTest(_CrowdTest):
    """Clients ask at the metrics address."""

    async def test_short_bodies(self) -> None:
        """Bodies of legal size stop a byte short of their end."""
        await self._check('metrics', HTTP_CROWDS['short_bodies'], '/metrics')

    async def test_long_chunks(self) -> None:
        """Bodies in chunks go far over the limit."""
        await self._check('metrics', HTTP_CROWDS['long_chunks'], '/metrics')

    async def test_many_fields(self) -> None:
        """Heads of legal size with very many short fields follow."""
        await self._check('metrics', HTTP_CROWDS['many_fields'], '/metrics')

    async def test_pipelined(self) -> None:
        """Many requests are sent and no answer is read."""
        await self._check('metrics', HTTP_CROWDS['pipelined'], '/metrics')

    async def test_silent(self) -> None:
        """Connections are opened and nothing is sent."""
        await self._check('metrics', HTTP_CROWDS['silent'], '/metrics')


class PeerCrowdTest(_CrowdTest):
    """Clients connect to the port for other hosts."""

    async def test_short_messages(self) -> None:
        """Messages stop a byte short of their end."""
        await self._check('hosts', PEER_CROWDS['short_messages'], '')

    async def test_compressed_messages(self) -> None:
        """Messages are much longer than on the stream."""
        await self._check('hosts', PEER_CROWDS['compressed_messages'], '')

    async def test_silent_streams(self) -> None:
        """Streams are opened and nothing is sent."""
        await self._check('hosts', PEER_CROWDS['silent_streams'], '')
