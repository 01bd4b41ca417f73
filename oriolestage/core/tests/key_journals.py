"""A stream of idempotency keys, journals of several owners and their store."""

import dataclasses
import random
from collections import Counter

from oriolestage.core import (
    Outbox,
    Parameters,
    StoreFound,
    StoreMismatch,
    StoreMissing,
    StoreOutcome,
    StoreRead,
    StoreUnreachable,
    StoreWrite,
    StoreWritten,
)
from oriolestage.core._store_port import StorePort
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._freshness import Freshness
from oriolestage.core.keys._claims import (
    Claim,
    ClaimGranted,
    ClaimOutcome,
)
from oriolestage.core.keys._key_journal import KeyJournal

#: Wall-clock time at simulated time 0, in milliseconds since the epoch.
WALL_CLOCK_START_MS = 1_700_000_000_000
#: Range of the one-way latency of a store call, in seconds.
STORE_LATENCY_S = (0.0005, 0.004)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A value of the simulated store."""

    content: bytes
    version: int
    expires_at: float


class ExpiringStore:
    """A store that drops values after their time to live and loses replies."""

    def __init__(self, timers: Timers, randomness: random.Random) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}
        self.lost_share: float = 0
        self.reads: Counter[str] = Counter()
        self._timers = timers
        self._random = randomness

    def put(self, key: str, content: bytes) -> None:
        """Overwrite a value as another writer."""
        found = self._get(key)
        version = found.version if found else 0
        self.entries[key] = Entry(content, version + 1, float('inf'))

    def execute(self, effect: StoreRead | StoreWrite, port: StorePort) -> None:
        """Execute a call and pass its outcome to ``port``, after a delay."""
        self._later(lambda: self._apply(effect, port))

    def _apply(self, effect: StoreRead | StoreWrite, port: StorePort) -> None:
        if isinstance(effect, StoreRead):
            outcome = self._read(effect.key)
        else:
            outcome = self._write(effect)
        if self._random.random() < self.lost_share:
            outcome = StoreUnreachable(sent=True)
        self._later(lambda: port.on_outcome(effect.operation, outcome))

    def _read(self, key: str) -> StoreOutcome:
        self.reads[key] += 1
        found = self._get(key)
        if found is None:
            return StoreMissing()
        return StoreFound(found.content, found.version)

    def _write(self, effect: StoreWrite) -> StoreOutcome:
        found = self._get(effect.key)
        version = found.version if found else 0
        if version != effect.expected:
            return StoreMismatch()
        ttl_s = effect.ttl_s or float('inf')
        expires_at = self._timers.now + ttl_s
        entry = Entry(effect.content, version + 1, expires_at)
        self.entries[effect.key] = entry
        return StoreWritten(entry.version)

    def _get(self, key: str) -> Entry | None:
        entry = self.entries.get(key)
        if entry is None or entry.expires_at <= self._timers.now:
            return None
        return entry

    def _later(self, callback) -> None:
        delay_s = self._random.uniform(*STORE_LATENCY_S)
        self._timers.call_after(delay_s, callback)


class JournalRun:
    """Claims keys at journals of one slice and remembers every grant."""

    def __init__(self, parameters: Parameters, seed: int) -> None:
        """Start with one owner and an empty store."""
        self.parameters = parameters
        self.random = random.Random(seed)
        self.timers = Timers(0)
        self.outbox = Outbox()
        self.store = ExpiringStore(self.timers, self.random)
        self.port = StorePort(self.outbox, self.timers, Freshness(3))
        self.grants: Counter[str] = Counter()
        self.outcomes: list[ClaimOutcome] = []
        self.journal = self._build_journal()
        self._created: list[tuple[str, int]] = []
        self._oldest = 0
        self._holders = 0

    @property
    def granted_twice(self) -> list[str]:
        """The keys that were granted more than once."""
        return [key for key, count in self.grants.items() if count > 1]

    def change_owner(self) -> None:
        """Let a process without memory of the slice own it.

        Claims of the former owner that are in progress go on.
        """
        self.journal = self._build_journal()

    def claim_new(self) -> None:
        """Claim a key that was just made."""
        key = f'key-{len(self._created)}'
        self._created.append((key, self._wall_ms()))
        self.claim(*self._created[-1])

    def claim_again(self) -> None:
        """Claim a random key that is not older than the retention."""
        retention_ms = 1000 * self.parameters.key_retention_s
        kept_since = self._wall_ms() - retention_ms
        while self._created[self._oldest][1] < kept_since:
            self._oldest += 1
        index = self.random.randrange(self._oldest, len(self._created))
        self.claim(*self._created[index])

    def claim(self, key: str, created_ms: int) -> None:
        """Claim a key at the present owner."""
        self._holders += 1
        claim = Claim(key, 0, f'holder-{self._holders}', created_ms)
        self.journal.claim(claim, lambda outcome: self._count(key, outcome))

    def run_for(self, duration_s: float) -> None:
        """Let ``duration_s`` seconds pass."""
        end = self.timers.now + duration_s
        self._execute_effects()
        while self.timers.next_wakeup <= end:
            self.timers.advance(self.timers.next_wakeup)
            self.timers.run_due()
            self._execute_effects()
        self.timers.advance(end)

    def count_outcomes(self, kind: type[ClaimOutcome]) -> int:
        """Return the number of claims that ended with an outcome."""
        return sum(isinstance(outcome, kind) for outcome in self.outcomes)

    def _count(self, key: str, outcome: ClaimOutcome) -> None:
        self.outcomes.append(outcome)
        if isinstance(outcome, ClaimGranted):
            self.grants[key] += 1

    def _execute_effects(self) -> None:
        for effect in self.outbox.take():
            if isinstance(effect, StoreRead | StoreWrite):
                self.store.execute(effect, self.port)

    def _build_journal(self) -> KeyJournal:
        return KeyJournal(
            0,
            self.parameters,
            self.outbox,
            self.timers,
            self.port,
            self._wall_ms,
        )

    def _wall_ms(self) -> int:
        return WALL_CLOCK_START_MS + int(self.timers.now * 1000)
