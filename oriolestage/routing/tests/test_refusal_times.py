"""Tests of when a request that no target has run is refused.

A refusal within a quarter of the latency objective, counted from when the
caller sent the request, leaves the caller time to be served elsewhere.
"""

import dataclasses
import random
import unittest

from oriolestage.routing._answers import (
    AttemptNotRun,
    GiveUpReason,
    NotRunReason,
    Refused,
)
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    HostLocation,
    NoCapacity,
    TargetRequirements,
)
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._run_types import Action, RunTimes
from oriolestage.routing._target_capacity import QUEUED_LIMIT
from oriolestage.routing._targets import TargetDirectory
from oriolestage.routing._warm_up import JOINING_S, WINDOW_S, WarmUpBounds
from oriolestage.routing.tests.builders import (
    DELIVERY_MARGIN_S,
    REGIONS,
    make_group,
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import attempts_in, make_run, result_in

OBJECTIVE_S = 0.16
#: Time within which a refusal is of full use to a caller, in seconds.
QUARTER_S = OBJECTIVE_S / 4
START = 50.0
RECORDS = (make_record('t-1'), make_record('t-2'))
#: Requests per second that the cold target takes.
WARM_UP_RATE = 10.0


def _full_placement() -> Placement:
    placement, directory = make_placement(records=RECORDS)
    for target in directory.all_targets():
        for attempt in range(target.record.slots + QUEUED_LIMIT):
            placement.record_sent(target, attempt, START)
    return placement


def _make_run(
    placement: Placement, network_delay_s: float, *, shards: int = 0
) -> RequestRun:
    rule = make_rule(objective_s=OBJECTIVE_S)
    if shards:
        rule = make_rule(make_group(shards), objective_s=OBJECTIVE_S)
    times = RunTimes(
        START,
        START + OBJECTIVE_S - network_delay_s,
        START + rule.timeout_s,
        DELIVERY_MARGIN_S,
        network_delay_s=network_delay_s,
        refusal_margin_s=DELIVERY_MARGIN_S,
    )
    return make_run(rule, RECORDS, START, known=placement, times=times)


def _refuse(
    run: RequestRun, actions: list[Action], now: float = START
) -> tuple[Refused, float]:
    """Let time pass until the refusal; return it and its time after start."""
    while result_in(actions) is None:
        now = run.wake_at
        actions = run.on_timer(now)
    refused = result_in(actions)
    assert isinstance(refused, Refused)
    return refused, now - START


class RefusalTimeTest(unittest.TestCase):
    """Requests that find no free target are refused in time.

    Without the network delay of the caller and the delay of the host, the
    refusal left only when it should have arrived.
    """

    def test_network_delays(self) -> None:
        """Refusals arrive in time for callers with any delay."""
        rng = random.Random(1)
        for _ in range(100):
            network_delay_s = rng.uniform(0.001, 0.03)
            run = _make_run(_full_placement(), network_delay_s)
            refused, decided_s = _refuse(run, run.start(START))
            self.assertEqual(refused.reason, GiveUpReason.NO_ROOM)
            arrives_s = decided_s + network_delay_s + DELIVERY_MARGIN_S
            self.assertLessEqual(arrives_s, QUARTER_S)

    def test_query_without_targets(self) -> None:
        """A query of which no part was sent is refused in time, too."""
        placement = _full_placement()
        run = _make_run(placement, 0.01, shards=1)
        refused, decided_s = _refuse(run, run.start(START))
        self.assertEqual(refused.reason, GiveUpReason.NO_ROOM)
        self.assertLessEqual(decided_s + 0.01 + DELIVERY_MARGIN_S, QUARTER_S)

    def test_far_caller(self) -> None:
        """A caller that no refusal reaches in time is not refused at once."""
        run = _make_run(_full_placement(), QUARTER_S)
        _, decided_s = _refuse(run, run.start(START))
        self.assertGreater(decided_s, QUARTER_S / 2)

    def test_shed_attempt(self) -> None:
        """A request that was shed is refused before its deadline.

        It counted as one that may have run, and waited for a free target
        until its deadline.
        """
        placement, directory = make_placement(records=RECORDS)
        run = _make_run(placement, 0.001)
        sent = attempts_in(run.start(START))[0]
        for target in directory.all_targets():
            for attempt in range(QUEUED_LIMIT * 2):
                placement.record_sent(target, 100 + attempt, START)
        shed = AttemptNotRun(NotRunReason.SHED)
        actions = run.on_outcome(sent.attempt, shed, START + 0.005)
        _, decided_s = _refuse(run, actions, START + 0.005)
        self.assertLessEqual(decided_s, QUARTER_S)


class KnownWaitTest(unittest.TestCase):
    """A wait whose end is known is not spent on trying again.

    After a restart of all hosts, each request waited for a quarter of its
    objective before it was refused, although no attempt was possible.
    """

    def setUp(self) -> None:
        """Create a host that is not registered, and one cold target."""
        directory = TargetDirectory()
        directory.register(make_record(warm_up_left_s=60), START)
        self._placement = Placement(
            HostLocation('host-1', 'dc-a', REGIONS),
            directory,
            WarmUpBounds(),
            lambda _: None,
        )
        self._requirements = TargetRequirements(
            'shard-0', 'route', warm_up_rate=WARM_UP_RATE
        )

    def test_joining_host(self) -> None:
        """A host that others do not count yet states when they do."""
        self.assertEqual(self._wait_s(START), JOINING_S)
        self._placement.replace_hosts({'host-1': 'region-a'}, START)
        self.assertAlmostEqual(self._wait_s(START + 0.5), JOINING_S - 0.5)

    def test_used_up_share(self) -> None:
        """The wait ends when the oldest request leaves the window."""
        self._placement.replace_hosts({'host-1': 'region-a'}, 0)
        choice = self._placement.choose(self._requirements, (), START)
        attempt = 0
        while not isinstance(choice, NoCapacity):
            attempt += 1
            target = self._placement.directory.find('t-1')
            assert target is not None
            sent_at = START + attempt * 0.01
            self._placement.record_sent(target, attempt, sent_at)
            self._placement.observations.record_answer(target, attempt, sent_at)
            choice = self._placement.choose(self._requirements, (), START)
        self.assertAlmostEqual(self._wait_s(START + 0.5), WINDOW_S - 0.49)

    def test_refused_at_once(self) -> None:
        """The request is refused at its start."""
        run = make_run(make_rule(), (), START, known=self._placement)
        part = run._parts[0]
        part.request = dataclasses.replace(
            part.request, requirements=self._requirements
        )
        refused = result_in(run.start(START))
        self.assertEqual(refused, Refused(GiveUpReason.NO_ROOM, JOINING_S))

    def _wait_s(self, now: float) -> float:
        choice = self._placement.choose(self._requirements, (), now)
        assert isinstance(choice, NoCapacity)
        return choice.wait_s
