"""The state of one query and of its shards, and the merge of its answers."""

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
    """The state of one shard of a query."""

    service: str
    #: Numbers of the attempts in flight.
    attempts: set[int] = dataclasses.field(default_factory=set)
    #: Names of targets that the shard was sent to.
    tried: set[str] = dataclasses.field(default_factory=set)
    #: How often the shard was sent, refused attempts included.
    dispatches: int = 0
    answer: Answered | None = None
    #: The latest outcome that was not an answer.
    failure: NotRun | MayHaveRun | None = None
    #: True while a timer is set that sends the shard again.
    waiting: bool = False
    #: True once a target may have started the work.
    may_have_run: bool = False

    @property
    def settled(self) -> bool:
        """Whether the shard has an answer or nothing pending to get one."""
        if self.answer is not None:
            return True
        return not self.attempts and not self.waiting

    def reset_for_retry(self) -> None:
        """Discard the answer and failure, so that the shard is read again."""
        if self.answer is not None or self.attempts:
            self.may_have_run = True
        self.answer = None
        self.failure = None
        self.tried.clear()


class Query:
    """The state of one query.

    ``QueryRunner`` decides when the query is sent, retried and ended.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        services: Iterable[str],
        started_at: float,
        deadline: float,
    ) -> None:
        """Start with no shard answered; times are in seconds of core time."""
        self.request = request
        self.route = route
        self.fingerprint = request.fingerprint
        self.started_at = started_at
        self.deadline = deadline
        self.shards = [ShardState(service) for service in services]
        #: Index version that every shard must answer from; 0 allows any.
        self.version = 0
        #: How often the query was sent again to get consistent answers.
        self.restarts = 0
        #: True while only the canary, the first shard with a target, has been
        #: sent.
        self.canary_pending = False
        self.ended = False
        # All shards before this index are settled, so that `settled` does
        # not check them again.
        self._settled_count = 0

    @property
    def settled(self) -> bool:
        """Whether every shard is settled."""
        while self._settled_count < len(self.shards):
            if not self.shards[self._settled_count].settled:
                return False
            self._settled_count += 1
        return True

    @property
    def attempts_in_flight(self) -> list[int]:
        """Numbers of the attempts in flight of all shards."""
        return [number for shard in self.shards for number in shard.attempts]

    def reset_for_retry(self, shard: ShardState) -> None:
        """Discard the answer of a shard, so that it is read again."""
        shard.reset_for_retry()
        self._settled_count = 0

    def next_canary(self) -> ShardState | None:
        """Return the next shard to be sent alone, or None.

        None if no shard is left, or if a target may have run the last one:
        the request may have crashed it.
        """
        self._settled_count = 0
        for shard in self.shards:
            if shard.may_have_run:
                return None
            if not shard.dispatches and shard.failure is None:
                return shard
        return None

    def answered_versions(self) -> frozenset[int]:
        """Return the index versions of all answers."""
        return frozenset(
            shard.answer.version
            for shard in self.shards
            if shard.answer is not None
        )

    def has_overlapping_answers(self) -> bool:
        """Return whether answers overlap, as happens during a repartition."""
        answers = self._answers(self.answered_versions())
        return len(keep_disjoint(answers)) < len(answers)

    def newest_partition_revision(self) -> int:
        """Return the newest partition map revision of all answers, or 0."""
        revisions = [
            shard.answer.partition_revision
            for shard in self.shards
            if shard.answer is not None
        ]
        return max(revisions, default=0)

    def outcome(self) -> CallerOutcome:
        """Merge the shard answers into the outcome of the query.

        Only answers of one index version are merged: of the version that
        covers the most keys, or the newest of these. Without any answer, the
        outcome is ``MayHaveRun`` if a target may have started work, else the
        ``NotRun`` with the shortest retry delay.
        """
        best: list[Answered] = []
        best_key_count = -1
        for version in sorted(self.answered_versions(), reverse=True):
            kept = keep_disjoint(self._answers({version}))
            key_count = covered_keys(answer.covered for answer in kept)
            if key_count > best_key_count:
                best = kept
                best_key_count = key_count
        if not best:
            return self._failure()
        return QueryAnswer(
            version=best[0].version,
            coverage=coverage_of(
                (answer.covered for answer in best),
                WHOLE_KEY_SPACE,
            ),
            rows=tuple(answer.rows for answer in sorted(best, key=_key_range)),
            lacking=self._lacking(best),
        )

    def _answers(self, versions: Iterable[int]) -> list[Answered]:
        version_set = frozenset(versions)
        return [
            shard.answer
            for shard in self.shards
            if shard.answer is not None and shard.answer.version in version_set
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
        """Return whether a target may have started work for this query."""
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


def _key_range(answer: Answered) -> KeyRange:
    return answer.covered


def _retry_after(failure: NotRun | MayHaveRun) -> int:
    return failure.retry_after_ms
