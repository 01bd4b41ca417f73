"""Builders of test data for the admission package."""

import random

from oriolestage.admission._waiting_line import Waiter, WaitingLine
from oriolestage.admission._waiting_ranks import Rank


def make_rank(
    account: str = 'a',
    priority: int = 0,
    objective: float = 100.0,
    route: str = 'route',
    regions: tuple[str, ...] = (),
) -> Rank:
    """Return the rank of a request that any region may serve."""
    return Rank(priority, account, objective, (route, frozenset(regions)))


def make_line(seed: int = 1) -> WaitingLine:
    """Return a line that discards its log events."""
    return WaitingLine(random.Random(seed), lambda _: None)


def make_waiter(line: WaitingLine, rank: Rank | None = None) -> Waiter:
    """Return a request that waits for nothing yet."""
    return Waiter(line, rank or make_rank())
