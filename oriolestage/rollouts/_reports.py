"""Decides which counters of this host are written to the store."""

import operator
from collections.abc import Iterable

from oriolestage.rollouts._book import RolloutBook
from oriolestage.rollouts._orders import HostEvidence

#: Interval of reports without new responses of the new version, in seconds.
OLD_REPORT_S = 2.0


class RolloutReports:
    """Returns the counters that others have to know."""

    def __init__(self, book: RolloutBook) -> None:
        """Report on the roll-outs of a book."""
        self._book = book

    def due(self, now: float, limit: int) -> list[HostEvidence]:
        """Return the counters that have to be written.

        At most ``limit`` are returned, those that have waited longest.
        """
        due: list[tuple[float, HostEvidence]] = []
        for rollout in self._book.rollouts():
            if not rollout.active:
                continue
            self._book.count_own(rollout, now)
            report = self._book.own.unwritten(
                rollout.service,
                new_only=now - rollout.reported_at < OLD_REPORT_S,
            )
            if report is not None:
                due.append((rollout.reported_at, report))
        due.sort(key=operator.itemgetter(0))
        return [report for _, report in due[:limit]]

    def record_written(
        self, reports: Iterable[HostEvidence], now: float
    ) -> None:
        """Record that counters were written."""
        for report in reports:
            self._book.own.record_written(report)
            rollout = self._book.find(report.service)
            if rollout is not None:
                rollout.reported_at = now
