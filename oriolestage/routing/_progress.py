"""Progress of one request: which parts are answered and when it must end."""

from oriolestage.routing._parts import PartState, PartTally
from oriolestage.routing._request_results import min_parts
from oriolestage.routing._rules import RouteRule, ShardGroup
from oriolestage.routing._run_types import RunTimes


class Progress:
    """Evaluates the parts of one request against its rule and its times."""

    def __init__(
        self,
        rule: RouteRule,
        times: RunTimes,
        parts: int,
        tally: PartTally,
    ) -> None:
        """Observe ``tally``, which counts the states of the parts."""
        self.rule = rule
        self.times = times
        self._parts = parts
        self._tally = tally
        self._min_parts = min_parts(rule.destination, parts)

    @property
    def single(self) -> bool:
        """Whether the request has only one part."""
        return self._parts == 1

    @property
    def answered_count(self) -> int:
        """Number of parts with an answer."""
        return self._tally.count(PartState.ANSWERED)

    @property
    def has_enough(self) -> bool:
        """Whether the answered parts suffice for an answer."""
        return self.answered_count >= self._min_parts

    @property
    def remaining_optional(self) -> bool:
        """Whether the answer can do without the unanswered parts."""
        unanswered = self._parts - self.answered_count
        return unanswered <= self._parts - self._min_parts

    @property
    def finished(self) -> bool:
        """Whether every part is answered or can get no answer."""
        return not self._tally.count(PartState.OPEN)

    @property
    def unattainable(self) -> bool:
        """Whether too few parts can still be answered."""
        possible = self._parts - self._tally.count(PartState.FAILED)
        return possible < self._min_parts

    @property
    def partial_answer_at(self) -> float:
        """Monotonic time at which a sufficient partial answer is returned.

        Infinite for requests to a single service.
        """
        if not isinstance(self.rule.destination, ShardGroup):
            return float('inf')
        return self.times.objective - self.times.delivery_margin_s

    def must_end(self, now: float) -> bool:
        """Return whether the request has to end now."""
        if self.finished or self.unattainable or now >= self.times.deadline:
            return True
        return now >= self.partial_answer_at and self.has_enough

    def is_useful_at(self, answered_at: float) -> bool:
        """Return whether an answer at that time can still be used."""
        limit = (
            self.partial_answer_at if self.has_enough else self.times.deadline
        )
        return answered_at < limit
