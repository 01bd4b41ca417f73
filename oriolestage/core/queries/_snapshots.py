"""Keeps the answers of one query on one snapshot of the data."""

from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._query import Query, ShardState
from oriolestage.core.queries._shard_dispatcher import ShardDispatcher
from oriolestage.core.targets._target_knowledge import TargetKnowledge

#: Times that a query may start again on another snapshot.
RESTART_LIMIT = 2


class SnapshotKeeper:
    """Chooses the version of a query and asks again where answers differ."""

    def __init__(
        self,
        timers: Timers,
        configuration: ConfigurationTracker,
        knowledge: TargetKnowledge,
        attempts: AttemptTable,
        dispatcher: ShardDispatcher,
    ) -> None:
        """Send what has to be asked again by ``dispatcher``."""
        self._timers = timers
        self._configuration = configuration
        self._knowledge = knowledge
        self._attempts = attempts
        self._dispatcher = dispatcher

    def best_version(self, query: Query) -> int:
        """Give the newest version that most shards can serve; 0 is any."""
        now = self._timers.now
        servable = [
            self._knowledge.servable(
                self._configuration.index.serving_targets_of(shard.service),
                now,
            )
            for shard in query.shards
        ]
        candidates = query.answered_versions().union(*servable)
        best = 0
        best_shards = 0
        for version in sorted(candidates, reverse=True):
            shards = sum(
                not versions or version in versions for versions in servable
            )
            if shards > best_shards:
                best = version
                best_shards = shards
        return best

    def restart_if_needed(self, query: Query, shard: ShardState) -> None:
        """Send a shard again, or the query on another snapshot."""
        candidates = self._configuration.index.serving_targets_of(shard.service)
        for target in candidates:
            if self._knowledge.may_serve(
                target.name,
                query.version,
                self._timers.now,
            ):
                self._dispatcher.dispatch_again(query, shard)
                return
        version = self.best_version(query)
        if version == query.version or not self._may_restart(query):
            return
        self._restart(query, version)

    def _may_restart(self, query: Query) -> bool:
        return query.restarts < RESTART_LIMIT

    def _restart(self, query: Query, version: int) -> None:
        query.restarts += 1
        query.version = version
        again: list[ShardState] = []
        for shard in query.shards:
            if shard.answer is not None and shard.answer.version == version:
                continue
            self._attempts.cancel(shard.attempts)
            shard.attempts.clear()
            query.ask_again(shard)
            if not shard.waiting:
                again.append(shard)
        self._dispatcher.dispatch(query, again)

    def settle(self, query: Query) -> bool:
        """Ask again where answers do not fit; tell whether that was done."""
        if not self._may_restart(query):
            return False
        if len(query.answered_versions()) > 1:
            version = self.best_version(query)
            if version:
                self._restart(query, version)
                return True
        if query.is_torn():
            self._ask_older_partitions_again(query)
            return True
        return False

    def _ask_older_partitions_again(self, query: Query) -> None:
        query.restarts += 1
        newest = query.newest_partition_revision()
        again: list[ShardState] = []
        for shard in query.shards:
            answer = shard.answer
            if answer is None or answer.partition_revision == newest:
                continue
            query.ask_again(shard)
            again.append(shard)
        self._dispatcher.dispatch(query, again)
