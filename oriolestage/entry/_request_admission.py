"""Admits callers' requests while the configuration has accounts."""

import time

from oriolestage.admission._fair_throttle import FairThrottle
from oriolestage.admission._waiting_line import (
    LineRefusal,
    Waiter,
    WaitingLine,
)
from oriolestage.admission._waiting_ranks import Rank
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.routing._answers import (
    Failed,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._rules import RouteRule
from oriolestage.routing._run_types import PartRequest, RunTimes

#: Reasons of requests for which the targets may have had no room.
NO_ROOM_REASONS = frozenset(
    (GiveUpReason.NO_ROOM, GiveUpReason.NO_BUDGET, GiveUpReason.SHED)
)


class AdmittedRequest:
    """A request that may be sent, with its place in the line."""

    def __init__(self, waiter: Waiter, throttle: FairThrottle) -> None:
        """Create a request whose result is told to ``throttle``."""
        self.waiter = waiter
        self._throttle = throttle

    def record_result(self, result: RequestResult, run: RequestRun) -> None:
        """Record whether the targets had room for the request.

        A request that this host's own limits left without a target says
        nothing about that.
        """
        lacks_room = _lacks_room(result)
        if lacks_room and not run.turned_away:
            return
        self._throttle.record_result(turned_away=lacks_room)

    def close(self) -> None:
        """Leave the line."""
        self.waiter.close(time.monotonic())


def admit_request(
    line: WaitingLine,
    request: CallerRequest,
    rule: RouteRule,
    parts: tuple[PartRequest, ...],
    times: RunTimes,
) -> AdmittedRequest | Refused:
    """Admit a request, or refuse it if its account sends too much."""
    now = time.monotonic()
    requirements = parts[0].requirements
    rank = _rank_request(request, rule, requirements.regions, times)
    destination = requirements.service if len(parts) == 1 else rule.name
    throttle = line.throttle(destination)
    if throttle.admits(rank, now):
        return AdmittedRequest(Waiter(line, rank), throttle)
    retry_after_s = throttle.return_after_s(now)
    line.record_refused(
        destination, LineRefusal.ABOVE_SHARE, retry_after_s, now
    )
    return Refused(GiveUpReason.OVERLOADED, retry_after_s)


def _rank_request(
    request: CallerRequest,
    rule: RouteRule,
    regions: frozenset[str],
    times: RunTimes,
) -> Rank:
    """Return the place of a request among those that wait for capacity."""
    account = request.account
    priority = rule.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return Rank(
        priority=priority,
        account='' if account is None else account.name,
        objective=times.objective,
        kind=(rule.name, regions),
    )


def _lacks_room(result: RequestResult) -> bool:
    """Return whether a request ended because it found no room."""
    if isinstance(result, Refused | Failed):
        return result.reason in NO_ROOM_REASONS
    return False
