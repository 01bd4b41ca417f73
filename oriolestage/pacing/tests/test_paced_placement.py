"""Tests of when a target is paced, and of the pace beside the other limits."""

import unittest

from oriolestage.pacing._target_paces import (
    PACED_BACKOFF_LIMIT_S,
    PROBE_SPREAD_LIMIT_S,
    TargetPaces,
)
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    PlacementResult,
    ShortageCause,
    TargetRequirements,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_load import BACKOFF_LIMIT_S
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import make_placement, make_record

SERVICE = 'shard-0'
REQUIREMENTS = TargetRequirements(SERVICE, 'route')
HOSTS = tuple(f'host-{number:02d}' for number in range(75))
#: When the new target becomes known, in seconds.
KNOWN_AT = 10.0
NEW = make_record('t-new', SERVICE, started_ms=2)
OLD = make_record('t-old', SERVICE)


class PacedPlacementTest(unittest.TestCase):
    """One host of 75 that is not the first by rank."""

    def setUp(self) -> None:
        """Start a host that knows one old target."""
        self._changes: list[StateChange] = []
        name = HOSTS[0]
        self._paces = TargetPaces(name, self._changes.append)
        self._placement, self._directory = make_placement(
            name=name, paces=self._paces
        )
        self._directory.replace_all((OLD,), 0)
        self._placement.replace_hosts(dict.fromkeys(HOSTS, 'region-a'), 0)

    def _choose(
        self, now: float, requirements: TargetRequirements = REQUIREMENTS
    ) -> PlacementResult:
        return self._placement.choose(requirements, (), now)

    def _find(self, identity: str) -> KnownTarget:
        target = self._directory.find(identity)
        assert target is not None
        return target

    def _events(self) -> list[tuple[str, object]]:
        return [
            (change.event, dict(change.fields)['cause'])
            for change in self._changes
        ]

    def test_old_targets(self) -> None:
        """A host that has just started does not pace what runs already."""
        self.assertIsInstance(self._choose(KNOWN_AT), ChosenTarget)
        self.assertEqual(self._paces.count(KNOWN_AT), 0)
        self.assertFalse(self._changes)

    def test_cold_at_start(self) -> None:
        """A target that is cold when the host starts is new."""
        cold = make_record('t-cold', SERVICE, warm_up_left_s=2)
        self._directory.replace_all((cold,), 0)
        self._choose(0)
        self.assertEqual(self._paces.count(0), 1)

    def test_registered_again(self) -> None:
        """A process whose registration was lost for a while is not new."""
        self._directory.remove('t-old', 1)
        self._directory.register(OLD, KNOWN_AT)
        self._choose(KNOWN_AT)
        self.assertEqual(self._paces.count(KNOWN_AT), 0)

    def test_turn(self) -> None:
        """A new target gets nothing before the turn, its sibling does."""
        self._directory.register(NEW, KNOWN_AT)
        chosen = self._choose(KNOWN_AT)
        assert isinstance(chosen, ChosenTarget)
        self.assertEqual(chosen.target.record.identity, 't-old')
        self.assertEqual(self._events(), [('target_pace_started', 'started')])

    def test_shortage(self) -> None:
        """Without a sibling the refusal names the pace and ends in time."""
        self._directory.remove('t-old', 1)
        self._directory.register(NEW, KNOWN_AT)
        refused = self._choose(KNOWN_AT)
        assert isinstance(refused, NoCapacity)
        self.assertEqual(refused.shortage.cause, ShortageCause.PACE)
        chosen = self._choose(KNOWN_AT + refused.wait_s + 0.001)
        self.assertIsInstance(chosen, ChosenTarget)

    def test_end(self) -> None:
        """Prompt replies end the pace, which is logged once."""
        self._directory.register(NEW, KNOWN_AT)
        self._choose(KNOWN_AT)
        for step in range(9):
            self._placement.observations.record_slowness(
                self._find('t-new'), 1, KNOWN_AT + step
            )
        self.assertEqual(self._paces.count(KNOWN_AT + 9), 0)
        self.assertEqual(self._events()[1:], [('target_pace_ended', 'prompt')])
        self.assertEqual(self._paces.steps['up'], 4)

    def test_bounds_first(self) -> None:
        """The bound on cold targets refuses also when the pace allows."""
        self._directory.remove('t-old', 1)
        cold = make_record('t-cold', SERVICE, warm_up_left_s=60)
        self._directory.register(cold, KNOWN_AT)
        requirements = TargetRequirements(SERVICE, 'route', warm_up_rate=0.1)
        refused = self._choose(KNOWN_AT + 5, requirements)
        assert isinstance(refused, NoCapacity)
        self.assertEqual(refused.shortage.cause, ShortageCause.WARM_UP)


class RecoveryTest(unittest.TestCase):
    """A target that was not reached for 20 s and then answers."""

    def _placement(self, *, pacing: bool) -> Placement:
        self._paces = TargetPaces('host-1', lambda _: None)
        placement, _ = make_placement(
            records=(make_record(),), paces=self._paces if pacing else None
        )
        return placement

    def _fail(self, placement: Placement, until: float) -> float:
        """Let all probes fail; return the longest time between two."""
        now: float = 0
        longest_s: float = 0
        probed_at: float = 0
        while now < until:
            chosen = placement.choose(REQUIREMENTS, (), now)
            if isinstance(chosen, ChosenTarget):
                longest_s = max(longest_s, now - probed_at)
                probed_at = now
                placement.record_sent(chosen.target, 1, now)
                placement.observations.record_not_reached(chosen.target, 1, now)
            now += 0.01
        return longest_s

    def _sent_at_once(self, placement: Placement, now: float) -> int:
        """Return the requests that follow at once after a probe's answer."""
        target = placement.directory.find('t-1')
        assert target is not None
        placement.record_sent(target, 2, now)
        placement.observations.record_answer(target, 2, now + 0.01)
        sent = 0
        while isinstance(
            placement.choose(REQUIREMENTS, (), now + 0.01), ChosenTarget
        ):
            placement.record_sent(target, 3 + sent, now + 0.01)
            sent += 1
        return sent

    def test_probes(self) -> None:
        """A target that recovers is probed sooner than without a pace."""
        paced_s = self._fail(self._placement(pacing=True), 20)
        unpaced_s = self._fail(self._placement(pacing=False), 20)
        limit_s = PACED_BACKOFF_LIMIT_S + PROBE_SPREAD_LIMIT_S
        self.assertLess(paced_s, limit_s)
        self.assertGreaterEqual(unpaced_s, BACKOFF_LIMIT_S)

    def test_steps(self) -> None:
        """After the first answer a host sends what the slots take at most."""
        counts: list[int] = []
        for pacing in (True, False):
            placement = self._placement(pacing=pacing)
            self._fail(placement, 20)
            counts.append(self._sent_at_once(placement, 30))
        self.assertLessEqual(counts[0], 2)
        self.assertGreater(counts[1], 2)


class DisabledTest(unittest.TestCase):
    """With the setting off, targets are handled as before."""

    def test_new_target(self) -> None:
        """A new target is chosen at once, like any idle one."""
        placement, directory = make_placement()
        directory.replace_all((OLD,), 0)
        directory.remove('t-old', 1)
        directory.register(NEW, KNOWN_AT)
        for attempt in range(6):
            chosen = placement.choose(REQUIREMENTS, (), KNOWN_AT)
            assert isinstance(chosen, ChosenTarget)
            placement.record_sent(chosen.target, attempt, KNOWN_AT)
        refused = placement.choose(REQUIREMENTS, (), KNOWN_AT)
        assert isinstance(refused, NoCapacity)
        self.assertEqual(refused.shortage.cause, ShortageCause.OUTSTANDING)

    def test_backoff(self) -> None:
        """Back-offs last 0.25 s to 2 s and end with the first answer."""
        placement, directory = make_placement(records=(make_record(),))
        target = directory.find('t-1')
        assert target is not None
        load = placement.observations.load_of(target)
        now: float = 0
        for expected_s in (0.25, 0.5, 1, 2, 2):
            placement.observations.record_not_reached(target, 1, now)
            self.assertAlmostEqual(load.backoff_until - now, expected_s)
            now = load.backoff_until
        placement.observations.record_failure(target, 1, now)
        self.assertFalse(load.in_backoff(now))
