"""Orders the parts of one request by the time of their next decision.

Handles queries over many shards: each event looks only at the parts that are
due, so the work of an event does not grow with the number of shards.
"""

import heapq
import itertools

from oriolestage.routing._parts import Attempt, Part
from oriolestage.routing._stragglers import StragglerDetector


class DueParts:
    """Parts that wait for a target or may need a hedge.

    Entries that no longer apply stay in the heaps until they are the first.
    """

    def __init__(
        self, stragglers: StragglerDetector, *, repeatable: bool
    ) -> None:
        """Start empty; only ``repeatable`` requests are hedged."""
        self._stragglers = stragglers
        self._repeatable = repeatable
        self._order = itertools.count()
        #: Parts that are due at a fixed time.
        self._fixed: list[tuple[float, int, Part]] = []
        #: Attempts by the time at which an answer without any work arrives.
        #: They are due when they are late, and the work after which an
        #: attempt is late changes with each answer.
        self._attempts: list[tuple[float, int, Part, Attempt]] = []

    def add(self, part: Part) -> None:
        """Add a part after its attempts or its next placement have changed."""
        if part.answer is not None:
            return
        if part.next_placement_at < float('inf'):
            self._add_fixed(part.next_placement_at, part)
        attempt = part.only_attempt
        if attempt is None or attempt.hedge_considered or not self._repeatable:
            return
        if attempt.late:
            self._add_fixed(attempt.sent_at, part)
            return
        entry = (attempt.idle_answer_at, next(self._order), part, attempt)
        heapq.heappush(self._attempts, entry)

    def next_due_at(self) -> float:
        """Return the monotonic time at which the first part is due.

        Infinite if no part waits for anything.
        """
        due_at = float('inf')
        while self._fixed and not _is_due_by(self._fixed[0]):
            heapq.heappop(self._fixed)
        if self._fixed:
            due_at = self._fixed[0][0]
        self._remove_outdated_attempts()
        if self._attempts:
            late_at = self._attempts[0][0] + self._stragglers.late_s
            due_at = min(due_at, late_at)
        return due_at

    def pop_due(self, now: float) -> list[Part]:
        """Remove and return the parts that are due now."""
        due: list[Part] = []
        while self.next_due_at() <= now:
            if self._fixed and self._fixed[0][0] <= now:
                due.append(heapq.heappop(self._fixed)[2])
            else:
                due.append(heapq.heappop(self._attempts)[2])
        return due

    def _remove_outdated_attempts(self) -> None:
        """Make the first entry of the attempts one that applies."""
        while self._attempts:
            idle_answer_at, order, part, attempt = self._attempts[0]
            if not _is_unhedged(part, attempt):
                heapq.heappop(self._attempts)
                continue
            if attempt.idle_answer_at <= idle_answer_at:
                return
            # It was sent later than it was decided.
            entry = (attempt.idle_answer_at, order, part, attempt)
            heapq.heapreplace(self._attempts, entry)

    def _add_fixed(self, due_at: float, part: Part) -> None:
        heapq.heappush(self._fixed, (due_at, next(self._order), part))


def _is_due_by(entry: tuple[float, int, Part]) -> bool:
    """Return whether a part still has a decision due by the entry's time."""
    due_at, _, part = entry
    if part.answer is not None:
        return False
    if part.next_placement_at <= due_at:
        return True
    attempt = part.only_attempt
    if attempt is None or attempt.hedge_considered:
        return False
    return attempt.late and attempt.sent_at <= due_at


def _is_unhedged(part: Part, attempt: Attempt) -> bool:
    """Return whether an attempt may still need a hedge."""
    if part.answer is not None or attempt.hedge_considered or attempt.late:
        return False
    return part.only_attempt is attempt
