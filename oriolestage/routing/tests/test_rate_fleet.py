"""Tests of a target's rate limit in fleets of many sizes."""

import itertools
import unittest

from oriolestage.routing._rate_shares import rank_host, share_of
from oriolestage.routing.tests.builders import REGIONS
from oriolestage.routing.tests.rate_fleet import (
    CONTACT_S,
    REGION,
    WINDOW_S,
    RateFleet,
    Stated,
)

FLEETS = (2, 6, 20, 85, 195)
#: Requests per second of all hosts.
LIMITS = (0.3, 0.5, 1, 2, 4, 14.2, 50, 200)
#: Part of a limit that hosts use that all have requests.
USED_FRACTION = 0.7
#: Times at which hosts have been idle, and a replay ends, in seconds.
IDLE_UNTIL_S = 70.0
BUSY_S = 24.0
CHANGE_AT_S = 12.0
#: Seeds of the times of answers.
SEEDS = range(60)
#: Interval at which hosts restart, in seconds.
CHURN_S = 1.0
#: Time from the start of a host until the others count it, in seconds.
KNOWN_S = 1.2


class RateFleetTest(unittest.TestCase):
    """A target gets no more than it tolerates, whatever the fleet does."""

    def test_busy_after_idle(self) -> None:
        """Guards against a token in each of many hosts that were idle."""
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit)
            fleet.learn(CONTACT_S)
            fleet.run(IDLE_UNTIL_S, IDLE_UNTIL_S + BUSY_S)
            self._check(fleet, hosts=hosts, limit=limit)

    def test_steady(self) -> None:
        """Busy hosts use the limit and stay within it."""
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit)
            fleet.learn(2)
            fleet.run(2, 2 + 2 * BUSY_S)
            self._check(fleet, hosts=hosts, limit=limit)
            sent = sum(
                1
                for host in fleet.hosts
                for at in host.sent
                if at >= 2 + BUSY_S
            )
            with self.subTest(hosts=hosts, limit=limit, use=True):
                self.assertGreaterEqual(sent, USED_FRACTION * limit * BUSY_S)

    def test_long_steady(self) -> None:
        """Guards against a greatest interval that many hosts keep."""
        for hosts, limit in itertools.product((85, 195), (0.3, 0.5, 1)):
            fleet = _fleet(hosts, limit)
            fleet.learn(8)
            fleet.run(8, 300)
            self._check(fleet, hosts=hosts, limit=limit)

    def test_changes(self) -> None:
        """Guards against a rise that counts for requests of the same window.

        Hosts sent by the higher limit at once.
        """
        for hosts, limit, factor in itertools.product(
            FLEETS, (0.5, 1.6, 14.2, 50), (0.1, 2, 10)
        ):
            fleet = _fleet(
                hosts,
                limit,
                Stated(CHANGE_AT_S, limit * factor),
                Stated(2 * CHANGE_AT_S, limit),
            )
            fleet.learn(2)
            fleet.run(2, 3 * CHANGE_AT_S)
            self._check(fleet, hosts=hosts, limit=limit, factor=factor)

    def test_rise_in_regions(self) -> None:
        """Guards against a rise when only a few hosts are near the target."""
        stated = (
            Stated(0, 1.6),
            Stated(CHANGE_AT_S, 3.3),
            Stated(CHANGE_AT_S + WINDOW_S, 1.9),
        )
        for hosts, seed in itertools.product((3, 6, 9), SEEDS):
            fleet = RateFleet(hosts, stated, seed, regions=len(REGIONS))
            fleet.learn(2)
            fleet.run(2, 2 * CHANGE_AT_S)
            self._check(fleet, hosts=hosts, seed=seed)

    def test_end(self) -> None:
        """A limit that ends holds until the end of a window and no longer."""
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit, Stated(CHANGE_AT_S, None))
            fleet.learn(2)
            fleet.run(2, 2 * CHANGE_AT_S)
            self._check(fleet, hosts=hosts, limit=limit)
            told = [host for host in fleet.hosts if host.limits[-1:] == [None]]
            with self.subTest(hosts=hosts, limit=limit, told=len(told)):
                self.assertTrue(told)
                end_at = 2 * CHANGE_AT_S + WINDOW_S
                self.assertFalse(
                    any(
                        host.rates.wait_s(fleet.target, end_at) for host in told
                    )
                )

    def test_restarts(self) -> None:
        """Hosts that restart one after the other stay within the limit."""
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit)
            fleet.learn(2)
            fleet.run(2, 2 + BUSY_S, _Restarts(fleet))
            self._check(fleet, hosts=hosts, limit=limit)

    def test_joins(self) -> None:
        """Hosts that join, and are counted later, stay within the limit."""
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit)
            fleet.learn(2)
            fleet.run(2, 2 * BUSY_S, _Joins(fleet))
            self._check(fleet, hosts=hosts, limit=limit)

    def test_leaves(self) -> None:
        """Hosts that leave all at once leave their shares to the others."""
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit)
            fleet.learn(2)
            fleet.run(2, CHANGE_AT_S)
            fleet.remove(hosts // 2, CHANGE_AT_S)
            fleet.run(CHANGE_AT_S, 2 * CHANGE_AT_S)
            self._check(fleet, hosts=hosts, limit=limit)

    def test_stated_wait(self) -> None:
        """A host may send after the wait that it gives its callers.

        Callers may come back up to a second later.
        """
        for hosts, limit in itertools.product(FLEETS, LIMITS):
            fleet = _fleet(hosts, limit)
            fleet.learn(CONTACT_S)
            fleet.run(2, BUSY_S)
            for host in fleet.hosts:
                wait_s = host.rates.wait_s(fleet.target, BUSY_S)
                back_at = BUSY_S + wait_s
                with self.subTest(hosts=hosts, limit=limit, host=host.name):
                    waits = [
                        host.rates.wait_s(fleet.target, back_at + late_s)
                        for late_s in (0, 1)
                    ]
                    self.assertAlmostEqual(max(waits), 0, places=6)

    def test_largest_limit(self) -> None:
        """Guards against a limit whose share is no finite number."""
        regions = dict.fromkeys(('host-1', 'host-2'), REGION)
        rank = rank_host('t-1', 'host-1', regions, REGION)
        self.assertGreater(share_of(1e308, rank).interval_s, 0)

    def _check(self, fleet: RateFleet, **case: float) -> None:
        worst = fleet.worst_window()
        with self.subTest(**case):
            self.assertTrue(worst.within, worst)


class _Restarts:
    """Restarts the hosts of a fleet one after the other."""

    def __init__(self, fleet: RateFleet) -> None:
        """Restart the first host at `CONTACT_S`."""
        self._fleet = fleet
        self._restarted = 0

    def __call__(self, now: float) -> None:
        """Restart the next host if its time has come."""
        if now >= CONTACT_S + self._restarted * CHURN_S:
            position = self._restarted % len(self._fleet.hosts)
            self._fleet.restart(position, now)
            self._restarted += 1


class _Joins:
    """Doubles a fleet at `CHANGE_AT_S`; the others count it later."""

    def __init__(self, fleet: RateFleet) -> None:
        """Let as many hosts join ``fleet`` as it has."""
        self._fleet = fleet
        self._joined = False
        self._counted = False

    def __call__(self, now: float) -> None:
        """Start the new hosts, or let the others count them."""
        if not self._joined and now >= CHANGE_AT_S:
            self._joined = True
            self._fleet.add(len(self._fleet.hosts), now)
        if not self._counted and now >= CHANGE_AT_S + KNOWN_S:
            self._counted = True
            self._fleet.share(now)


def _fleet(hosts: int, limit: float, *changes: Stated) -> RateFleet:
    return RateFleet(hosts, (Stated(0, limit), *changes), seed=hosts)
