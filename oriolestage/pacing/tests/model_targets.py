"""A target with slots and a queue, on virtual time."""

import collections
import dataclasses
import random
from collections.abc import Callable

from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing.tests.builders import make_answer

#: Slots and queue of a target, in requests.
SLOTS = 2
QUEUE = 12
#: Median work of a request, in seconds, and the spread of its logarithm.
WORK_S = 0.01
WORK_SPREAD = 0.35
#: Work of a cold target as a multiple of that of a warm one, and the time for
#: which it is cold, in seconds.
COLD_FACTOR = 1.6
COLD_S = 3.0

#: Time that a new connection takes of one slot, in seconds.
CONNECT_S = 0.006

#: Calls a function at a moment.
Schedule = Callable[[float, Callable[[float], None]], None]
#: Takes an outcome at the moment at which the target gives it.
Reply = Callable[[AttemptOutcome, float], None]


@dataclasses.dataclass(slots=True, eq=False)
class _Queued:
    reply: Reply
    #: True if it is the first request on a new connection.
    connects: bool
    cancelled: bool = False


class ModelTarget:
    """Serves requests in order; refuses those beyond its queue."""

    def __init__(
        self, record: TargetRecord, schedule: Schedule, rng: random.Random
    ) -> None:
        """Create a warm target that is idle."""
        self.record = record
        self.down = False
        self.cold_until = float('-inf')
        #: Times at which requests arrived, and of those that were refused.
        self.arrivals: list[float] = []
        self.refusals: list[float] = []
        self._schedule = schedule
        self._rng = rng
        self._running: list[_Queued] = []
        self._connected: set[str] = set()
        self._queue: collections.deque[_Queued] = collections.deque()

    def arrive(self, host: str, reply: Reply, now: float) -> Callable[[], None]:
        """Take a request; return a function that cancels it in the queue."""
        queued = _Queued(reply, host not in self._connected)
        if self.down:
            reply(AttemptNotRun(NotRunReason.NOT_REACHED), now)
        else:
            self._connected.add(host)
            self._accept(queued, now)
        return lambda: _cancel(queued)

    def stop(self, now: float) -> None:
        """Lose all requests; their connections are reset."""
        self.down = True
        for queued in (*self._running, *self._queue):
            queued.reply(AttemptLost('target.reset', broken=True), now)
        self._running.clear()
        self._queue.clear()
        self._connected.clear()

    def _accept(self, queued: _Queued, now: float) -> None:
        self.arrivals.append(now)
        waiting = sum(1 for each in self._queue if not each.cancelled)
        if waiting >= QUEUE:
            self.refusals.append(now)
            queued.reply(AttemptNotRun(NotRunReason.SHED), now)
            return
        self._queue.append(queued)
        self._start_next(now)

    def _start_next(self, now: float) -> None:
        while self._queue and len(self._running) < SLOTS:
            queued = self._queue.popleft()
            if queued.cancelled:
                continue
            self._running.append(queued)
            work_s = WORK_S * self._rng.lognormvariate(0, WORK_SPREAD)
            if now < self.cold_until:
                work_s *= COLD_FACTOR
            if queued.connects:
                work_s += CONNECT_S
            self._finish_at(now + work_s, queued)

    def _finish_at(self, ends_at: float, queued: _Queued) -> None:
        def finish(now: float) -> None:
            if queued in self._running:
                self._running.remove(queued)
                queued.reply(AttemptAnswered(make_answer()), now)
                self._start_next(now)

        self._schedule(ends_at, finish)


def _cancel(queued: _Queued) -> None:
    queued.cancelled = True
