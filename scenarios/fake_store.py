"""Simulated key-value store and host list of the platform."""

import dataclasses
from collections.abc import Callable

from oriolestage.core import (
    ReadHostList,
    StoreFound,
    StoreMismatch,
    StoreMissing,
    StoreOutcome,
    StoreRead,
    StoreUnreachable,
    StoreWatch,
    StoreWrite,
    StoreWritten,
)
from scenarios.steps import StoreFault

#: One-way latency of a call, in seconds.
STORE_LATENCY_S = 0.001
#: Client timeout of a call, in seconds.
STORE_TIMEOUT_S = 1.0
#: Longest wait of a watch for a change, in seconds.
WATCH_WAIT_S = 1.0

StoreEffect = StoreRead | StoreWrite | StoreWatch | ReadHostList
Reply = Callable[[StoreOutcome], None]
CallLater = Callable[[float, Callable[[], None]], None]


@dataclasses.dataclass(slots=True)
class _Entry:
    content: bytes
    version: int


@dataclasses.dataclass(slots=True)
class _Watch:
    key: str
    after: int
    reply: Reply
    ended: bool = False


class FakeStore:
    """Versioned key-value store with watches and injected faults."""

    #: When true, writes of idempotency keys are confirmed but not stored.
    #: Switches the mechanism ``journal`` off.
    forgets_keys = False
    #: When true, writes replace a value of any version. Switches the
    #: mechanism ``compare_and_swap`` off.
    overwrites = False

    def __init__(self, call_later: CallLater) -> None:
        """Create an empty store that schedules replies by ``call_later``."""
        self.fault = StoreFault()
        self.host_list = b'{"hosts": []}'
        self.calls = 0
        self._call_later = call_later
        self._entries: dict[str, _Entry] = {}
        self._watches: list[_Watch] = []
        self._replies_to_lose = 0

    def apply_fault(self, fault: StoreFault) -> None:
        """Replace the faults of the store."""
        self.fault = fault
        self._replies_to_lose = fault.lose_replies

    def call(self, effect: StoreEffect, *, cut: bool, reply: Reply) -> None:
        """Execute a call and pass its outcome to ``reply``, after a delay.

        With ``cut`` the call does not reach the store and times out.
        """
        self.calls += 1
        if cut:
            lost = StoreUnreachable(sent=False)
            self._call_later(STORE_TIMEOUT_S, lambda: reply(lost))
            return
        delay_s = STORE_LATENCY_S + self.fault.slow_s
        if delay_s > STORE_TIMEOUT_S:
            self._call_later(
                delay_s, lambda: self._execute(effect, _discard_outcome)
            )
            timeout = StoreUnreachable(sent=True)
            self._call_later(STORE_TIMEOUT_S, lambda: reply(timeout))
            return
        self._call_later(delay_s, lambda: self._execute(effect, reply))

    def _execute(self, effect: StoreEffect, reply: Reply) -> None:
        if self.fault.down:
            reply(StoreUnreachable(sent=False))
            return
        match effect:
            case StoreRead(key=key):
                self._reply_later(reply, self._read(key))
            case StoreWatch(key=key, after=after):
                self._add_watch(_Watch(key, after, reply))
            case StoreWrite():
                self._write(effect, reply)
            case ReadHostList():
                self._reply_later(reply, StoreFound(self.host_list, 1))

    def _read(self, key: str, after: int = -1) -> StoreOutcome:
        entry = self._entries.get(key)
        if entry is None or entry.version <= after:
            return StoreMissing()
        return StoreFound(entry.content, entry.version)

    def _write(self, effect: StoreWrite, reply: Reply) -> None:
        if self.forgets_keys and effect.key.startswith('keys/'):
            self._reply_later(reply, StoreWritten(effect.expected + 1))
            return
        stored = self._entries.get(effect.key)
        version = stored.version if stored else 0
        if version != effect.expected and not self.overwrites:
            self._reply_later(reply, StoreMismatch())
            return
        self._entries[effect.key] = _Entry(effect.content, version + 1)
        self._notify(effect.key)
        if self._replies_to_lose:
            self._replies_to_lose -= 1
            self._reply_later(reply, StoreUnreachable(sent=True))
            return
        self._reply_later(reply, StoreWritten(version + 1))

    def _add_watch(self, watch: _Watch) -> None:
        self._watches.append(watch)
        self._call_later(WATCH_WAIT_S, lambda: self._end_watch(watch))
        self._notify(watch.key)

    def _notify(self, key: str) -> None:
        for watch in tuple(self._watches):
            found = self._read(watch.key, watch.after)
            if watch.key == key and isinstance(found, StoreFound):
                self._end_watch(watch)

    def _end_watch(self, watch: _Watch) -> None:
        if watch.ended:
            return
        watch.ended = True
        self._watches.remove(watch)
        if self.fault.down:
            self._reply_later(watch.reply, StoreUnreachable(sent=True))
            return
        self._reply_later(watch.reply, self._read(watch.key, watch.after))

    def _reply_later(self, reply: Reply, outcome: StoreOutcome) -> None:
        delay_s = STORE_LATENCY_S + self.fault.slow_s
        self._call_later(delay_s, lambda: reply(outcome))


def _discard_outcome(outcome: StoreOutcome) -> None:
    """Drop the outcome of a call that timed out at its client."""
