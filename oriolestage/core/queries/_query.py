"""One query on its way through all shards of its group."""

import dataclasses
from collections.abc import Iterable

from oriolestage.core.configuration._configuration import KEY_SPACE_SIZE, Route
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._coverage import (
    coverage_of,
    covered_keys,
    keep_disjoint,
)
from oriolestage.core.queries._outcomes import (
    Answered,
    CallerOutcome,
    KeyRange,
    MayHaveRun,
    NotRun,
    QueryAnswer,
    Reason,
)

#: The key space that every group divides among its services.
WHOLE_KEY_SPACE = KeyRange(0, KEY_SPACE_SIZE)


@dataclasses.dataclass(slots=True)
class ShardState:
    """What is known of one shard of a query."""

    service: str
    #: Requests in flight, by attempt number.
    attempts: set[int] = dataclasses.field(default_factory=set)
    #: Targets that were already asked.
    tried: set[str] = dataclasses.field(default_factory=set)
    dispatches: int = 0
    answer: Answered | None = None
    failure: NotRun | MayHaveRun | None = None
    #: True while a timer will dispatch the shard again.
    waiting: bool = False
    #: True once a target may have started the work.
    may_have_run: bool = False

    @property
    def settled(self) -> bool:
        """Tell whether nothing more is expected of the shard."""
        if self.answer is not None:
            return True
        return not self.attempts and not self.waiting

    def reset_for_retry(self) -> None:
        """Forget the answer, so that the shard is asked once more."""
        if self.answer is not None or self.attempts:
            self.may_have_run = True
        self.answer = None
        self.failure = None
        self.tried.clear()


class Query:
    """The state of one query; it decides nothing on its own."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        services: Iterable[str],
        started_at: float,
        deadline: float,
    ) -> None:
        """Start with every shard unanswered."""
        self.request = request
        self.route = route
        self.fingerprint = request.fingerprint
        self.started_at = started_at
        self.deadline = deadline
        self.shards = [ShardState(service) for service in services]
        #: Index version that every shard must answer from; 0 is any.
        self.version = 0
        self.restarts = 0
        #: True while only the first shard was asked.
        self.canary_pending = False
        self.ended = False
        # Shards up to here are settled; looking again costs nothing.
        self._settled_shards = 0

    @property
    def settled(self) -> bool:
        """Tell whether every shard is settled."""
        while self._settled_shards < len(self.shards):
            if not self.shards[self._settled_shards].settled:
                return False
            self._settled_shards += 1
        return True

    @property
    def attempts_in_flight(self) -> list[int]:
        """Numbers of all attempts in flight."""
        return [number for shard in self.shards for number in shard.attempts]

    def reset_for_retry(self, shard: ShardState) -> None:
        """Forget the answer of a shard, so that it is asked once more."""
        shard.reset_for_retry()
        self._settled_shards = 0

    def answered_versions(self) -> frozenset[int]:
        """Give every index version that an answer was read from."""
        return frozenset(
            shard.answer.version
            for shard in self.shards
            if shard.answer is not None
        )

    def has_overlapping_answers(self) -> bool:
        """Tell whether answers overlap because of a repartition."""
        answers = self._answers(self.answered_versions())
        return len(keep_disjoint(answers)) < len(answers)

    def newest_partition_revision(self) -> int:
        """Give the newest partition map that an answer was read with."""
        revisions = [
            shard.answer.partition_revision
            for shard in self.shards
            if shard.answer is not None
        ]
        return max(revisions, default=0)

    def outcome(self) -> CallerOutcome:
        """Merge what there is into one answer from one version."""
        best: list[Answered] = []
        best_keys = -1
        for version in sorted(self.answered_versions(), reverse=True):
            kept = keep_disjoint(self._answers({version}))
            keys = covered_keys(answer.covered for answer in kept)
            if keys > best_keys:
                best = kept
                best_keys = keys
        if not best:
            return self._failure()
        return QueryAnswer(
            version=best[0].version,
            coverage=coverage_of(
                (answer.covered for answer in best),
                WHOLE_KEY_SPACE,
            ),
            rows=tuple(answer.rows for answer in sorted(best, key=_range_of)),
            lacking=self._lacking(best),
        )

    def _answers(self, versions: Iterable[int]) -> list[Answered]:
        wanted = frozenset(versions)
        return [
            shard.answer
            for shard in self.shards
            if shard.answer is not None and shard.answer.version in wanted
        ]

    def _lacking(
        self,
        kept: list[Answered],
    ) -> tuple[NotRun | MayHaveRun, ...]:
        lacking: list[NotRun | MayHaveRun] = []
        merged = {id(answer) for answer in kept}
        for shard in self.shards:
            if id(shard.answer) in merged:
                continue
            if shard.answer is not None:
                lacking.append(
                    MayHaveRun(
                        Reason.SNAPSHOT_UNAVAILABLE,
                        'entry.merge',
                        shard.service,
                    ),
                )
                continue
            lacking.append(self._shard_failure(shard))
        return tuple(lacking)

    def _shard_failure(self, shard: ShardState) -> NotRun | MayHaveRun:
        failure = shard.failure
        if failure is None or shard.attempts:
            if shard.attempts or shard.may_have_run:
                return MayHaveRun(Reason.DEADLINE, 'entry.wait', shard.service)
            return NotRun(Reason.DEADLINE, 'entry.dispatch', shard.service)
        if shard.may_have_run and isinstance(failure, NotRun):
            return MayHaveRun(
                failure.reason,
                failure.step,
                failure.peer,
                failure.retry_after_ms,
            )
        return failure

    def may_have_started(self) -> bool:
        """Tell whether a target may have started work of this query."""
        return any(
            shard.may_have_run or shard.attempts or shard.answer is not None
            for shard in self.shards
        )

    def _failure(self) -> NotRun | MayHaveRun:
        failures = [self._shard_failure(shard) for shard in self.shards]
        for failure in failures:
            if isinstance(failure, MayHaveRun):
                return failure
        if not failures:
            return NotRun(
                Reason.NO_TARGET,
                'entry.dispatch',
                self.route.group,
            )
        return min(failures, key=_retry_after)


def _range_of(answer: Answered) -> KeyRange:
    return answer.covered


def _retry_after(failure: NotRun | MayHaveRun) -> int:
    return failure.retry_after_ms
