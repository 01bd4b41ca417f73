"""Decides when a part of a request gets an attempt, a retry or a hedge.

Handles three load patterns: targets that pause or slow down while a query
waits for all shards (a late shard gets a hedge), targets that shed or fail
(the request is retried at another target, within the shared retry budget),
and services without a free target (a short wait, then an early refusal).
"""

from collections import Counter

from oriolestage.routing._answers import GiveUpReason
from oriolestage.routing._capacity_waits import NOT_ITS_TURN, CapacityWaits
from oriolestage.routing._dispatch import AttemptDispatcher
from oriolestage.routing._due_parts import DueParts
from oriolestage.routing._parts import (
    MAX_SHED_ATTEMPTS,
    Attempt,
    Part,
)
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    NoTarget,
    PlacementResult,
)
from oriolestage.routing._progress import Progress
from oriolestage.routing._stragglers import StragglerDetector
from oriolestage.routing._target_choice import TargetChooser


class AttemptPolicy:
    """Decides which attempts the parts of one request get."""

    def __init__(
        self,
        progress: Progress,
        placement: Placement,
        chooser: TargetChooser,
        dispatch: AttemptDispatcher,
        stragglers: StragglerDetector,
        due: DueParts,
        waits: CapacityWaits,
    ) -> None:
        """Start without attempts; decided ones are enqueued at ``dispatch``.

        Parts that need a later decision are added to ``due``, and ``waits``
        decides on those without a free target.
        """
        self.hedge_count = 0
        #: Late attempts that got no hedge, by reason.
        self.unhedged: Counter[str] = Counter()
        self._progress = progress
        self._rule = progress.rule
        self._placement = placement
        self._chooser = chooser
        self._dispatch = dispatch
        self._stragglers = stragglers
        self._due = due
        self._waits = waits

    def decide_due(self, now: float) -> None:
        """Place the parts that waited long enough and hedge late ones."""
        for woken in self._waits.take_woken(now):
            self._due.add(woken)
        for part in self._due.pop_due(now):
            if part.next_placement_at <= now:
                part.next_placement_at = float('inf')
                self.place_attempt(part, now)
            self.hedge(part, now)

    def place_attempt(
        self,
        part: Part,
        now: float,
        choice: PlacementResult | None = None,
    ) -> None:
        """Enqueue an attempt of a part that has none in flight.

        Without a free target, schedule another try or give the part up. All
        attempts after one that may have reached a target need budget.
        ``choice`` is the result of an earlier choice of its target.
        """
        if part.in_flight or part.finished:
            return
        placed = self._choose_in_turn(part, choice, now)
        match placed:
            case ChosenTarget():
                if part.delivered_count and not self._spend_extra_attempt(
                    part, now
                ):
                    self._waits.give_up(part, GiveUpReason.NO_BUDGET, now)
                    return
                part.shortage = None
                self._waits.record_placed(part, now)
                self._dispatch.enqueue(part, placed)
            case NoCapacity():
                self._waits.wait(part, placed, now)
                self._due.add(part)
            case NoTarget():
                self._waits.give_up(part, GiveUpReason.NO_TARGET, now)

    def retry(self, part: Part, now: float) -> None:
        """Make another attempt after a failed one if the rules allow it.

        Give the part up if the request may run only once and may have run,
        or if the limit of runs or of shed attempts is reached.
        """
        if part.in_flight:
            # The other attempt may be the only one in flight now.
            self._due.add(part)
            return
        if part.answer is not None:
            return
        not_repeatable = not self._rule.repeatable and part.may_have_run
        exhausted = part.may_have_run >= self._rule.max_attempts
        if not_repeatable or exhausted or part.shed_count >= MAX_SHED_ATTEMPTS:
            self._waits.give_up(part, part.reason, now)
            return
        self.place_attempt(part, now)

    def hedge(self, part: Part, now: float) -> None:
        """Enqueue a second attempt if the only one in flight is late.

        Each attempt is considered once. No hedge is sent if the request may
        not run at another target, if no target is free, if the answer would
        come too late to be of use, or if the budget does not allow it.
        """
        attempt = part.only_attempt
        if part.answer is not None or attempt is None:
            return
        if self._hedge_due_at(attempt) > now:
            return
        attempt.hedge_considered = True
        if part.may_have_run + 1 >= self._rule.max_attempts:
            return
        if not self._waits.allows_hedge(part):
            self.unhedged['others_wait'] += 1
            return
        placed = self._waits.keep_reserved(
            part, self._chooser.choose(part, part.tried, now), now
        )
        if not isinstance(placed, ChosenTarget):
            self.unhedged['no_target'] += 1
            return
        if not self._progress.is_useful_at(now + placed.expected_s):
            self.unhedged['too_late'] += 1
            return
        if not self._spend_extra_attempt(part, now):
            self.unhedged['no_budget'] += 1
            return
        self.hedge_count += 1
        self._dispatch.enqueue(part, placed, hedge=True)

    def _choose_in_turn(
        self, part: Part, choice: PlacementResult | None, now: float
    ) -> PlacementResult:
        """Choose a target, or none if better requests wait for one."""
        if not self._waits.may_try(part, now):
            return NOT_ITS_TURN
        placed = choice or self._choose(part, now)
        return self._waits.keep_reserved(part, placed, now)

    def _choose(self, part: Part, now: float) -> PlacementResult:
        """Choose an untried target, or any target if none is free."""
        placed = self._chooser.choose(part, part.tried, now)
        if part.tried and not isinstance(placed, ChosenTarget):
            return self._chooser.choose(part, (), now)
        return placed

    def _spend_extra_attempt(self, part: Part, now: float) -> bool:
        """Take one extra attempt from the retry budget.

        Return False if it is refused. When the budget is nearly exhausted,
        only attempts that a sufficient answer depends on may use it.
        """
        hosts = self._placement.hosts
        budget = part.request.budget
        if self._progress.remaining_optional and budget.nearly_exhausted(
            hosts, now
        ):
            return False
        return budget.try_acquire(hosts, now)

    def _hedge_due_at(self, attempt: Attempt) -> float:
        """Return the time from which an attempt may be hedged."""
        if attempt.hedge_considered or not self._rule.repeatable:
            return float('inf')
        if attempt.late:
            return attempt.sent_at
        return attempt.idle_answer_at + self._stragglers.late_s
