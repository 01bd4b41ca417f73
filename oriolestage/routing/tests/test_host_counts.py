"""Tests of limits that hosts divide by different numbers of hosts."""

import dataclasses
import itertools
import unittest

from oriolestage.routing._even_shares import EvenShare
from oriolestage.routing._peers import HostLocation
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    TargetRequirements,
)
from oriolestage.routing._rate_shares import (
    WINDOW_S,
    RateLimiter,
    RateShare,
    rank_host,
    share_of,
)
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._targets import TargetDirectory
from oriolestage.routing._warm_up import JOINING_S, WarmUpBounds, WarmUpPacer
from oriolestage.routing.tests.builders import make_budget, make_record

REGION = 'region-a'
#: Numbers of hosts that run. Of two hosts that miss each other each would
#: take the whole of a bound; `JoiningTest` has two.
FLEETS = (3, 6, 20, 85)
#: Requests per second of a cold target, without the overage.
COLD_RATE = 4
COLD_REQUIREMENTS = TargetRequirements(
    'shard-0', 'route', warm_up_rate=COLD_RATE
)
#: Slots of a target that is never full.
SLOTS = 1000
#: Time over which the hosts of a fleet start, in seconds.
START_S = 0.3
#: Interval at which each host tries to send, in seconds.
STEP_S = 0.02
#: Time from the start of the hosts to their registrations, in seconds, and
#: until all others know these.
REGISTERED_S = 0.05
KNOWN_S = 1.2
#: What the platform tolerates of a rate limit: a factor and requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Counting:
    """Which hosts each host of a fleet counts.

    A host whose registration is gone puts it back before the others drop it,
    and one that starts is known within seconds. So few are missing at a time.
    """

    name: str
    #: Hosts that each host does not count.
    missing: int
    #: Hosts that are gone, but still count.
    gone: int


TABLE = (
    Counting('the same', 0, 0),
    Counting('one missing', 1, 0),
    Counting('as many gone', 0, 85),
)


def _names(count: int) -> tuple[str, ...]:
    return tuple(f'host-{number:03d}' for number in range(count))


def _counted(
    host: str, fleet: tuple[str, ...], counting: Counting
) -> tuple[str, ...]:
    """Return the hosts that a host counts; it always counts itself."""
    position = fleet.index(host)
    others = fleet[position + 1 :] + fleet[:position]
    known = others[counting.missing :]
    gone = (f'gone-{number}' for number in range(counting.gone))
    return tuple(sorted((host, *known, *gone)))


def _share(
    limit: float, host: str, fleet: tuple[str, ...], counting: Counting
) -> RateShare:
    regions = dict.fromkeys(_counted(host, fleet, counting), REGION)
    return share_of(limit, rank_host('t-1', host, regions, REGION))


def _most_within(sent: list[float], window_s: float) -> int:
    return max(
        (
            sum(1 for at in sent if since <= at < since + window_s)
            for since in set(sent)
        ),
        default=0,
    )


class HostCountTest(unittest.TestCase):
    """Guards against a sum beyond a bound while hosts count differently."""

    def test_cold_targets(self) -> None:
        """The requests of a second to a cold target stay within the bound."""
        bounds = WarmUpBounds()
        allowed = COLD_RATE * bounds.overage + bounds.slack
        for count, counting in itertools.product(FLEETS, TABLE):
            fleet = _names(count)
            sent = 0
            for host in fleet:
                pacer = WarmUpPacer(bounds, EvenShare('t-1', host))
                hosts = _counted(host, fleet, counting)
                while pacer.allows(COLD_RATE, hosts, 0):
                    pacer.record_sent(0)
                    sent += 1
            with self.subTest(hosts=count, counting=counting.name):
                self.assertLessEqual(sent, allowed)

    def test_retry_budget(self) -> None:
        """The extra attempts of a window stay within the allowance."""
        bounds = BudgetBounds(ratio=0)
        for count, counting in itertools.product(FLEETS, TABLE):
            fleet = _names(count)
            spent = 0
            for host in fleet:
                budget = make_budget(bounds, -100, host=host)
                hosts = _counted(host, fleet, counting)
                while budget.try_acquire(hosts, 0):
                    spent += 1
            with self.subTest(hosts=count, counting=counting.name):
                self.assertLessEqual(spent, bounds.allowance)

    def test_rate_limits(self) -> None:
        """The requests of a window stay within what a limit tolerates."""
        for limit, count, counting in itertools.product((4, 40), FLEETS, TABLE):
            fleet = _names(count)
            limiters = [
                RateLimiter(_share(limit, host, fleet, counting), 0)
                for host in fleet
            ]
            sent: list[float] = []
            for step in range(int(3 * WINDOW_S / STEP_S)):
                now = step * STEP_S
                for limiter in limiters:
                    if limiter.wait_s(now) <= 0:
                        limiter.take(now)
                        sent.append(now)
            with self.subTest(limit=limit, hosts=count, counting=counting.name):
                allowed = LIMIT_FACTOR * limit * WINDOW_S + LIMIT_SLACK
                self.assertLessEqual(_most_within(sent, WINDOW_S), allowed)


class StartingHost:
    """A host that starts, registers and learns of the others."""

    def __init__(self, name: str, starts_at: float, behind_s: float) -> None:
        """Create a host that knows registrations ``behind_s`` later."""
        self.name = name
        self.registered_at = starts_at + REGISTERED_S
        self.sent: list[float] = []
        self._starts_at = starts_at
        self._behind_s = behind_s
        self._attempts = itertools.count()
        directory = TargetDirectory()
        record = make_record(warm_up_left_s=60, slots=SLOTS)
        directory.register(record, 0)
        location = HostLocation(name, 'dc-a', {'dc-a': REGION})
        self._placement = Placement(
            location, directory, WarmUpBounds(), lambda _: None
        )

    def advance(self, now: float, fleet: list['StartingHost']) -> None:
        """Learn of the registrations, and send what it may."""
        if now < self._starts_at:
            return
        known = [
            host.name
            for host in fleet
            if host.registered_at + self._behind_s <= now
        ]
        self._placement.replace_hosts(dict.fromkeys(known, REGION), now)
        choice = self._placement.choose(COLD_REQUIREMENTS, (), now)
        if isinstance(choice, ChosenTarget):
            attempt = next(self._attempts)
            self._placement.record_sent(choice.target, attempt, now)
            self.sent.append(now)


class JoiningTest(unittest.TestCase):
    """Guards against hosts that start at once and each find itself alone.

    Each sent a cold target as many requests as all may together.
    """

    def test_all_start(self) -> None:
        """Hosts that start together stay within the bound, and then send."""
        bounds = WarmUpBounds()
        allowed = COLD_RATE * bounds.overage + bounds.slack
        for count in (2, *FLEETS):
            fleet = [
                StartingHost(
                    name,
                    START_S * number / count,
                    KNOWN_S * (number % 3 + 1) / 3,
                )
                for number, name in enumerate(_names(count))
            ]
            for step in range(int((2 * JOINING_S + KNOWN_S) / STEP_S)):
                for host in fleet:
                    host.advance(step * STEP_S, fleet)
            sent = list(itertools.chain(*(host.sent for host in fleet)))
            most = _most_within(sent, 1)
            with self.subTest(hosts=count):
                self.assertLessEqual(most, allowed)
                self.assertGreaterEqual(most, 1)
