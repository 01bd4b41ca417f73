"""Decides how long and in which order parts wait for a free target.

Answers the load pattern in which a service has too little room: a caller that
is refused soon can still be served in time by another host, so a request that
has certainly not run is refused while the refusal is of use. The order among
the waiting requests is that of the host's line, if it has one.
"""

from collections.abc import Mapping

from oriolestage.admission._waiting_line import LineRefusal, Waiter
from oriolestage.routing._answers import GiveUpReason
from oriolestage.routing._parts import MIN_RETRY_AFTER_S, Part
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    PlacementResult,
    Shortage,
    ShortageCause,
)
from oriolestage.routing._progress import Progress
from oriolestage.routing._target_capacity import FULL_WAIT_S

#: Result for a part while a better request waits for its service.
NOT_ITS_TURN = NoCapacity(FULL_WAIT_S, Shortage(ShortageCause.LINE))
#: Result for a part that would take what other routes have reserved.
RESERVED = NoCapacity(FULL_WAIT_S, Shortage(ShortageCause.RESERVED))
#: Shortages that end when an attempt ends, at a time that is not known.
OPEN_ENDED = frozenset(
    (ShortageCause.OUTSTANDING, ShortageCause.RESERVED, ShortageCause.LINE)
)
#: Reasons for which parts that have not run are given up, for the metrics.
REFUSALS: Mapping[GiveUpReason, LineRefusal] = {  # noqa: WPS407
    GiveUpReason.NO_BUDGET: LineRefusal.NO_BUDGET,
    GiveUpReason.NO_TARGET: LineRefusal.NO_TARGET,
}


class CapacityWaits:
    """The waits of the parts of one request."""

    def __init__(
        self, progress: Progress, placement: Placement, waiter: Waiter | None
    ) -> None:
        """Create the waits of a request; it has no ``waiter`` without a line."""
        self._progress = progress
        self._placement = placement
        self._waiter = waiter
        #: Parts that wait, by service.
        self._waiting: dict[str, Part] = {}

    def may_try(self, part: Part, now: float) -> bool:
        """Return whether no better request waits for a part's service."""
        waiter = self._waiter
        return waiter is None or waiter.may_try(part.service, now)

    def allows_hedge(self, part: Part) -> bool:
        """Return whether a hedge takes no capacity that others wait for."""
        waiter = self._waiter
        return waiter is None or not waiter.others_wait(part.service)

    def keep_reserved(
        self, part: Part, placed: PlacementResult, now: float
    ) -> PlacementResult:
        """Return a choice, or that there is only room for other routes."""
        waiter = self._waiter
        if waiter is None or not isinstance(placed, ChosenTarget):
            return placed
        service = part.service
        if placed.relayed or not waiter.shares_room(service):
            return placed
        room = self._placement.room(part.request.requirements, now)
        if waiter.leaves_reserved(service, room.free, room.total, now):
            return placed
        return RESERVED

    def record_placed(self, part: Part, now: float) -> None:
        """Record that an attempt of a part is sent."""
        if self._waiter is not None:
            self._waiting.pop(part.service, None)
            self._waiter.record_placed(part.service, now)

    def give_up(self, part: Part, reason: GiveUpReason, now: float) -> None:
        """Make no further attempt of a part.

        If it has not run, its caller is told when to return.
        """
        if self._waiter is not None:
            self._waiting.pop(part.service, None)
            self._waiter.leave(part.service, now)
            if not part.may_have_run:
                part.retry_after_s = self._waiter.refuse(
                    part.service, REFUSALS.get(reason, LineRefusal.SHED), 0, now
                )
        part.give_up(reason)

    def wait(self, part: Part, shortage: NoCapacity, now: float) -> None:
        """Set when a part is placed again, or give it up."""
        part.shortage = shortage.shortage
        part.reason = GiveUpReason.NO_ROOM
        if self._waiter is not None:
            self._wait_in_line(part, shortage, self._waiter, now)
            return
        part.retry_after_s = max(MIN_RETRY_AFTER_S, shortage.wait_s)
        part.next_placement_at = now + shortage.wait_s
        if part.next_placement_at >= self.wait_until(part, now):
            part.give_up()

    def take_woken(self, now: float) -> list[Part]:
        """Return the parts that are to be placed now because it is their turn."""
        if self._waiter is None:
            return []
        woken: list[Part] = []
        for service in self._waiter.take_woken():
            part = self._waiting.get(service)
            if part is not None:
                part.next_placement_at = now
                woken.append(part)
        return woken

    def is_turned_away(self, part: Part) -> bool:
        """Return whether the targets of a part have no room for it."""
        if part.shed_count:
            return True
        shortage = part.shortage
        return shortage is not None and shortage.cause not in OPEN_ENDED

    def refuse_waiting(self, now: float) -> None:
        """Give up the parts that still wait when the request is refused."""
        if self._waiter is None:
            return
        for service, part in self._waiting.items():
            part.retry_after_s = self._waiter.refuse(
                service, LineRefusal.WAITED, 0, now
            )
        self._waiting.clear()

    def wait_until(self, part: Part, now: float) -> float:
        """Return the time until which a part may wait for a free target.

        A part that may have run can no longer be refused as not run and waits
        until the deadline. The only part of a request is refused in time if
        that is still possible.
        """
        times = self._progress.times
        if part.may_have_run:
            return times.deadline
        part.no_capacity_since = min(part.no_capacity_since, now)
        until = min(part.no_capacity_since + times.wait_s, times.deadline)
        if self._progress.single and part.no_capacity_since < times.refuse_by:
            return min(until, times.refuse_by)
        return until

    def _wait_in_line(
        self, part: Part, shortage: NoCapacity, waiter: Waiter, now: float
    ) -> None:
        """Wait in line, or leave it if the turn would come too late.

        Only the first request of a kind looks for a free target by itself;
        the others are woken.
        """
        service = part.service
        until = self.wait_until(part, now)
        cause = shortage.shortage.cause
        in_turn = cause != ShortageCause.LINE
        if in_turn:
            waiter.record_shortage(service, shortage.wait_s, now)
        known_s = 0 if cause in OPEN_ENDED else shortage.wait_s
        expected_s = waiter.expected_wait_s(service, known_s)
        if now + expected_s >= until:
            waited = now >= until
            part.retry_after_s = waiter.refuse(
                service,
                LineRefusal.WAITED if waited else LineRefusal.EXPECTED_WAIT,
                known_s,
                now,
            )
            self._waiting.pop(service, None)
            part.give_up()
            return
        self._waiting[service] = part
        part.next_placement_at = until
        if in_turn:
            part.next_placement_at = min(until, now + shortage.wait_s)
