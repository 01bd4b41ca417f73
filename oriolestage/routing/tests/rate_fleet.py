"""A fleet of hosts and a target that states rate limits, on virtual time."""

import dataclasses
import itertools
import random
from collections.abc import Callable, Mapping

from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._target_rates import TargetRates
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import REGIONS, make_record

#: Time over which requests are counted, in seconds.
WINDOW_S = 4.0
#: Time after the first statement from which requests count, in seconds.
CONTACT_S = 5.0
#: Time after which a host that has got an answer counts, in seconds.
LEARNING_S = 0.5
#: What is tolerated of a limit: a factor and requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
#: Interval at which each host tries to send, in seconds.
STEP_S = 0.2
#: Shortest and longest time from a request to its answer, in seconds.
ANSWER_S = (0.05, 0.4)
#: Data centre and region of the target.
DATA_CENTRE = 'dc-a'
REGION = REGIONS[DATA_CENTRE]


@dataclasses.dataclass(frozen=True, slots=True)
class Stated:
    """A limit that the target states from a moment on."""

    #: In seconds.
    since: float
    #: Requests per second of all hosts; None for no limit.
    limit: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorstWindow:
    """The window that exceeds its limit most, or comes closest to it."""

    limit: float
    requests: int
    allowed: float

    @property
    def within(self) -> bool:
        """Whether no window has more requests than the target tolerates."""
        return self.requests <= self.allowed


class RateHost:
    """One process of a host, its answers and its requests."""

    def __init__(self, name: str) -> None:
        """Create a host that has sent nothing."""
        self.name = name
        self.rates = TargetRates(
            HostLocation(name, DATA_CENTRE, REGIONS), lambda _: None
        )
        #: Times of the answers that it got, with the limits in them.
        self.answers: list[tuple[float, float | None]] = []
        self.sent: list[float] = []

    @property
    def limits(self) -> list[float | None]:
        """The limits in its answers, the latest last."""
        return [limit for _, limit in self.answers]

    def knew_at(self, limit: float, since: float) -> float:
        """Return when it first got an answer with a limit, from ``since``."""
        return min(
            (
                at
                for at, stated in self.answers
                if at >= since and stated == limit
            ),
            default=float('inf'),
        )


class RateFleet:
    """Hosts that each send a target what they may."""

    def __init__(
        self,
        hosts: int,
        stated: tuple[Stated, ...],
        seed: int,
        *,
        regions: int = 1,
    ) -> None:
        """Create hosts that know one another and not yet the limit.

        They are in ``regions`` regions, one of which is the target's.
        """
        self._region_count = regions
        self.hosts = [RateHost(f'host-{number:03d}') for number in range(hosts)]
        #: Processes that have ended; their requests count.
        self.ended: list[RateHost] = []
        self.target = KnownTarget(make_record(), cold_until=0)
        self._stated = stated
        self._rng = random.Random(seed)
        self._numbers = itertools.count(hosts)
        self._answers: list[tuple[float, RateHost, float | None]] = []
        self.share(0)

    def share(self, now: float) -> None:
        """Let all hosts count all."""
        regions = self._regions()
        for host in self.hosts:
            self._count(host, regions, now)

    def learn(self, until: float) -> None:
        """Let each host get an answer at a moment before ``until``."""
        for host in self.hosts:
            self._answer(host, self._rng.uniform(0, until))

    def run(
        self,
        since: float,
        until: float,
        before_step: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Let all hosts send whenever they may.

        ``before_step`` is called with the time of each step.
        """
        for step in range(int((until - since) / STEP_S)):
            now = since + step * STEP_S
            self._deliver(now)
            before_step(now)
            for host in self.hosts:
                self._send_all(host, now)

    def restart(self, position: int, now: float) -> None:
        """Replace a host by a new process of the same name."""
        old = self.hosts[position]
        self.ended.append(old)
        self.hosts[position] = RateHost(old.name)
        self._count(self.hosts[position], self._regions(), now)

    def add(self, count: int, now: float) -> None:
        """Start hosts that count all, and that the others do not count yet."""
        new = [
            RateHost(f'host-{next(self._numbers):03d}') for _ in range(count)
        ]
        self.hosts.extend(new)
        for host in new:
            self._count(host, self._regions(), now)

    def remove(self, count: int, now: float) -> None:
        """End hosts, which the others count no longer."""
        self.ended.extend(self.hosts[-count:])
        self.hosts = self.hosts[:-count]
        self.share(now)

    def worst_window(self) -> WorstWindow:
        """Return the worst window of all limits that the target stated.

        Each limit that was stated within a window holds for all of it. The
        requests of a host count once it has got an answer with that limit
        half a second before, since the target states it.
        """
        worst = WorstWindow(0, 0, LIMIT_SLACK)
        named_at = next(
            each.since for each in self._stated if each.limit is not None
        )
        ends = [each.since for each in self._stated[1:]] + [float('inf')]
        for each, end in zip(self._stated, ends, strict=True):
            if each.limit is None:
                continue
            since = max(each.since, named_at + CONTACT_S)
            found = self._worst_of(each, since, end)
            excess = found.requests / found.allowed
            if excess > worst.requests / worst.allowed:
                worst = found
        return worst

    def _worst_of(
        self, stated: Stated, since: float, end: float
    ) -> WorstWindow:
        """Return the worst window that begins from ``since`` to ``end``."""
        limit = stated.limit or 0
        sent: list[float] = []
        for host in (*self.hosts, *self.ended):
            counted_from = max(
                since, host.knew_at(limit, stated.since) + LEARNING_S
            )
            sent.extend(at for at in host.sent if at >= counted_from)
        sent.sort()
        most = 0
        last = 0
        for first, start in enumerate(sent):
            if start >= end:
                break
            while last < len(sent) and sent[last] < start + WINDOW_S - 1e-6:
                last += 1
            most = max(most, last - first)
        allowed = LIMIT_FACTOR * limit * WINDOW_S + LIMIT_SLACK
        return WorstWindow(limit, most, allowed)

    def _send_all(self, host: RateHost, now: float) -> None:
        """Let a host send until it must wait, or has sent two a step."""
        for _ in range(int(1 + 400 * STEP_S / len(self.hosts))):
            if host.rates.wait_s(self.target, now) > 0:
                return
            host.rates.record_sent(self.target, now)
            host.sent.append(now)
            self._answer(host, now + self._rng.uniform(*ANSWER_S))

    def _answer(self, host: RateHost, at: float) -> None:
        """Let the target answer a host at a moment."""
        limit = None
        for each in self._stated:
            if each.since <= at:
                limit = each.limit
        self._answers.append((at, host, limit))

    def _deliver(self, now: float) -> None:
        due = [each for each in self._answers if each[0] <= now]
        self._answers = [each for each in self._answers if each[0] > now]
        for at, host, limit in sorted(due, key=lambda each: each[0]):
            host.answers.append((at, limit))
            host.rates.record_limit(self.target, limit, at)

    def _regions(self) -> Mapping[str, str]:
        names = tuple(REGIONS.values())[: self._region_count]
        return dict(
            zip(
                (host.name for host in self.hosts),
                itertools.cycle(names),
                strict=False,
            )
        )

    def _count(
        self, host: RateHost, regions: Mapping[str, str], now: float
    ) -> None:
        host.rates.replace_hosts(regions, (self.target,), now)
