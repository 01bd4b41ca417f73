"""Pace of this host's requests to one target that has started or recovered.

The pace is a fraction of the rate at which the target's slots are busy, of
which each host takes an even part. Hosts cannot ask one another, so the first
request of each host is sent at a time that follows from its rank, and each
host raises or lowers its own part by the replies that it gets.
"""

import dataclasses
import enum

from oriolestage.pacing._token_bucket import TokenBucket

#: Fraction of the target's rate at which all hosts together start. It is above
#: 1 because hosts use only some of their turns: a request arrives at a host at
#: a random moment after its turn has come.
START_FRACTION = 1.75
#: Lowest fraction, at which all hosts together still try the target several
#: times a second.
MIN_FRACTION = 0.25
#: Highest fraction. A host may then send several times its even part, so the
#: pace limits it no more unless replies lower it.
FULL_FRACTION = 6.0
#: Factors on the fraction for a reply in good time, a slow one, and a refusal
#: or failure.
RAISE_FACTOR = 1.5
SLOW_FACTOR = 0.75
FAILED_FACTOR = 0.5
#: Processing time, as a multiple of that of siblings, up to which a target
#: carries what siblings carry. A sibling that takes longer counts as late.
PROMPT_RATIO = 1.4
#: The same up to which the pace is raised, and from which it is lowered. A
#: target that has just started takes 1.6 without any queue.
RAISE_RATIO = 2.2
SLOW_RATIO = 3.0
#: Weight of the newest reply in the average of that multiple, and the largest
#: multiple of one reply.
RATIO_WEIGHT = 0.5
RATIO_LIMIT = 4.0
#: Lowest fraction while no sibling has capacity: all slots of the target.
YIELD_FRACTION = 1.0
#: Time after which a pace ends without further replies, in seconds. By then
#: the target is as warm as its siblings.
LIMIT_S = 10.0


class PaceCause(enum.Enum):
    """Why a target is paced."""

    STARTED = 'started'
    RECOVERED = 'recovered'


class Step(enum.Enum):
    """What a reply does to the pace."""

    UP = 'up'
    HOLD = 'hold'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSize:
    """What a target can carry, and how many hosts share it."""

    slots: int
    #: Typical processing time of the present route, in seconds.
    work_s: float
    hosts: int

    @property
    def host_rate(self) -> float:
        """One host's part of the rate that fills the slots, per second."""
        return max(1, self.slots) / (self.work_s * max(1, self.hosts))


class TargetPace:
    """Limits the requests of this host to one target, from its replies."""

    def __init__(
        self, cause: PaceCause, initial_tokens: float, now: float
    ) -> None:
        """Start at `START_FRACTION`.

        The first request may be sent when the part of one token that
        ``initial_tokens`` lacks has been added.
        """
        self.cause = cause
        self.started_at = now
        #: Number of requests sent and of steps up and down.
        self.sent = 0
        self.steps_up = 0
        self.steps_down = 0
        self._fraction = START_FRACTION
        self._ratio = 1.0
        self._bucket = TokenBucket(initial_tokens, now)
        #: What may be sent while no sibling has capacity.
        self._yield_bucket = TokenBucket(initial_tokens, now)

    @property
    def fraction(self) -> float:
        """Present fraction of the target's rate."""
        return self._fraction

    @property
    def ratio(self) -> float:
        """Processing time as a multiple of that of siblings."""
        return self._ratio

    @property
    def reached_siblings(self) -> bool:
        """Whether the target carries what its siblings carry."""
        full = self._fraction >= FULL_FRACTION
        return full and self._ratio <= PROMPT_RATIO

    def overdue(self, now: float) -> bool:
        """Return whether the pace ends because of its age."""
        return now - self.started_at >= LIMIT_S

    def wait_s(self, size: TargetSize, now: float) -> float:
        """Return the time until a request may be sent, 0 if it may now."""
        self._refill(size, now)
        return self._bucket.wait_s(size.host_rate * self._fraction)

    def yielded_wait_s(self, size: TargetSize, now: float) -> float:
        """Return the same for a request that no sibling has capacity for."""
        self._refill(size, now)
        own_wait_s = self._bucket.wait_s(size.host_rate * self._fraction)
        rate = size.host_rate * self._yielded_fraction
        return min(own_wait_s, self._yield_bucket.wait_s(rate))

    def record_sent(self) -> None:
        """Count a request that is sent."""
        self.sent += 1
        self._bucket.take(debt=1)
        self._yield_bucket.take(debt=1)

    def record_withdrawn(self) -> None:
        """Give back what a request took that was not sent after all."""
        self.sent -= 1
        self._bucket.put_back()
        self._yield_bucket.put_back()

    def record_ratio(self, ratio: float) -> Step:
        """Record the processing time of a reply as a multiple of siblings'."""
        sample = min(ratio, RATIO_LIMIT)
        self._ratio += RATIO_WEIGHT * (sample - self._ratio)
        if self._ratio <= RAISE_RATIO:
            return self._change(RAISE_FACTOR)
        if self._ratio < SLOW_RATIO:
            return Step.HOLD
        return self._change(SLOW_FACTOR)

    def record_late(self) -> Step:
        """Record that a reply did not come in time."""
        return self._change(SLOW_FACTOR)

    def record_failed(self) -> Step:
        """Record a refusal, an error or a broken connection."""
        return self._change(FAILED_FACTOR)

    @property
    def _yielded_fraction(self) -> float:
        return max(self._fraction, YIELD_FRACTION)

    def _change(self, factor: float) -> Step:
        before = self._fraction
        changed = max(MIN_FRACTION, min(FULL_FRACTION, before * factor))
        self._fraction = changed
        if changed > before:
            self.steps_up += 1
            return Step.UP
        if changed < before:
            self.steps_down += 1
            return Step.DOWN
        return Step.HOLD

    def _refill(self, size: TargetSize, now: float) -> None:
        rate = size.host_rate
        burst = max(1, size.slots) if self.steps_up else 1
        self._bucket.refill(rate * self._fraction, burst, now)
        self._yield_bucket.refill(
            rate * self._yielded_fraction, max(1, size.slots), now
        )
