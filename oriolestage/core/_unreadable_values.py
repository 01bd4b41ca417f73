"""Values in the store that this host cannot use.

A value that cannot be decoded or applied is reported once, and its key is not
read again unchanged: a watch waits for a version that is newer than the bad
one.
"""

import dataclasses

import msgspec

from oriolestage.core._effects import Outbox
from oriolestage.core._timers import Timers

#: Number of keys that are remembered; the oldest is dropped.
MAX_UNREADABLE_KEYS = 256


class UnreadableValue(msgspec.Struct, frozen=True):
    """A value in the store that this host cannot use."""

    key: str
    #: Version of the key that holds the value.
    version: int
    why: str
    #: Time for which the value could not be used, in seconds.
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    version: int
    why: str
    since: float


class UnreadableValues:
    """Remembers, logs and counts the values that this host cannot use."""

    def __init__(self, outbox: Outbox, timers: Timers) -> None:
        """Start without such values."""
        self._outbox = outbox
        self._timers = timers
        self._entries: dict[str, _Entry] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Number of values reported since the start."""
        return self._total

    @property
    def current(self) -> tuple[UnreadableValue, ...]:
        """The values that cannot be used now, the oldest first."""
        return tuple(
            UnreadableValue(
                key,
                entry.version,
                entry.why,
                self._timers.now - entry.since,
            )
            for key, entry in self._entries.items()
        )

    def version(self, key: str) -> int:
        """Return the version of a key whose value is bad, or 0."""
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def report(self, key: str, version: int, why: str) -> None:
        """Record a bad value; log it if this version is new."""
        known = self._entries.get(key)
        if known is not None and known.version == version:
            return
        since = known.since if known else self._timers.now
        self._entries[key] = _Entry(version, why, since)
        if len(self._entries) > MAX_UNREADABLE_KEYS:
            self._entries.pop(next(iter(self._entries)))
        self._total += 1
        self._outbox.log(
            'store_value_unreadable',
            step='store.decode',
            key=key,
            version=version,
            error=why,
        )

    def clear(self, key: str) -> None:
        """Forget a key, since its value could be used."""
        if self._entries.pop(key, None) is not None:
            self._outbox.log(
                'store_value_readable', step='store.decode', key=key
            )
