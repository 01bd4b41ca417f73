"""Tests of the rate limits of targets, which all hosts share."""

import random
import unittest

from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    HostLocation,
    TargetRequirements,
)
from oriolestage.routing._targets import TargetDirectory
from oriolestage.routing._warm_up import WarmUpBounds
from oriolestage.routing.tests.builders import (
    DATA_CENTRES,
    REGIONS,
    make_record,
)

#: Time over which the platform counts requests to a target, in seconds.
WINDOW_S = 4.0
REQUIREMENTS = TargetRequirements('shard-0', 'route')
#: Length of a replay and its step, in seconds.
REPLAY_S = 30.0
STEP_S = 0.01


def _allowed(limit: float) -> float:
    """Return the requests that the platform tolerates in one window."""
    return 1.5 * limit * WINDOW_S + 5


class _Fleet:
    """Hosts of three regions that share one target, on a virtual clock."""

    def __init__(self, hosts: int, limit: float) -> None:
        """Create hosts that have all read the limit at time 0."""
        self.placements: list[Placement] = []
        self.sent: list[float] = []
        regions = {
            f'host-{number}': REGIONS[DATA_CENTRES[number % 3]]
            for number in range(hosts)
        }
        for number, name in enumerate(regions):
            directory = TargetDirectory()
            directory.register(make_record(), 0)
            location = HostLocation(name, DATA_CENTRES[number % 3], REGIONS)
            placement = Placement(
                location, directory, WarmUpBounds(), lambda _: None
            )
            placement.replace_hosts(regions, 0)
            placement.record_rate_limit('t-1', limit, 0)
            self.placements.append(placement)

    def try_send(self, host: int, now: float) -> bool:
        """Send a request from one host if it may; return whether it did."""
        placement = self.placements[host]
        choice = placement.choose(REQUIREMENTS, (), now)
        if not isinstance(choice, ChosenTarget):
            return False
        placement.record_sent(choice.target, len(self.sent), now)
        placement.observations.record_answer(choice.target, len(self.sent), now)
        self.sent.append(now)
        return True

    def most_in_window(self) -> int:
        """Return the greatest number of requests in one window."""
        most = 0
        first = 0
        for last, sent_at in enumerate(self.sent):
            while self.sent[first] <= sent_at - WINDOW_S:
                first += 1
            most = max(most, last + 1 - first)
        return most


class StatedRateTest(unittest.TestCase):
    """A target that states a rate limit gets no more from all hosts together.

    Hosts that ignored the limit sent on as before.
    """

    def _overload(self, hosts: int, limit: float) -> None:
        """Let all hosts send whatever they may."""
        fleet = _Fleet(hosts, limit)
        for step in range(int(REPLAY_S / STEP_S)):
            for host in range(hosts):
                fleet.try_send(host, step * STEP_S)
        self.assertLessEqual(fleet.most_in_window(), _allowed(limit))
        self.assertGreaterEqual(len(fleet.sent), 0.7 * limit * REPLAY_S)

    def test_one_host(self) -> None:
        """A single host uses the limit and keeps within it."""
        self._overload(1, 14.2)

    def test_six_hosts(self) -> None:
        """Six hosts use the limit and keep within it together."""
        self._overload(6, 14.2)

    def test_low_limit(self) -> None:
        """Six hosts keep within a limit below one request per host."""
        self._overload(6, 1.2)

    def test_many_hosts(self) -> None:
        """More hosts than requests per window keep within the limit."""
        self._overload(85, 14.2)

    def test_uneven_load(self) -> None:
        """Random requests, most at a few hosts, keep within the limit."""
        rng = random.Random(3)
        fleet = _Fleet(6, 14.2)
        for step in range(int(REPLAY_S / STEP_S)):
            if not rng.randrange(5):
                fleet.try_send(int(rng.random() ** 2 * 6), step * STEP_S)
        self.assertLessEqual(fleet.most_in_window(), _allowed(14.2))
