"""Replays of starting and recovering targets, with and without the pace.

The service has three targets, of which each serves some 190 requests per
second and a cold one 118. Bounds are those of callers: a request that is
refused has to be sent again, and one for which no target is left is lost.
"""

import dataclasses
import unittest
from collections.abc import Iterable

from oriolestage.pacing.tests.fleet import CallerResult, Fleet
from oriolestage.routing._answers import Delivered

SEEDS = range(1, 4)
HOST_COUNTS = (6, 75)
RESTARTED = 't-0'
SIBLINGS = ('t-1', 't-2')
#: Times at which the target is lost and starts again, in seconds.
LOST_AT = 1.0
STARTED_AT = 3.0
#: Time after the start at which all hosts learn of it if they learn of it at
#: once, in seconds.
AT_ONCE_S = (0.3, 0.31)
#: Requests per second that a warm target and a cold one serve.
WARM_RATE = 188
COLD_RATE = 118


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    """What a target got and callers received in a time, over all seeds."""

    arrivals: int
    refusals: int
    #: Mean number of requests that its siblings got.
    sibling_arrivals: float
    callers: int
    answered: int

    @property
    def served(self) -> int:
        """Requests that the target accepted."""
        return self.arrivals - self.refusals


def _measure(fleets: Iterable[Fleet], since: float, until: float) -> _Load:
    arrivals = 0
    refusals = 0
    siblings = 0
    callers: list[CallerResult] = []
    for fleet in fleets:
        target = fleet.targets[RESTARTED]
        arrivals += _count(target.arrivals, since, until)
        refusals += _count(target.refusals, since, until)
        siblings += sum(
            _count(fleet.targets[name].arrivals, since, until)
            for name in SIBLINGS
        )
        callers.extend(
            caller
            for caller in fleet.results
            if since <= caller.sent_at < until
        )
    return _Load(
        arrivals=arrivals,
        refusals=refusals,
        sibling_arrivals=siblings / len(SIBLINGS),
        callers=len(callers),
        answered=sum(
            isinstance(caller.result, Delivered) for caller in callers
        ),
    )


def _count(times: Iterable[float], since: float, until: float) -> int:
    return sum(1 for at in times if since <= at < until)


def _restart_alone(hosts: int, *, pacing: bool) -> list[Fleet]:
    """Replay a restart while the other targets are down."""
    fleets: list[Fleet] = []
    for seed in SEEDS:
        fleet = Fleet(hosts, seed, pacing=pacing)
        fleet.call(300, 0, 5.5)
        for name in SIBLINGS:
            fleet.stop(name, LOST_AT)
        fleet.restart(RESTARTED, LOST_AT, STARTED_AT, AT_ONCE_S)
        fleet.run(7)
        fleets.append(fleet)
    return fleets


def _restart(hosts: int, rate: float, *, pacing: bool) -> list[Fleet]:
    """Replay a restart under load."""
    fleets: list[Fleet] = []
    for seed in SEEDS:
        fleet = Fleet(hosts, seed, pacing=pacing)
        fleet.call(rate, 0, 8)
        fleet.restart(RESTARTED, LOST_AT, STARTED_AT)
        fleet.run(9)
        fleets.append(fleet)
    return fleets


class RestartAloneTest(unittest.TestCase):
    """Guards against the waiting requests of all hosts at a cold target."""

    def test_refusals(self) -> None:
        """It refuses fewer requests than it serves; without a pace, more.

        It has the only slots of its service, so it is kept at work too.
        """
        for hosts in HOST_COUNTS:
            paced = _measure(_restart_alone(hosts, pacing=True), 3.3, 5.3)
            unpaced = _measure(_restart_alone(hosts, pacing=False), 3.3, 5.3)
            capacity = COLD_RATE * 2 * len(SEEDS)
            with self.subTest(hosts=hosts, paced=paced, unpaced=unpaced):
                self.assertLess(paced.refusals, paced.served)
                self.assertGreater(unpaced.refusals, unpaced.served)
                self.assertGreater(paced.served, 0.8 * capacity)

    def test_low_demand(self) -> None:
        """A pace does not starve callers that the target can serve."""
        for hosts in (1, *HOST_COUNTS):
            fleet = Fleet(hosts, 3, pacing=True)
            fleet.call(60, 0, 6)
            for name in SIBLINGS:
                fleet.stop(name, LOST_AT)
            fleet.restart(RESTARTED, LOST_AT, STARTED_AT, AT_ONCE_S)
            fleet.run(8)
            load = _measure((fleet,), 3.8, 6)
            with self.subTest(hosts=hosts, load=load):
                self.assertGreater(load.answered, 0.97 * load.callers)


class RestartTest(unittest.TestCase):
    """Guards against the load of an idle healthy target at a cold one."""

    def test_many_hosts(self) -> None:
        """A tenth of its first requests is refused at most, not a fifth."""
        paced = _measure(_restart(75, 480, pacing=True), 3.3, 4.5)
        unpaced = _measure(_restart(75, 480, pacing=False), 3.3, 4.5)
        with self.subTest(paced=paced, unpaced=unpaced):
            self.assertLess(paced.refusals, 0.1 * paced.arrivals)
            self.assertGreater(unpaced.refusals, 0.2 * unpaced.arrivals)

    def test_not_idle(self) -> None:
        """Cold, it carries what it can; warm, what its siblings carry."""
        for hosts in HOST_COUNTS:
            fleets = _restart(hosts, 480, pacing=True)
            cold = _measure(fleets, 4.5, 6)
            warm = _measure(fleets, 6.5, 8)
            with self.subTest(hosts=hosts, cold=cold, warm=warm):
                capacity = COLD_RATE * 1.5 * len(SEEDS)
                self.assertGreater(cold.served, 0.8 * capacity)
                self.assertGreater(warm.arrivals, 0.8 * warm.sibling_arrivals)


class RecoveryTest(unittest.TestCase):
    """Guards against a target that is left idle after it has recovered."""

    def _idle_s(self, hosts: int, *, pacing: bool) -> float:
        """Return the work that is missing in 2 s after the recovery.

        It is in seconds of the work that the target could have done.
        """
        seeds = range(1, 7)
        missing: float = 0
        for seed in seeds:
            recovered_at = 6 + 0.34 * seed
            fleet = Fleet(hosts, seed, pacing=pacing)
            fleet.call(560, 0, recovered_at + 2)
            fleet.crash(RESTARTED, LOST_AT, recovered_at)
            fleet.run(recovered_at + 2)
            load = _measure((fleet,), recovered_at, recovered_at + 2)
            missing += 2 - load.served / WARM_RATE
        return missing / len(seeds)

    def test_few_hosts(self) -> None:
        """Half a second of work is missing at most; without a pace, more."""
        paced_s = self._idle_s(6, pacing=True)
        unpaced_s = self._idle_s(6, pacing=False)
        with self.subTest(paced_s=paced_s, unpaced_s=unpaced_s):
            self.assertLess(paced_s, 0.5)
            self.assertGreater(unpaced_s, 0.5)

    def test_many_hosts(self) -> None:
        """With many hosts it is met, too."""
        self.assertLess(self._idle_s(75, pacing=True), 0.5)
