"""Makes all shards of a query answer from the same snapshot of the data.

A snapshot is one index version, read with one partition map.
"""

from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._query import Query, ShardState
from oriolestage.core.queries._shard_dispatcher import ShardDispatcher
from oriolestage.core.targets._target_selector import TargetSelector

#: How often a query may be sent again to get consistent answers.
MAX_RESTARTS = 2


class SnapshotCoordinator:
    """Chooses the index version of a query and rereads mismatched shards."""

    def __init__(
        self,
        timers: Timers,
        configuration: ConfigurationTracker,
        selector: TargetSelector,
        attempts: AttemptTable,
        dispatcher: ShardDispatcher,
    ) -> None:
        """Send shards that must be read again through ``dispatcher``."""
        self._timers = timers
        self._configuration = configuration
        self._selector = selector
        self._attempts = attempts
        self._dispatcher = dispatcher

    def best_version(self, query: Query) -> int:
        """Return the newest of the versions that most shards can serve.

        Returns 0, which allows any version, when no version is known.
        """
        now = self._timers.now
        served_versions = [
            self._selector.served_versions(
                self._configuration.index.serving_targets_of(shard.service),
                now,
            )
            for shard in query.shards
        ]
        candidates = query.answered_versions().union(*served_versions)
        best = 0
        most_serving_shards = 0
        for version in sorted(candidates, reverse=True):
            serving_shards = sum(
                not versions or version in versions
                for versions in served_versions
            )
            if serving_shards > most_serving_shards:
                best = version
                most_serving_shards = serving_shards
        return best

    def restart_if_needed(self, query: Query, shard: ShardState) -> None:
        """Send a shard again whose target did not serve the query's version.

        If no target of the shard may serve that version, restart the query
        with the best version, unless that is the same or the query was
        restarted too often.
        """
        candidates = self._configuration.index.serving_targets_of(shard.service)
        for target in candidates:
            if self._selector.may_serve(
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
        return query.restarts < MAX_RESTARTS

    def _restart(self, query: Query, version: int) -> None:
        query.restarts += 1
        query.version = version
        to_reread: list[ShardState] = []
        for shard in query.shards:
            if shard.answer is not None and shard.answer.version == version:
                continue
            self._attempts.cancel(shard.attempts)
            shard.attempts.clear()
            query.reset_for_retry(shard)
            if not shard.waiting:
                to_reread.append(shard)
        self._dispatcher.dispatch(query, to_reread)

    def reread_mixed(self, query: Query) -> bool:
        """Read shards again whose answers do not fit together.

        Answers must have one index version and must not overlap, as they do
        when shards used different partition maps. Return whether any shard
        was sent again; after ``MAX_RESTARTS`` restarts none is.
        """
        if not self._may_restart(query):
            return False
        if len(query.answered_versions()) > 1:
            version = self.best_version(query)
            if version:
                self._restart(query, version)
                return True
        if query.has_overlapping_answers():
            self._reread_older_partitions(query)
            return True
        return False

    def _reread_older_partitions(self, query: Query) -> None:
        query.restarts += 1
        newest = query.newest_partition_revision()
        to_reread: list[ShardState] = []
        for shard in query.shards:
            answer = shard.answer
            if answer is None or answer.partition_revision == newest:
                continue
            query.reset_for_retry(shard)
            to_reread.append(shard)
        self._dispatcher.dispatch(query, to_reread)
