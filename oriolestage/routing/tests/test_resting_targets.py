"""Tests of targets that want no request of this host for a time."""

import unittest

from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    TargetRequirements,
)
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import make_placement, make_record

REQUIREMENTS = TargetRequirements('shard-0', 'route')
#: Rest that a target asks for with each refusal, in seconds.
REST_S = 3.0
#: Interval of requests in a replay, in seconds.
STEP_S = 0.02
#: Length of a replay, of a rest, of the time for which a request may be on its
#: way when the target asks, and of a request that runs, in such intervals.
REPLAY_STEPS = 550
REST_STEPS = 150
ON_THE_WAY_STEPS = 25
WORK_STEPS = 6


class RestingTargetTest(unittest.TestCase):
    """A target that rejects a request and asks for rest gets it.

    Hosts sent on as soon as its recent refusals had lost their weight.
    """

    def setUp(self) -> None:
        """Register two targets of a data centre."""
        self._placement, self._directory = make_placement(
            records=(make_record('t-1'), make_record('t-2')),
        )

    def _chosen(self, now: float) -> str:
        choice = self._placement.choose(REQUIREMENTS, (), now)
        if isinstance(choice, ChosenTarget):
            return choice.target.record.identity
        return type(choice).__name__

    def _replay(self, resting: frozenset[str]) -> dict[str, list[int]]:
        """Return when each target got requests, ``resting`` rejecting all."""
        sent: dict[str, list[int]] = {'t-1': [], 't-2': []}
        placement = self._placement
        running: list[tuple[int, KnownTarget]] = []
        for step in range(REPLAY_STEPS):
            now = step * STEP_S
            if running and running[0][0] <= step - WORK_STEPS:
                started, ended = running.pop(0)
                placement.observations.record_answer(ended, started, now)
            choice = placement.choose(REQUIREMENTS, (), now)
            if not isinstance(choice, ChosenTarget):
                continue
            target = choice.target
            identity = target.record.identity
            placement.record_sent(target, step, now)
            sent[identity].append(step)
            if identity in resting:
                placement.observations.record_failure(target, step, now)
                placement.record_rest(identity, REST_S, now)
            else:
                running.append((step, target))
        return sent

    def _most_in_rest(self, sent: list[int]) -> int:
        """Return the most requests after one refusal, within its rest."""
        return max(
            sum(1 for at in sent if ON_THE_WAY_STEPS <= at - asked < REST_STEPS)
            for asked in sent
        )

    def test_one_resting(self) -> None:
        """One of two targets rests, and the other one gets all requests."""
        sent = self._replay(frozenset(('t-1',)))
        self.assertGreater(len(sent['t-1']), 1)
        self.assertEqual(self._most_in_rest(sent['t-1']), 0)
        total = len(sent['t-1']) + len(sent['t-2'])
        self.assertEqual(total, REPLAY_STEPS)

    def test_all_resting(self) -> None:
        """Both targets rest, and neither gets a request meanwhile."""
        sent = self._replay(frozenset(('t-1', 't-2')))
        for identity in ('t-1', 't-2'):
            self.assertEqual(self._most_in_rest(sent[identity]), 0)

    def test_time_to_return(self) -> None:
        """The time until a target takes requests again is known."""
        self._placement.record_rest('t-1', REST_S, 0)
        self._placement.record_rest('t-2', 2 * REST_S, 0)
        choice = self._placement.choose(REQUIREMENTS, (), 1)
        self.assertEqual(choice, NoCapacity(REST_S - 1))
        self.assertEqual(self._chosen(REST_S), 't-1')

    def test_shorter_rest(self) -> None:
        """A later refusal with a shorter rest does not end the longer one."""
        self._placement.record_rest('t-1', REST_S, 0)
        self._placement.record_rest('t-1', 0.1, 0.2)
        self.assertEqual(self._chosen(1), 't-2')

    def test_not_through_other_hosts(self) -> None:
        """A target that rests is not taken for one that is not reached."""
        self._placement.record_rest('t-1', REST_S, 0)
        self._placement.record_rest('t-2', REST_S, 0)
        self.assertFalse(self._placement.unreachable(REQUIREMENTS, 1))
        self.assertIsNone(self._placement.choose_unreached(REQUIREMENTS, (), 1))

    def test_not_through_other_hosts_in_backoff(self) -> None:
        """Nor if it is in back-off at the same time."""
        for identity in ('t-1', 't-2'):
            target = self._directory.find(identity)
            assert target is not None
            self._placement.record_sent(target, 1, 0)
            self._placement.observations.record_not_reached(target, 1, 0)
            self._placement.record_rest(identity, REST_S, 0)
        self.assertIsNone(
            self._placement.choose_unreached(REQUIREMENTS, (), 0.1)
        )

    def test_restarted(self) -> None:
        """A new process of the target has not asked for rest."""
        self._placement.record_rest('t-1', REST_S, 0)
        self._directory.remove('t-2', 1)
        self.assertEqual(self._chosen(1), 'NoCapacity')
        self._directory.register(make_record('t-1', started_ms=2), 1)
        self.assertEqual(self._chosen(1), 't-1')
