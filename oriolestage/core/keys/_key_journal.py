"""The durable journal of idempotency keys, one for each slice of the keys.

A claim counts only once a compare-and-swap on the slice's head took effect,
so a paused former keeper cannot grant anything: its next write fails. All
claims of a few milliseconds share one write, which is the group commit of
"Materialize Transactional Consistency", with its rule that a transition is
durable before any response that depends on it.
"""

import dataclasses
from collections.abc import Callable

import msgspec

from oriolestage.core._effects import Outbox
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import (
    StoreFound,
    StoreMismatch,
    StoreMissing,
    StoreOutcome,
    StorePort,
    StoreWritten,
)
from oriolestage.core._timers import Timers
from oriolestage.core.keys._claims import (
    Claim,
    ClaimCallback,
    ClaimGranted,
    ClaimTaken,
    ClaimUnconfirmed,
    JournalHead,
    decode_claims,
)

#: Time that a key outlives its retention, for clocks that differ, seconds.
CLOCK_SKEW_S = 60.0
#: Claims that one write carries at most.
BATCH_LIMIT = 2000
#: Times that a write without a reply is looked up before it is given up.
MAX_REREADS = 8
#: Time between two of these attempts, in seconds.
REREAD_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    claim: Claim
    callback: ClaimCallback


class KeyJournal:
    """Claims keys of one slice in the store."""

    def __init__(
        self,
        key_slice: int,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        wall_ms: Callable[[], int],
    ) -> None:
        """Start unloaded; ``wall_ms`` gives the time since the epoch."""
        self._head_key = f'keys/{key_slice:03d}/head'
        self._segment_prefix = f'keys/{key_slice:03d}/segment'
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._wall_ms = wall_ms
        self._version = 0
        self._head = JournalHead()
        self._known: dict[str, Claim] = {}
        self._loaded = False
        self._busy = False
        self._queue: list[_Waiting] = []
        self._writing: list[_Waiting] = []
        self._settle_attempts = 0
        self._next_write_at: float = 0

    def claim(self, claim: Claim, callback: ClaimCallback) -> None:
        """Try to claim a key; the callback gets exactly one outcome."""
        self._queue.append(_Waiting(claim, callback))
        self._proceed()

    def _proceed(self) -> None:
        if self._busy or not self._queue:
            return
        self._busy = True
        if not self._loaded:
            self._store.read(self._head_key, self._on_head)
            return
        wait_s = self._next_write_at - self._timers.now
        if wait_s > 0:
            self._timers.call_after(wait_s, self._write_batch)
            return
        self._write_batch()

    def _on_head(self, outcome: StoreOutcome) -> None:
        match outcome:
            case StoreFound(content=content, version=version):
                self._version = version
                self._head = msgspec.msgpack.decode(content, type=JournalHead)
            case StoreMissing():
                self._version = 0
                self._head = JournalHead()
            case _:
                self._fail_all()
                return
        self._known = {claim.key: claim for claim in self._head.claims}
        self._load_segments(list(self._head.segments))

    def _load_segments(self, left: list[str]) -> None:
        if not left:
            self._on_loaded()
            return
        name = left.pop()
        self._store.read(
            name,
            lambda outcome: self._on_segment(outcome, left),
        )

    def _on_segment(self, outcome: StoreOutcome, left: list[str]) -> None:
        match outcome:
            case StoreFound(content=content):
                for claim in decode_claims(content):
                    self._known[claim.key] = claim
            case StoreMissing():
                # A segment disappears only after its retention.
                self._outbox.log(
                    'segment_expired',
                    step='keys.load',
                    key=self._head_key,
                )
            case _:
                self._fail_all()
                return
        self._load_segments(left)

    def _on_loaded(self) -> None:
        self._loaded = True
        self._busy = False
        self._settle_interrupted()
        self._proceed()

    def _settle_interrupted(self) -> None:
        """Settle claims whose write had no reply, now that it is known."""
        interrupted = self._writing
        self._writing = []
        for waiting in interrupted:
            found = self._known.get(waiting.claim.key)
            if found is None:
                self._queue.append(waiting)
            elif found == waiting.claim:
                waiting.callback(ClaimGranted())
            else:
                waiting.callback(ClaimTaken(found))

    def _write_batch(self) -> None:
        batch: list[_Waiting] = []
        fresh: dict[str, Claim] = {}
        waiting_now = self._queue[:BATCH_LIMIT]
        self._queue = self._queue[BATCH_LIMIT:]
        for waiting in waiting_now:
            key = waiting.claim.key
            taken = self._known.get(key) or fresh.get(key)
            if taken is not None:
                waiting.callback(ClaimTaken(taken))
                continue
            fresh[key] = waiting.claim
            batch.append(waiting)
        if not batch:
            self._busy = False
            self._proceed()
            return
        self._writing = batch
        full = len(self._head.claims) >= self._parameters.journal_head_claims
        if full:
            self._seal()
            return
        self._write_head(self._head)

    def _write_head(self, base: JournalHead) -> None:
        claims = tuple(waiting.claim for waiting in self._writing)
        head = JournalHead((*base.claims, *claims), base.segments)
        self._next_write_at = (
            self._timers.now + self._parameters.journal_period_s
        )
        self._store.write(
            self._head_key,
            self._version,
            msgspec.msgpack.encode(head),
            lambda outcome: self._on_written(outcome, head),
        )

    def _on_written(self, outcome: StoreOutcome, head: JournalHead) -> None:
        match outcome:
            case StoreWritten(version=version):
                self._version = version
                self._head = head
                self._grant_written()
            case StoreMismatch():
                self._reload()
            case _:
                self._settle_later()

    def _grant_written(self) -> None:
        granted = self._writing
        self._writing = []
        self._settle_attempts = 0
        self._busy = False
        for waiting in granted:
            self._known[waiting.claim.key] = waiting.claim
        for waiting in granted:
            waiting.callback(ClaimGranted())
        self._forget_expired()
        self._proceed()

    def _settle_later(self) -> None:
        self._settle_attempts += 1
        if self._settle_attempts > MAX_REREADS:
            self._fail_all()
            return
        self._timers.call_after(REREAD_DELAY_S, self._reload)

    def _reload(self) -> None:
        self._loaded = False
        self._store.read(self._head_key, self._on_reread)

    def _on_reread(self, outcome: StoreOutcome) -> None:
        if isinstance(outcome, StoreFound | StoreMissing):
            self._on_head(outcome)
            return
        self._settle_later()

    def _seal(self) -> None:
        """Move the claims of the head into a segment of their own."""
        name = f'{self._segment_prefix}/{self._version:012d}'
        retention_s = self._parameters.key_retention_s + CLOCK_SKEW_S
        self._store.write(
            name,
            0,
            msgspec.msgpack.encode(self._head.claims),
            lambda outcome: self._on_sealed(outcome, name),
            ttl_s=int(2 * retention_s),
        )

    def _on_sealed(self, outcome: StoreOutcome, name: str) -> None:
        # A mismatch means that an earlier try wrote this very segment: its
        # name holds the head's version, and only one head had that version.
        if isinstance(outcome, StoreWritten | StoreMismatch):
            segments = (*self._living_segments(), name)
            self._write_head(JournalHead((), segments))
            return
        self._settle_later()

    def _living_segments(self) -> tuple[str, ...]:
        kept_s = 2 * (self._parameters.key_retention_s + CLOCK_SKEW_S)
        shortest_s = (
            self._parameters.journal_period_s
            * self._parameters.journal_head_claims
        )
        most = max(1, int(kept_s / shortest_s))
        return self._head.segments[-most:]

    def _forget_expired(self) -> None:
        kept_ms = 1000 * (self._parameters.key_retention_s + CLOCK_SKEW_S)
        horizon = self._wall_ms() - kept_ms
        while self._known:
            oldest = next(iter(self._known.values()))
            if oldest.created_ms >= horizon:
                return
            self._known.pop(oldest.key)

    def _fail_all(self) -> None:
        failed = [*self._writing, *self._queue]
        self._writing = []
        self._queue = []
        self._settle_attempts = 0
        self._loaded = False
        self._busy = False
        for waiting in failed:
            waiting.callback(ClaimUnconfirmed())
