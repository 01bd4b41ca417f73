"""Tests of the time at which a partial answer is given."""

import asyncio
import time
import unittest

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._ports import RequestMetadata
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.account_checks import (
    make_unused_checker,
    make_unused_quotas,
)
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptOutcome,
    Gathered,
    RequestResult,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import ConfigurationStored
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing.tests.builders import (
    make_answer,
    make_crash_detector,
    make_group,
    make_placement,
    make_record,
    make_rule,
)

OBJECTIVE_S = 0.3
NETWORK_DELAY_S = 0.1
#: Time for which the event loop is busy, in seconds.
BUSY_S = 0.08


class OneUnresponsiveTarget:
    """Answers attempts at once, except at one target that never answers."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt."""
        if call.target == 't-1':
            await asyncio.Event().wait()
        return AttemptAnswered(make_answer(signature=call.target))


def _make_router() -> RequestRouter:
    """Return a router for a query over four shards, one unresponsive."""
    records = tuple(
        make_record(f't-{shard}', f'shard-{shard}') for shard in range(4)
    )
    placement, directory = make_placement(records=records)
    peers = PeerDirectory(placement.location)
    crash_detector = make_crash_detector()
    cluster_state = ClusterState(directory, placement, peers, crash_detector)
    rule = make_rule(make_group(4, 0.7), objective_s=OBJECTIVE_S)
    table = build_table(1, (rule,), (), CallerLimits())
    cluster_state.apply(ConfigurationStored(table), 0)
    return RequestRouter(
        cluster_state,
        placement,
        peers,
        OneUnresponsiveTarget(),
        crash_detector,
        PeerClient(lambda _: None),
        BudgetBounds(),
        RequestLog(EntryMetrics(), float),
        make_unused_checker(),
        make_unused_quotas(),
    )


async def _serve(
    router: RequestRouter, network_delay_s: float
) -> tuple[RequestResult, float]:
    """Serve a query; return its result and its duration in seconds."""
    arrived_at = time.monotonic()
    result = await router.serve(
        CallerRequest(
            metadata=RequestMetadata('a', 1.0),
            method='GET',
            host='search.example',
            path='/rota/a',
            headers=(('Host', 'search.example'),),
            body=b'',
            arrived_at=arrived_at,
            network_delay_s=network_delay_s,
            fingerprint=1,
        ),
    )
    return result, time.monotonic() - arrived_at


async def _serve_on_busy_host(loop: VirtualTimeLoop) -> list[float]:
    """Serve two queries whose answers are due while the host is busy.

    Return their durations in seconds.
    """
    router = _make_router()
    durations: list[float] = []
    for _ in range(2):
        loop.call_later(OBJECTIVE_S - BUSY_S / 4, loop.stay_busy, BUSY_S)
        durations.append((await _serve(router, 0))[1])
        # The overrun is recorded once the answer is written.
        await asyncio.sleep(0)
    return durations


class PartialAnswerTest(unittest.TestCase):
    """A partial answer reaches the caller within the latency objective."""

    def test_network_delay(self) -> None:
        """The caller's network delay is subtracted from the objective."""
        loop = VirtualTimeLoop()
        result, duration_s = run_in_virtual_time(
            loop, _serve(_make_router(), NETWORK_DELAY_S)
        )
        assert isinstance(result, Gathered)
        self.assertEqual(result.missing, 1)
        self.assertLess(duration_s, OBJECTIVE_S - NETWORK_DELAY_S)
        # Nor is it given much earlier, since the shard may still answer.
        self.assertGreater(duration_s, (OBJECTIVE_S - NETWORK_DELAY_S) / 2)

    def test_busy_host(self) -> None:
        """Guards against partial answers just after the objective.

        The event loop is busy when the answer is due, as on a host with
        little processor time; the next answer is given earlier.
        """
        loop = VirtualTimeLoop()
        first_s, second_s = run_in_virtual_time(loop, _serve_on_busy_host(loop))
        self.assertGreater(first_s, OBJECTIVE_S)
        self.assertLess(second_s, OBJECTIVE_S)
