"""Replays of roll-outs with good and bad versions, and with faults."""

import unittest

from oriolestage.rollouts._orders import RolloutState
from oriolestage.rollouts.tests.replay import Load, Outcome, Replay

#: Share of bad responses of a bad version.
FAILING = 0.3
#: Time after the order at which a version goes bad late, in seconds.
LATE_S = 5.0
#: Share of the requests from which a version fails under load.
HALF_LOAD = 0.5


def _perfect(load: float, since_s: float, route: str) -> float:
    return 0


def _at_once(load: float, since_s: float, route: str) -> float:
    return FAILING


def _always(load: float, since_s: float, route: str) -> float:
    return 1


def _late(load: float, since_s: float, route: str) -> float:
    return FAILING if since_s > LATE_S else 0


def _under_load(load: float, since_s: float, route: str) -> float:
    return FAILING if load > HALF_LOAD else 0


def _on_one_route(load: float, since_s: float, route: str) -> float:
    return FAILING if route == 'detail' else 0


class BadVersionTest(unittest.TestCase):
    """A bad version stays within the exposure bound and is rolled back."""

    def _check(self, load: Load, seed: int = 1) -> Outcome:
        outcome = Replay(load, seed).run()
        self.assertEqual(outcome.state, RolloutState.ROLLED_BACK, outcome)
        self.assertLessEqual(outcome.exposed, outcome.budget, outcome)
        self.assertEqual(outcome.late, 0, outcome)
        return outcome

    def test_at_once(self) -> None:
        """Guards against a canary that nobody judges."""
        for hosts in (1, 6):
            for rate in (2, 20):
                self._check(Load(hosts, rate, badness=_at_once))

    def test_slow(self) -> None:
        """Guards against a version that is slow and does not fail."""
        for hosts in (1, 6):
            for rate in (2, 20):
                self._check(Load(hosts, rate, badness=_always, slow=True))

    def test_late(self) -> None:
        """Guards against a version that goes bad half-way."""
        for rate in (10, 20):
            self._check(Load(6, rate, badness=_late))

    def test_under_load(self) -> None:
        """Guards against a version that fails only under the full load."""
        for rate in (10, 20, 40):
            self._check(Load(6, rate, badness=_under_load))

    def test_on_one_route(self) -> None:
        """Guards against a version that fails on one route."""
        for rate in (10, 20, 100):
            self._check(Load(6, rate, badness=_on_one_route))

    def test_many_hosts(self) -> None:
        """Guards against evidence that is thin at each host by itself."""
        self._check(Load(75, 20, badness=_under_load))

    def test_store_away(self) -> None:
        """Guards against exposure that goes on while the store is away."""
        for away in ((2, 6), (7.5, 11.5)):
            load = Load(6, 20, badness=_at_once, store_away=away)
            self._check(load)
        load = Load(6, 20, badness=_under_load, store_away=(7.5, 11.5))
        self._check(load)

    def test_cut_off(self) -> None:
        """Guards against a host that does not learn of the rollback."""
        self._check(Load(6, 20, badness=_at_once, cut_off_from=1))

    def test_writers_killed(self) -> None:
        """Guards against a rollback that only one host would write."""
        self._check(Load(6, 20, badness=_at_once, writers_end=True))


class GoodVersionTest(unittest.TestCase):
    """A good version is completed before its deadline."""

    def _check(self, load: Load) -> Outcome:
        outcome = Replay(load, 1).run()
        self.assertEqual(outcome.state, RolloutState.COMPLETED, outcome)
        self.assertLess(outcome.ended_s, load.duration_s, outcome)
        return outcome

    def test_rates(self) -> None:
        """Guards against a roll-out that lacks evidence, or budget."""
        for hosts in (1, 6):
            for rate in (0, 2, 20, 100):
                outcome = self._check(Load(hosts, rate, badness=_perfect))
                self.assertEqual(outcome.in_old, 0)

    def test_many_hosts(self) -> None:
        """Guards against a decision that many hosts hinder."""
        self._check(Load(75, 2, badness=_perfect))

    def test_store_away(self) -> None:
        """Guards against an end that is missed while the store is away."""
        for away in ((0.05, 4), (3, 7), (7, 11)):
            for rate in (2, 20):
                load = Load(6, rate, badness=_perfect, store_away=away)
                self._check(load)

    def test_writers_killed(self) -> None:
        """Guards against a roll-out that stops with the deciding host."""
        for hosts, rate in ((6, 10), (75, 2)):
            load = Load(hosts, rate, badness=_perfect, writers_end=True)
            self._check(load)

    def test_cut_off(self) -> None:
        """Guards against a host without the store that stops the others."""
        self._check(Load(6, 10, badness=_perfect, cut_off_from=0.05))

    def test_other_durations(self) -> None:
        """Guards against times that fit one duration only."""
        for duration_s in (6, 30, 60):
            load = Load(6, 10, duration_s=duration_s, badness=_perfect)
            self._check(load)
