"""When a part of a request gets an attempt, another one, or a hedge.

Load patterns answered: targets that pause or slow down while a query waits
for all shards (a hedge when a shard is late), targets that shed or fail
(another target, under the shared budget), and services without room (a short
wait, then an early end).
"""

from oriolestage.relay._answers import GiveUpReason
from oriolestage.relay._dispatch import AttemptDispatcher
from oriolestage.relay._parts import (
    MAX_SHED_ATTEMPTS,
    MIN_RETRY_AFTER_S,
    Attempt,
    Part,
)
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import Chosen, NoRoom, NoTarget, Placed
from oriolestage.relay._progress import Progress
from oriolestage.relay._stragglers import StragglerDetector

#: Part of the objective for which a request may wait for room.
CAPACITY_WAIT_SHARE = 0.25


class AttemptPolicy:
    """Decides on the attempts of the parts of one request."""

    def __init__(
        self,
        progress: Progress,
        placement: Placement,
        dispatch: AttemptDispatcher,
        stragglers: StragglerDetector,
    ) -> None:
        """Queue what is decided with ``dispatch``."""
        self.hedge_count = 0
        self._progress = progress
        self._rule = progress.rule
        self._placement = placement
        self._dispatch = dispatch
        self._stragglers = stragglers

    def due_at(self, part: Part) -> float:
        """Time at which something is due for a part."""
        if part.answer is not None:
            return float('inf')
        due_at = part.next_placement_at
        if len(part.in_flight) == 1:
            for attempt in part.in_flight.values():
                due_at = min(due_at, self._hedge_due_at(attempt))
        return due_at

    def place_attempt(self, part: Part, now: float) -> None:
        """Decide on an attempt of a part that has none on its way."""
        if part.in_flight or part.finished:
            return
        placed = self._choose(part, now)
        match placed:
            case Chosen():
                if part.delivered_count and not self._spend_extra_attempt(
                    part, now
                ):
                    part.give_up(GiveUpReason.NO_BUDGET)
                    return
                self._dispatch.enqueue(part, placed)
            case NoRoom(wait_s=wait_s):
                part.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
                part.reason = GiveUpReason.NO_ROOM
                part.next_placement_at = now + wait_s
                part.given_up = (
                    part.next_placement_at
                    >= self._capacity_wait_until(part, now)
                )
            case NoTarget():
                part.give_up(GiveUpReason.NO_TARGET)

    def retry(self, part: Part, now: float) -> None:
        """Try another target after a failed attempt, if it may be done."""
        if part.in_flight or part.answer is not None:
            return
        once = not self._rule.repeatable and part.may_have_run
        spent = part.may_have_run >= self._rule.max_attempts
        if once or spent or part.shed_count >= MAX_SHED_ATTEMPTS:
            part.given_up = True
            return
        self.place_attempt(part, now)

    def hedge(self, part: Part, now: float) -> None:
        """Decide on a second attempt when the first takes too long."""
        if part.answer is not None or len(part.in_flight) != 1:
            return
        attempt = next(iter(part.in_flight.values()))
        if self._hedge_due_at(attempt) > now:
            return
        attempt.hedge_considered = True
        if part.may_have_run + 1 >= self._rule.max_attempts:
            return
        placed = self._placement.choose(
            part.request.requirements, part.tried, now
        )
        if not isinstance(placed, Chosen):
            return
        if not self._progress.is_useful_at(now + placed.expected_s):
            return
        if not self._spend_extra_attempt(part, now):
            return
        self.hedge_count += 1
        self._dispatch.enqueue(part, placed, hedge=True)

    def _choose(self, part: Part, now: float) -> Placed:
        """Choose a target not tried yet, else any."""
        placed = self._placement.choose(
            part.request.requirements, part.tried, now
        )
        if part.tried and not isinstance(placed, Chosen):
            return self._placement.choose(part.request.requirements, (), now)
        return placed

    def _spend_extra_attempt(self, part: Part, now: float) -> bool:
        """Take an extra attempt; the last ones are for answers at all."""
        hosts = len(self._placement.hosts)
        budget = part.request.budget
        if self._progress.remaining_optional and budget.scarce(hosts, now):
            return False
        return budget.take(hosts, now)

    def _hedge_due_at(self, attempt: Attempt) -> float:
        """Time at which a second attempt is worth it."""
        if attempt.hedge_considered or not self._rule.repeatable:
            return float('inf')
        if attempt.late:
            return attempt.sent_at
        return attempt.sent_at + attempt.round_trip_s + self._stragglers.late_s

    def _capacity_wait_until(self, part: Part, now: float) -> float:
        """Time until which a part may wait for room.

        What no target got is refused soon, so that the caller may go
        elsewhere; what may have run cannot be refused any more.
        """
        times = self._progress.times
        if part.delivered_count:
            return times.deadline
        part.no_capacity_since = min(part.no_capacity_since, now)
        return (
            part.no_capacity_since
            + (times.objective - times.started) * CAPACITY_WAIT_SHARE
        )
