"""The core's side of calls to the platform's store."""

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
from oriolestage.core.configuration._freshness import Freshness


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFound:
    """A key was read."""

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
    """A write was refused because the key has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """A call got no answer."""

    #: False when the call certainly never reached the store.
    sent: bool


StoreOutcome = (
    StoreFound | StoreMissing | StoreWritten | StoreMismatch | StoreUnreachable
)
StoreCallback = Callable[[StoreOutcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    sent_at: float
    callback: StoreCallback
    #: True when an answer shows that the configuration is current.
    confirms_freshness: bool


class StorePort:
    """Matches outcomes of store calls to their callers within the core."""

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
        self._pending: dict[int, _Pending] = {}
        self._last_operation = 0

    def read(self, key: str, callback: StoreCallback) -> None:
        """Read a key."""
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
        """Write a key if its version is ``expected``; 0 means absent."""
        operation = self._begin(callback, confirms_freshness=False)
        self._outbox.add(
            StoreWrite(operation, key, expected, content, ttl_s),
        )

    def watch(self, key: str, after: int, callback: StoreCallback) -> None:
        """Wait until the version of a key exceeds ``after``."""
        operation = self._begin(callback, confirms_freshness=True)
        self._outbox.add(StoreWatch(operation, key, after))

    def read_host_list(self, callback: StoreCallback) -> None:
        """Read the platform's list of hosts."""
        operation = self._begin(callback, confirms_freshness=False)
        self._outbox.add(ReadHostList(operation))

    def on_outcome(self, operation: int, outcome: StoreOutcome) -> None:
        """Hand the outcome of a call to whoever made it."""
        pending = self._pending.pop(operation, None)
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
        self._pending[self._last_operation] = _Pending(
            self._timers.now,
            callback,
            confirms_freshness,
        )
        return self._last_operation
