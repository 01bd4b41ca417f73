"""Tests of requests at a host that reaches no target."""

import unittest

from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    Delivered,
    Failed,
    NotRunReason,
    Refused,
)
from oriolestage.routing._peers import LinkState, PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    HostLocation,
    TargetRequirements,
)
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._rules import RouteRule
from oriolestage.routing._run_types import Action, SendAttempt
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing._target_reach import MIN_UNREACHED_TARGETS
from oriolestage.routing.tests.builders import (
    DATA_CENTRES,
    REGIONS,
    make_answer,
    make_group,
    make_peers,
    make_placement,
    make_record,
    make_rule,
    shard_records,
)
from oriolestage.routing.tests.runs import (
    attempts_in,
    batches_in,
    make_run,
    result_in,
)

SHARDS = 20
#: Time at which the host has found out that it is cut off, in seconds.
NOW = 3.0


def make_cut_off_placement() -> Placement:
    """Return the placement of a host that no target has answered."""
    placement, _ = make_placement('dc-a', shard_records(SHARDS))
    for number in range(MIN_UNREACHED_TARGETS):
        placement.observations.reach.record_unreached(
            f't-{number}', NOW - 1, NOW
        )
    return placement


def make_told_peers(data_centre: str) -> PeerDirectory:
    """Return hosts of three regions, all of which reach targets."""
    peers = make_peers(HostLocation('host-1', data_centre, REGIONS))
    freshness = Freshness(1, 0)
    for name in DATA_CENTRES:
        link = LinkState(NOW, freshness, cut_off=False)
        peers.record_link_state(f'{name}:1', link, freshness, NOW)
    return peers


class CutOffHostTest(unittest.TestCase):
    """A host without a path to targets serves callers through other hosts.

    Such a host refused requests that any other host could serve.
    """

    def test_query(self) -> None:
        """All shards of a query are sent to other hosts, none to targets."""
        run = make_run(
            make_rule(make_group(SHARDS)),
            shard_records(SHARDS),
            NOW,
            known=make_cut_off_placement(),
        )
        actions = run.start(NOW)
        self.assertFalse(attempts_in(actions))
        batched = [
            part.service
            for batch in batches_in(actions)
            for part in batch.parts
        ]
        self.assertEqual(len(batched), SHARDS)
        self.assertEqual(len(set(batched)), SHARDS)

    def test_query_at_limited_regions(self) -> None:
        """A request is given to no host outside of the regions that serve it."""
        peers = make_told_peers('dc-a')
        requirements = TargetRequirements(
            'shard-0', 'route', regions=frozenset(('region-c',))
        )
        chosen = peers.choose_relay('region-b', requirements, NOW, gathers=True)
        assert chosen is not None
        self.assertIn(chosen.data_centre, {'dc-a', 'dc-c'})

    def _start_single(
        self, rule: RouteRule
    ) -> tuple[RequestRun, list[SendAttempt]]:
        run = make_run(
            rule,
            shard_records(SHARDS),
            NOW,
            known=make_cut_off_placement(),
            peers=make_told_peers('dc-a'),
        )
        return run, attempts_in(run.start(NOW))

    def test_single_service(self) -> None:
        """A request to a single service is sent by another host."""
        run, sent = self._start_single(make_rule())
        self.assertEqual(len(sent), 1)
        self.assertIsNotNone(sent[0].relay)
        answer = make_answer(404)
        ended = run.on_outcome(
            sent[0].attempt, AttemptAnswered(answer), NOW + 1
        )
        self.assertEqual(result_in(ended), Delivered(answer))

    def test_unreached_target(self) -> None:
        """An attempt at a target in back-off is sent by another host."""
        records = (make_record('t-1'),)
        placement, directory = make_placement('dc-a', records)
        target = directory.find('t-1')
        assert target is not None
        placement.observations.record_not_reached(target, 0, NOW)
        run = make_run(
            make_rule(),
            records,
            NOW,
            known=placement,
            peers=make_told_peers('dc-a'),
        )
        sent = attempts_in(run.start(NOW))
        self.assertEqual(len(sent), 1)
        self.assertIsNotNone(sent[0].relay)

    def test_lost_at_other_host(self) -> None:
        """A request that may run only once is not sent a second time."""
        run, sent = self._start_single(make_rule(repeatable=False))
        ended = run.on_outcome(sent[0].attempt, AttemptLost('link'), NOW + 0.01)
        self.assertFalse(attempts_in(ended))
        self.assertIsInstance(result_in(ended), Failed)

    def test_not_run_at_other_host(self) -> None:
        """A request that did not run goes to the next host, then is refused."""
        run, sent = self._start_single(make_rule(repeatable=False))
        relays: list[object] = []
        actions: list[Action] = list(sent)
        result: object = None
        now = NOW
        while result is None:
            for attempt in attempts_in(actions):
                relays.append(attempt.relay)
                actions = run.on_outcome(
                    attempt.attempt,
                    AttemptNotRun(NotRunReason.NOT_REACHED),
                    now,
                )
                break
            else:
                now = run.wake_at
                actions = run.on_timer(now)
            result = result_in(actions)
        self.assertIsInstance(result, Refused)
        self.assertGreaterEqual(len(set(map(str, relays))), 2)
