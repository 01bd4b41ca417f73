"""How far a request is: what is answered, what can still be, what is due."""

from oriolestage.relay._parts import Part
from oriolestage.relay._request_results import min_parts
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._run_types import RunTimes

#: Time for reading a request, merging its answer and writing it, in seconds;
#: a busy host takes some milliseconds.
DELIVERY_MARGIN_S = 0.006


class Progress:
    """The parts of one request against its rule and its times."""

    def __init__(
        self,
        rule: RouteRule,
        times: RunTimes,
        parts: tuple[Part, ...],
    ) -> None:
        """Look at ``parts``, which others change."""
        self.rule = rule
        self.times = times
        self.parts = parts
        self._min_parts = min_parts(rule.destination, len(parts))

    @property
    def answered_count(self) -> int:
        """Number of parts that have an answer."""
        return sum(1 for part in self.parts if part.answer is not None)

    @property
    def has_enough(self) -> bool:
        """Tell whether the answers so far make an answer."""
        return self.answered_count >= self._min_parts

    @property
    def remaining_optional(self) -> bool:
        """Tell whether the answer could do without what lacks."""
        unanswered = len(self.parts) - self.answered_count
        return unanswered <= len(self.parts) - self._min_parts

    @property
    def finished(self) -> bool:
        """Tell whether nothing more can come of any part."""
        return all(part.finished for part in self.parts)

    @property
    def unattainable(self) -> bool:
        """Tell whether too few parts can still be answered."""
        possible = sum(
            1
            for part in self.parts
            if part.answer is not None or not part.finished
        )
        return possible < self._min_parts

    @property
    def partial_answer_at(self) -> float:
        """Time at which an answer with enough shards is given."""
        if not isinstance(self.rule.destination, ShardGroup):
            return float('inf')
        return self.times.objective - DELIVERY_MARGIN_S

    def must_end(self, now: float) -> bool:
        """Tell whether the request ends now."""
        if self.finished or self.unattainable or now >= self.times.deadline:
            return True
        return now >= self.partial_answer_at and self.has_enough

    def is_useful_at(self, answered_at: float) -> bool:
        """Tell whether an answer at that time could still be of use."""
        limit = (
            self.partial_answer_at if self.has_enough else self.times.deadline
        )
        return answered_at < limit
