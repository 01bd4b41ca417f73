"""Property tests of the server for callers against mutated requests."""

import asyncio
import contextlib
import logging
from collections import Counter
from unittest import TestCase, mock

import uvloop
from hypothesis import HealthCheck, example, given, settings

from oriolestage.entry import _caller_connection
from oriolestage.platform.tests.caller_mutations import (
    GOOD_STREAMS,
    Stream,
    connections,
)
from oriolestage.platform.tests.served_callers import (
    BODY,
    FIELDS,
    EchoingTarget,
    ForwardingRouter,
    ask,
    serving,
)
from oriolestage.platform.tests.strict_messages import (
    SentRequest,
    read_requests,
    read_statuses,
)
from oriolestage.routing import _connection_ages
from oriolestage.routing._rules import CallerLimits

#: Same examples in every run, few enough for some seconds.
BOUNDS = settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
#: Limits that end each connection soon.
SHORT = CallerLimits(header_timeout_s=0.01, idle_timeout_s=0.02)
SOUND = b'GET /sound/ HTTP/1.1\r\n' + FIELDS + b'Connection: close\r\n\r\n'
#: Statuses of the server's own that say nothing of the request.
ERRORS = frozenset((500, 502, 504))


class MutatedRequestTest(TestCase):
    """Each request ends, and a target gets only what one caller has sent."""

    def setUp(self) -> None:
        """Start an event loop with a server and a target."""
        for patch in (
            # Just after its start, a host closes connections after a response.
            mock.patch.object(_connection_ages, 'SETTLING_S', 0),
            mock.patch.object(_caller_connection, 'LINGERING_TIME_S', 0.02),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        self._limits = SHORT
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self._runner.close)
        self._target = EchoingTarget()
        self._exits = contextlib.AsyncExitStack()
        self._address = self._runner.run(self._start())
        self.addCleanup(lambda: self._runner.run(self._exits.aclose()))

    @BOUNDS
    @given(connections())
    @example([Stream((content,)) for content in GOOD_STREAMS])
    def test_mutations(self, sent: list[Stream]) -> None:
        """Guards against smuggled requests, cut answers and a 500."""
        self._limits = SHORT
        self._target.received.clear()
        received = self._runner.run(self._send(sent))
        requests: Counter[SentRequest] = Counter()
        for stream, answers in zip(sent, received, strict=True):
            own_requests = read_requests(stream.content)
            requests.update(own_requests)
            statuses = read_statuses(answers, own_requests)
            self.assertTrue(ERRORS.isdisjoint(statuses), (stream, statuses))
            self.assertLessEqual(len(statuses), len(own_requests) + 1, stream)
        forwarded: Counter[SentRequest] = Counter()
        for head, body in self._target.received:
            forwarded.update(read_requests(head + body))
        self.assertEqual(forwarded.total(), len(self._target.received))
        self.assertEqual(forwarded - requests, Counter(), sent)
        self._check_sound()

    async def _start(self) -> tuple[str, int]:
        await self._target.start()
        router = ForwardingRouter(self._target.address)
        self._exits.callback(self._target.close)
        self._exits.callback(router.close)
        server = serving(router, lambda: self._limits)
        return await self._exits.enter_async_context(server)

    async def _send(self, sent: list[Stream]) -> list[bytes]:
        return await asyncio.gather(
            *(ask(self._address, stream.parts) for stream in sent)
        )

    def _check_sound(self) -> None:
        """Check that a good request is served on a new connection."""
        self._limits = CallerLimits()
        answer = self._runner.run(ask(self._address, (SOUND,)))
        self.assertEqual(read_statuses(answer, []), [200])
        self.assertTrue(answer.endswith(BODY))
