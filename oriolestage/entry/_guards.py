"""Bounds on what all connections of a host take, from its settings."""

import dataclasses
import functools

from oriolestage.admission._connection_bounds import connection_bounds
from oriolestage.admission._memory_budget import (
    Cause,
    MemoryBudget,
    budget_bytes,
)
from oriolestage.entry._caller_connections import UNGUARDED, ConnectionGuard
from oriolestage.entry._held_memory import HeldMemory
from oriolestage.entry._memory_release import release_memory
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._settings import EntrySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Guards:
    """The bounds for each address that a host serves."""

    memory: HeldMemory | None = None
    callers: ConnectionGuard = UNGUARDED
    hosts: ConnectionGuard = UNGUARDED
    #: For the readiness and the metrics address, each.
    control: ConnectionGuard = UNGUARDED

    def add_metrics(self, metrics: EntryMetrics) -> None:
        """Add what is held, by cause, and what was refused, by reason."""
        memory = self.memory
        if memory is None:
            return
        metrics.add_gauge(
            'memory_limit_bytes', lambda: memory.budget.limit_bytes
        )
        for cause in Cause:
            metrics.add_gauge(
                f'memory_{cause.name.lower()}_bytes',
                functools.partial(memory.budget.held_bytes, cause),
            )
        metrics.add_counts(
            'connections_refused',
            'Connections that were closed because of what they held.',
            'reason',
            lambda: memory.refusals,
        )


def build_guards(settings: EntrySettings) -> Guards:
    """Return the bounds; there are none without the machine's limits."""
    if settings.memory_bytes is None:
        return Guards()
    memory = HeldMemory(
        MemoryBudget(budget_bytes(settings.memory_bytes)),
        release=release_memory,
    )
    if settings.descriptors is None:
        guard = ConnectionGuard(memory)
        return Guards(memory, guard, guard, guard)
    bounds = connection_bounds(settings.descriptors)
    return Guards(
        memory,
        ConnectionGuard(memory, bounds.callers),
        ConnectionGuard(memory, bounds.hosts),
        ConnectionGuard(memory, bounds.control),
    )
