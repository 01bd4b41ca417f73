"""Asynchronous calls to the platform's key-value store.

Each call becomes an effect with an operation number; the embedder reports the
outcome under that number.
"""

import dataclasses
from collections.abc import Callable

from oriolestage.core._effects import (
    Outbox,
    ReadHostList,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from oriolestage.core._timers import Timers
from oriolestage.core._unreadable_values import UnreadableValues
from oriolestage.core.configuration._freshness import Freshness


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFound:
    """A read or watch returned the value of a key."""

    content: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreMissing:
    """A key does not exist, or a watch ended without a change."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWritten:
    """A write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreMismatch:
    """A conditional write failed because the key has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """A call failed without an answer from the store."""

    #: False only if the request certainly did not reach the store.
    sent: bool


StoreOutcome = (
    StoreFound | StoreMissing | StoreWritten | StoreMismatch | StoreUnreachable
)
StoreCallback = Callable[[StoreOutcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingCall:
    sent_at: float
    callback: StoreCallback
    #: True when an answer confirms that the configuration is current.
    confirms_freshness: bool


class StorePort:
    """Issues store calls and passes each outcome to its callback."""

    def __init__(
        self,
        outbox: Outbox,
        timers: Timers,
        freshness: Freshness,
    ) -> None:
        """Start without calls in flight."""
        self._outbox = outbox
        self._timers = timers
        self._freshness = freshness
        self._pending_calls: dict[int, _PendingCall] = {}
        self._last_operation = 0
        self._unreadable = UnreadableValues(outbox, timers)

    @property
    def freshness(self) -> Freshness:
        """The confirmations that the configuration is current."""
        return self._freshness

    @property
    def unreadable(self) -> UnreadableValues:
        """The values that were read and cannot be used."""
        return self._unreadable

    def read(self, key: str, callback: StoreCallback) -> None:
        """Read a key; ``callback`` is called with the outcome."""
        operation = self._begin(callback, confirms_freshness=False)
        self._outbox.add(StoreRead(operation, key))

    def write(
        self,
        key: str,
        expected: int,
        content: bytes,
        callback: StoreCallback,
        ttl_s: int = 0,
    ) -> None:
        """Write a key if its version is ``expected``; 0 means absent.

        The store drops the key after ``ttl_s`` seconds; 0 keeps it.
        """
        operation = self._begin(callback, confirms_freshness=False)
        self._outbox.add(
            StoreWrite(operation, key, expected, content, ttl_s),
        )

    def watch(self, key: str, after: int, callback: StoreCallback) -> None:
        """Wait until the version of a key exceeds ``after``, or a timeout.

        Any answer renews the freshness of the configuration.
        """
        operation = self._begin(callback, confirms_freshness=True)
        self._outbox.add(StoreWatch(operation, key, after))

    def read_host_list(self, callback: StoreCallback) -> None:
        """Read the platform's list of hosts."""
        operation = self._begin(callback, confirms_freshness=False)
        self._outbox.add(ReadHostList(operation))

    def on_outcome(self, operation: int, outcome: StoreOutcome) -> None:
        """Run the callback of a call; ignore unknown operations."""
        pending = self._pending_calls.pop(operation, None)
        if pending is None:
            return
        answered = not isinstance(outcome, StoreUnreachable)
        if answered and pending.confirms_freshness:
            self._freshness.record_store_read(pending.sent_at)
        pending.callback(outcome)

    def _begin(
        self, callback: StoreCallback, *, confirms_freshness: bool
    ) -> int:
        self._last_operation += 1
        self._pending_calls[self._last_operation] = _PendingCall(
            self._timers.now,
            callback,
            confirms_freshness,
        )
        return self._last_operation
