"""Divides the memory of a process among the connections it holds bytes for.

The load that this addresses: many clients at once that each make the process
hold as much as is legal, and keep it there. They send bodies that stop just
short of their end, requests ahead of the answers to earlier ones, and heads of
very many fields, or do not read their answers. Each of them is inside the
limits for one request.

Nothing is refused while the sum is within the budget. Beyond it, the
connections are closed that have held most for longest, first those that wait
for their client. Requests that run are never chosen, so a request inside the
limits is served unless such requests alone take the whole budget.
"""

import dataclasses
import enum
from collections.abc import Iterable

#: Memory that a process takes without any connection, in bytes. It is 47 MiB
#: after the start.
PROCESS_BYTES = 67_108_864
#: Part of the remaining memory that connections may take. The rest is for
#: copies of messages, fragmentation and what is freed late.
BUDGET_SHARE = 0.4
#: Smallest budget, in bytes: a few requests and one long answer.
MIN_BUDGET_BYTES = 16_777_216
#: Part of the budget to which the sum is reduced once it is exceeded, so that
#: a choice is made for many connections at once.
REDUCED_SHARE = 0.9
#: Part of the budget beyond which nothing more is taken in. What connections
#: hold that are about to be closed still counts towards it.
FULL_SHARE = 1.25
#: Age added to that of a holding, in seconds, so that the size alone decides
#: among those that have just begun.
MIN_AGE_S = 0.05


class Cause(enum.IntEnum):
    """Why a process holds bytes; an index into sums by cause."""

    #: A connection itself, and the head of the latest answered request.
    CONNECTION = 0
    #: Heads and bodies of requests that have not been answered.
    REQUEST = 1
    #: Answers that a client has not taken yet.
    ANSWER = 2
    #: Answers of targets that are not complete.
    TARGET_ANSWER = 3
    #: Messages of other hosts that are not complete.
    HOST_MESSAGE = 4


class Claim(enum.IntEnum):
    """What a connection waits for; those of lower claims are closed first."""

    #: The client has to send or to read.
    CLIENT = 0
    #: No request has begun since the last one was answered.
    IDLE = 1
    #: A request runs, and the client has sent more behind it.
    SENT_AHEAD = 2
    #: A request runs. Such a connection is not closed.
    RUNNING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What is held for one connection, as the choice needs it."""

    #: Number that identifies the connection.
    number: int
    claim: Claim
    size_bytes: int
    #: Time for which it has been held, in seconds.
    age_s: float


class MemoryBudget:
    """Sums up what is held, by cause, and says when it is too much."""

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget of which nothing is used."""
        self._limit_bytes = limit_bytes
        self._total = 0
        self._given_up = 0
        self._by_cause = [0 for _ in Cause]

    @property
    def limit_bytes(self) -> int:
        """Largest sum, in bytes."""
        return self._limit_bytes

    @property
    def total_bytes(self) -> int:
        """The sum, in bytes."""
        return self._total

    @property
    def exceeded(self) -> bool:
        """Whether more is held than the budget allows.

        What connections hold that are about to be closed is left out.
        """
        return self._total - self._given_up > self._limit_bytes

    def has_room(self, added_bytes: int) -> bool:
        """Return whether so many bytes more are within the budget."""
        return self._total + added_bytes <= self._limit_bytes

    @property
    def full(self) -> bool:
        """Whether nothing more may be taken in."""
        return self._total > self._limit_bytes * FULL_SHARE

    @property
    def excess_bytes(self) -> int:
        """Bytes to give up once the budget is exceeded."""
        kept_bytes = int(self._limit_bytes * REDUCED_SHARE)
        return self._total - self._given_up - kept_bytes

    def held_bytes(self, cause: Cause) -> int:
        """Return the bytes that are held for a cause."""
        return self._by_cause[cause]

    def add(self, cause: Cause, added_bytes: int) -> None:
        """Add bytes that are held from now on; a negative number releases."""
        self._by_cause[cause] += added_bytes
        self._total += added_bytes

    def give_up(self, held_bytes: int) -> None:
        """Note bytes of a connection that is about to be closed.

        A negative number notes that they are released.
        """
        self._given_up += held_bytes


def budget_bytes(memory_bytes: int) -> int:
    """Return the budget of a process on a machine with so much memory."""
    left = int((memory_bytes - PROCESS_BYTES) * BUDGET_SHARE)
    return max(MIN_BUDGET_BYTES, left)


def choose_closed(
    holdings: Iterable[Holding], excess_bytes: int
) -> list[Holding]:
    """Return the connections to close so that ``excess_bytes`` become free.

    They are fewer bytes if requests that run hold the rest.
    """
    candidates = [
        holding
        for holding in holdings
        if holding.claim != Claim.RUNNING and holding.size_bytes > 0
    ]
    candidates.sort(key=_rank)
    chosen: list[Holding] = []
    for holding in candidates:
        if excess_bytes <= 0:
            break
        excess_bytes -= holding.size_bytes
        chosen.append(holding)
    return chosen


def _rank(holding: Holding) -> tuple[Claim, float]:
    """Return the order in which a holding is given up."""
    return holding.claim, -holding.size_bytes * (holding.age_s + MIN_AGE_S)
