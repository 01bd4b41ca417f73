"""Applies the memory budget of the process to its connections."""

import asyncio
import dataclasses
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Protocol

from oriolestage._logging import log_event
from oriolestage.admission._memory_budget import (
    Cause,
    Claim,
    Holding,
    MemoryBudget,
    choose_closed,
)

#: Pause before the memory of connections that were closed is released, in
#: seconds.
RELEASE_DELAY_S = 0.25
#: Shortest time between two log lines on the state of the budget, in seconds.
LOG_INTERVAL_S = 1.0


class MemoryHolder(Protocol):
    """A connection for which bytes are held."""

    def refresh_share(self) -> Claim:
        """Bring the share up to date; return what the connection waits for."""

    def close_for_memory(self) -> None:
        """Close the connection, and refuse a request that has not run."""


@dataclasses.dataclass(slots=True)
class MemoryShare:
    """What is held for one connection, or for one purpose."""

    memory: 'HeldMemory'
    number: int
    #: None if the share cannot be given up.
    holder: MemoryHolder | None
    #: Bytes by cause.
    sizes: list[int] = dataclasses.field(
        default_factory=lambda: [0 for _ in Cause]
    )
    #: Monotonic time since which bytes are held, in seconds.
    since: float = 0
    is_open: bool = True
    #: Bytes that are released once the connection is closed, which was
    #: decided; None before that.
    given_up: int | None = None

    def set(self, cause: Cause, size_bytes: int) -> None:
        """Set the bytes that are held for a cause."""
        before = self.sizes[cause]
        if size_bytes == before or not self.is_open:
            return
        if self.given_up is not None:
            return
        self.sizes[cause] = size_bytes
        self.memory.budget.add(cause, size_bytes - before)

    def give_up(self) -> None:
        """Note that the connection is about to be closed."""
        self.given_up = sum(self.sizes)
        self.memory.budget.give_up(self.given_up)

    def close(self) -> None:
        """Release everything."""
        if not self.is_open:
            return
        self.is_open = False
        for cause in Cause:
            self.memory.budget.add(cause, -self.sizes[cause])
        if self.given_up is not None:
            self.memory.budget.give_up(-self.given_up)
        self.memory.forget(self)
        # The holder refers to the share, and to the bytes that it held.
        self.holder = None

    def holding(self, now: float) -> Holding | None:
        """Return what the choice needs; None if it cannot be given up."""
        if self.holder is None or self.given_up is not None:
            return None
        claim = self.holder.refresh_share()
        age_s = now - self.since
        return Holding(self.number, claim, sum(self.sizes), age_s)


class HeldMemory:
    """The shares of all connections in the budget of the process."""

    def __init__(
        self,
        budget: MemoryBudget,
        clock: Callable[[], float] = time.monotonic,
        release: Callable[[], None] | None = None,
    ) -> None:
        """Start without shares.

        ``release`` is called after connections were closed, to return what
        they held to the system.
        """
        self._release = release
        self._release_timer: asyncio.TimerHandle | None = None
        self._budget = budget
        self._clock = clock
        self._numbers = itertools.count(1)
        self._shares: dict[int, MemoryShare] = {}
        self._refusals: Counter[str] = Counter()
        self._logged_at = float('-inf')
        self._closed = 0

    @property
    def budget(self) -> MemoryBudget:
        """The budget of the process."""
        return self._budget

    @property
    def refusals(self) -> Counter[str]:
        """Number of connections that were closed or refused, by reason."""
        return self._refusals

    def open(self, holder: MemoryHolder | None) -> MemoryShare:
        """Return a new share; one without a holder cannot be given up."""
        share = MemoryShare(self, next(self._numbers), holder)
        share.since = self._clock()
        self._shares[share.number] = share
        return share

    def forget(self, share: MemoryShare) -> None:
        """Drop a share that was closed."""
        self._shares.pop(share.number, None)

    def admit(self) -> bool:
        """Return whether more may be taken in, after closing others for it."""
        self.relieve()
        return not self._budget.full

    def relieve(self) -> bool:
        """Close connections if the budget is exceeded.

        Return whether what is held is within the budget then.
        """
        if not self._budget.exceeded:
            return True
        now = self._clock()
        holdings = tuple(self._holdings(now))
        excess_bytes = self._budget.excess_bytes
        held_bytes = self._budget.total_bytes
        for chosen in choose_closed(holdings, excess_bytes):
            share = self._shares.get(chosen.number)
            if share is None or share.holder is None:
                continue
            if share.given_up is not None:
                # Refusing an earlier one called this method again.
                continue
            share.give_up()
            self.record_refusal('memory')
            self._closed += 1
            share.holder.close_for_memory()
        self._log(now, held_bytes)
        self._schedule_release()
        return not self._budget.exceeded

    def record_refusal(self, reason: str) -> None:
        """Count a connection that was closed or refused."""
        self._refusals[reason] += 1

    def _schedule_release(self) -> None:
        if self._release is None or self._release_timer is not None:
            return
        self._release_timer = asyncio.get_running_loop().call_later(
            RELEASE_DELAY_S, self._release_now
        )

    def _release_now(self) -> None:
        self._release_timer = None
        if self._release is not None:
            self._release()

    def _holdings(self, now: float) -> Iterator[Holding]:
        for share in tuple(self._shares.values()):
            holding = share.holding(now)
            if holding is not None:
                yield holding

    def _log(self, now: float, held_bytes: int) -> None:
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        log_event(
            'memory_short',
            {
                'step': 'memory',
                'held_bytes': held_bytes,
                'left_bytes': self._budget.total_bytes,
                'limit_bytes': self._budget.limit_bytes,
                'closed': self._closed,
                'connections': len(self._shares),
            },
        )
        self._closed = 0
