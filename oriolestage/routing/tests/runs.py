"""Helpers that start request runs and filter their actions."""

import itertools

from oriolestage.admission._waiting_line import Waiter
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import TargetRequirements
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import RouteRule, ShardGroup
from oriolestage.routing._run_types import (
    Action,
    Finish,
    PartRequest,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing.tests.builders import (
    DELIVERY_MARGIN_S,
    make_budget,
    make_peers,
    make_placement,
)


def start_run(
    rule: RouteRule,
    records: tuple[TargetRecord, ...],
    bounds: BudgetBounds | None = None,
    known: Placement | None = None,
) -> tuple[RequestRun, list[Action]]:
    """Start a run at time 0 and return it with its first actions."""
    run = make_run(rule, records, 0, bounds, known)
    return run, run.start(0)


def make_run(
    rule: RouteRule,
    records: tuple[TargetRecord, ...],
    started: float,
    bounds: BudgetBounds | None = None,
    known: Placement | None = None,
    delivery_margin_s: float = DELIVERY_MARGIN_S,
    peers: PeerDirectory | None = None,
    times: RunTimes | None = None,
    waiter: Waiter | None = None,
) -> RequestRun:
    """Return a run that arrives at the monotonic time ``started``."""
    placement = known or make_placement('dc-a', records)[0]
    names: tuple[str, ...] = ('shard-0',)
    if isinstance(rule.destination, ShardGroup):
        names = rule.destination.services
    numbers = itertools.count(1)
    return RequestRun(
        rule=rule,
        parts=tuple(
            PartRequest(
                TargetRequirements(name, rule.name),
                make_budget(bounds, started - 60),
            )
            for name in names
        ),
        times=times
        or RunTimes(
            started,
            started + rule.objective_s,
            started + rule.timeout_s,
            delivery_margin_s,
        ),
        placement=placement,
        peers=peers or make_peers(placement.location),
        next_attempt=lambda: next(numbers),
        waiter=waiter,
    )


def attempts_in(actions: list[Action]) -> list[SendAttempt]:
    """Return the direct attempts among the actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def batches_in(actions: list[Action]) -> list[SendBatch]:
    """Return the batches among the actions."""
    return [action for action in actions if isinstance(action, SendBatch)]


def result_in(actions: list[Action]) -> object:
    """Return the result among the actions; None if there is none."""
    for action in actions:
        if isinstance(action, Finish):
            return action.result
    return None
