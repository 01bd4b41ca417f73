"""Tests of the requests that a host serves while it is being stopped."""

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
    Delivered,
    Failed,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import ConfigurationStored
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._recent_durations import MIN_REQUESTS
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import CallerLimits, SingleService, build_table
from oriolestage.routing.tests.builders import (
    make_answer,
    make_crash_detector,
    make_placement,
    make_record,
    make_rule,
)

#: Timeout of the route, and time until requests end, in seconds.
TIMEOUT_S = 3.0
ENDS_AFTER_S = 2.0


class BusyTarget:
    """A target that works on each request for the same time."""

    def __init__(self) -> None:
        """Create a target that answers at once."""
        self.work_s: float = 0
        self.calls: list[TargetCall] = []

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt after some time."""
        self.calls.append(call)
        await asyncio.sleep(self.work_s)
        return AttemptAnswered(make_answer(signature=call.target))


def _make_router(
    target: BusyTarget, *, repeatable: bool, metrics: EntryMetrics | None = None
) -> RequestRouter:
    """Return a router for a route to one target with two slots."""
    records = (make_record('t-1', 'shard-0'),)
    placement, directory = make_placement(records=records)
    peers = PeerDirectory(placement.location)
    crash_detector = make_crash_detector()
    cluster_state = ClusterState(directory, placement, peers, crash_detector)
    rule = make_rule(
        SingleService('shard-0'), timeout_s=TIMEOUT_S, repeatable=repeatable
    )
    table = build_table(1, (rule,), (), CallerLimits())
    cluster_state.apply(ConfigurationStored(table), 0)
    return RequestRouter(
        cluster_state,
        placement,
        peers,
        target,
        crash_detector,
        PeerClient(lambda _: None),
        BudgetBounds(),
        RequestLog(metrics or EntryMetrics(), float),
        make_unused_checker(),
        make_unused_quotas(),
    )


async def _serve(
    router: RequestRouter, time_left_s: float | None = None
) -> RequestResult:
    return await router.serve(
        CallerRequest(
            metadata=RequestMetadata('a', time_left_s),
            method='GET',
            host='search.example',
            path='/rota/a',
            headers=(('Host', 'search.example'),),
            body=b'',
            arrived_at=time.monotonic(),
            network_delay_s=0,
            fingerprint=1,
        ),
    )


async def _stop_during_requests(
    target: BusyTarget, *, requests: int
) -> tuple[list[RequestResult], float]:
    """Stop a host while it runs requests that outlast it.

    Return the results and the time from the stop to the last one in seconds.
    """
    router = _make_router(target, repeatable=False)
    target.work_s = 2 * TIMEOUT_S
    running = [asyncio.create_task(_serve(router)) for _ in range(requests)]
    await asyncio.sleep(0.01)
    stopped_at = time.monotonic()
    router.end_by(stopped_at + ENDS_AFTER_S)
    results = await asyncio.gather(*running)
    return list(results), time.monotonic() - stopped_at


async def _serve_while_stopping(
    *, repeatable: bool, usual_s: float, left_s: float | None, ends_s: float
) -> tuple[RequestResult, BusyTarget]:
    """Serve a request at a host that is being stopped.

    Before the stop there were requests that took ``usual_s`` seconds.
    """
    target = BusyTarget()
    router = _make_router(target, repeatable=repeatable)
    target.work_s = usual_s
    for _ in range(MIN_REQUESTS):
        await _serve(router)
    target.calls.clear()
    router.end_by(time.monotonic() + ends_s)
    return await _serve(router, left_s), target


async def _serve_at_the_end(metrics: EntryMetrics) -> None:
    """Serve a request at a host that is about to end."""
    router = _make_router(BusyTarget(), repeatable=False, metrics=metrics)
    router.end_by(time.monotonic())
    await _serve(router)


class StoppedRequestsTest(unittest.TestCase):
    """A host that is being stopped ends each of its requests."""

    def test_requests_in_flight(self) -> None:
        """Guards against requests that are cut without an answer.

        They get all the time that the host has left.
        """
        results, took_s = run_in_virtual_time(
            VirtualTimeLoop(),
            _stop_during_requests(BusyTarget(), requests=1),
        )
        self.assertEqual(results, [Failed(GiveUpReason.STOPPING)])
        self.assertAlmostEqual(took_s, ENDS_AFTER_S, delta=0.001)

    def test_new_requests(self) -> None:
        """Guards against requests that are passed on and then cut.

        Those that can end in time are served.
        """
        cases = (
            # Repeatable, usual time, deadline, time until the end, served.
            (False, 0.1, None, TIMEOUT_S + 0.1, True),
            (False, 0.1, None, TIMEOUT_S - 0.1, False),
            (False, 0.1, 1.0, 1.1, True),
            (False, 0.1, 1.0, 0.9, False),
            (True, 0.1, None, 1.0, True),
            (True, 0.9, None, 1.0, False),
        )
        for repeatable, usual_s, left_s, ends_s, served in cases:
            result, target = run_in_virtual_time(
                VirtualTimeLoop(),
                _serve_while_stopping(
                    repeatable=repeatable,
                    usual_s=usual_s,
                    left_s=left_s,
                    ends_s=ends_s,
                ),
            )
            with self.subTest(
                repeatable=repeatable,
                usual_s=usual_s,
                left_s=left_s,
                ends_s=ends_s,
            ):
                self.assertEqual(len(target.calls), int(served))
                if served:
                    self.assertIsInstance(result, Delivered)
                    self.assertLessEqual(target.calls[0].time_left_s, ends_s)
                    continue
                assert isinstance(result, Refused)
                self.assertEqual(result.reason, GiveUpReason.STOPPING)
                self.assertGreater(result.retry_after_s, 0)

    def test_metrics(self) -> None:
        """Refusals are counted under their reason."""
        metrics = EntryMetrics()
        run_in_virtual_time(VirtualTimeLoop(), _serve_at_the_end(metrics))
        outcomes = {
            sample.labels['outcome']: sample.value
            for metric in metrics.collect()
            for sample in metric.samples
            if sample.name == 'oriolestage_requests_total'
        }
        self.assertEqual(outcomes, {'refused_stopping': 1})
