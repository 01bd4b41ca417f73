"""The durable journal of claimed idempotency keys, one for each key slice.

A claim is granted only after a compare-and-swap of the slice's head in the
store has succeeded. A former owner that was paused therefore cannot grant a
key: its next write fails. Claims that arrive within a few milliseconds share
one write: group commit, as in "Materialize Transactional Consistency". Its
rule also holds here: a state change is durable before any response that
depends on it.

When a head is full, its claims move to a segment that is never changed. When
a write gets no reply, the journal is read again to find which claims it holds.
"""

import dataclasses
import math
from collections.abc import Callable

import msgspec

from oriolestage.core._effects import Outbox
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import (
    StoreMismatch,
    StoreOutcome,
    StorePort,
    StoreWritten,
)
from oriolestage.core._timers import Timers
from oriolestage.core.keys._claim_table import ClaimTable
from oriolestage.core.keys._claims import (
    Claim,
    ClaimCallback,
    ClaimExpired,
    ClaimGranted,
    ClaimOutcome,
    ClaimTaken,
    ClaimUnconfirmed,
    JournalHead,
)
from oriolestage.core.keys._journal_reader import (
    JournalContent,
    JournalOutcome,
    JournalReader,
    JournalUnreachable,
)

#: Maximum number of claims that one write adds.
BATCH_LIMIT = 2000
#: Maximum number of rereads of the journal after store calls without a reply.
#: After that, all waiting claims fail.
MAX_REREADS = 8
#: Delay before each of these rereads, in seconds.
REREAD_DELAY_S = 0.1
#: Time for which all claims fail after a value of the journal could not be
#: decoded, in seconds; it is read again after that.
UNREADABLE_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingClaim:
    claim: Claim
    callback: ClaimCallback


class KeyJournal:
    """Claims idempotency keys of one slice in the store."""

    def __init__(
        self,
        key_slice: int,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        wall_ms: Callable[[], int],
    ) -> None:
        """Start without reading the store; the first claim loads the journal.

        ``wall_ms`` returns the time in milliseconds since the epoch.
        """
        self._head_key = f'keys/{key_slice:03d}/head'
        self._segment_prefix = f'keys/{key_slice:03d}/segment'
        self._parameters = parameters
        self._kept_s = parameters.key_retention_s + parameters.clock_skew_s
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._wall_ms = wall_ms
        self._version = 0
        self._head = JournalHead()
        self._claims = ClaimTable()
        self._loaded = False
        self._busy = False
        self._queued: list[_PendingClaim] = []
        self._writing: list[_PendingClaim] = []
        self._reread_count = 0
        self._next_write_at: float = 0
        self._paused_until: float = 0
        self._reader = JournalReader(self._head_key, outbox, store)

    def claim(self, claim: Claim, callback: ClaimCallback) -> None:
        """Queue a claim; ``callback`` is called once with its outcome."""
        if self._timers.now < self._paused_until:
            callback(ClaimUnconfirmed())
            return
        self._queued.append(_PendingClaim(claim, callback))
        self._process_queue()

    def _process_queue(self) -> None:
        if self._busy or not self._queued:
            return
        self._busy = True
        if not self._loaded:
            self._reader.read(self._on_loaded)
            return
        wait_s = self._next_write_at - self._timers.now
        if wait_s > 0:
            self._timers.call_after(wait_s, self._write_batch)
            return
        self._write_batch()

    def _on_loaded(self, outcome: JournalOutcome) -> None:
        match outcome:
            case JournalContent():
                self._adopt(outcome)
            case JournalUnreachable():
                self._fail_all()
            case _:
                self._pause()

    def _adopt(self, content: JournalContent) -> None:
        self._version = content.version
        self._head = content.head
        self._claims.load(content)
        self._loaded = True
        self._busy = False
        self._resolve_unconfirmed()
        self._process_queue()

    def _pause(self) -> None:
        """Fail all claims until the journal may have been repaired.

        Without its whole journal, a key could be granted twice.
        """
        self._paused_until = self._timers.now + UNREADABLE_PAUSE_S
        self._fail_all()

    def _resolve_unconfirmed(self) -> None:
        """Resolve claims whose write had no reply, after the journal is reread.

        Claims that the journal does not hold are queued again.
        """
        unconfirmed = self._writing
        self._writing = []
        for pending in unconfirmed:
            found = self._claims.get(pending.claim.key)
            if found is None:
                self._queued.append(pending)
            elif found == pending.claim:
                self._resolve(pending, ClaimGranted())
            else:
                self._resolve(pending, ClaimTaken(found))

    def _write_batch(self) -> None:
        batch: list[_PendingClaim] = []
        new_claims: dict[str, Claim] = {}
        selected = self._queued[:BATCH_LIMIT]
        self._queued = self._queued[BATCH_LIMIT:]
        oldest_valid_ms = self._oldest_valid_ms()
        for pending in selected:
            if pending.claim.created_ms < oldest_valid_ms:
                # An earlier claim of the key may be forgotten.
                self._resolve(pending, ClaimExpired())
                continue
            key = pending.claim.key
            existing = self._claims.get(key) or new_claims.get(key)
            if existing is not None:
                self._resolve(pending, ClaimTaken(existing))
                continue
            new_claims[key] = pending.claim
            batch.append(pending)
        if not batch:
            self._busy = False
            self._process_queue()
            return
        self._writing = batch
        full = len(self._head.claims) >= self._parameters.journal_head_claims
        if full:
            self._seal()
            return
        self._write_head(self._head)

    def _write_head(self, base: JournalHead) -> None:
        claims = tuple(pending.claim for pending in self._writing)
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
                self._grant_batch()
            case StoreMismatch():
                self._reload()
            case _:
                self._reread_later()

    def _grant_batch(self) -> None:
        granted = self._writing
        self._writing = []
        self._reread_count = 0
        self._busy = False
        self._claims.add([pending.claim for pending in granted])
        for pending in granted:
            self._resolve(pending, ClaimGranted())
        self._claims.evict(self._oldest_kept_ms())
        self._process_queue()

    def _reread_later(self) -> None:
        self._reread_count += 1
        if self._reread_count > MAX_REREADS:
            self._fail_all()
            return
        self._timers.call_after(REREAD_DELAY_S, self._reload)

    def _reload(self) -> None:
        self._loaded = False
        self._reader.read(self._on_reread)

    def _on_reread(self, outcome: JournalOutcome) -> None:
        if isinstance(outcome, JournalUnreachable):
            self._reread_later()
            return
        self._on_loaded(outcome)

    def _seal(self) -> None:
        """Write the claims of the full head to a new segment."""
        name = f'{self._segment_prefix}/{self._version:012d}'
        self._store.write(
            name,
            0,
            msgspec.msgpack.encode(self._head.claims),
            lambda outcome: self._on_sealed(outcome, name),
            ttl_s=math.ceil(2 * self._kept_s),
        )

    def _on_sealed(self, outcome: StoreOutcome, name: str) -> None:
        # A mismatch means that an earlier write of this segment succeeded:
        # its name contains the version of the head, which is unique.
        if isinstance(outcome, StoreWritten | StoreMismatch):
            self._claims.add_segment(name, self._head.claims)
            segments = self._claims.keep_segments(
                (*self._head.segments, name), self._oldest_kept_ms()
            )
            self._write_head(JournalHead((), segments))
            return
        self._reread_later()

    def _oldest_valid_ms(self) -> int:
        """Return the creation time of the oldest key that may be granted.

        It is in milliseconds since the epoch.
        """
        retention_ms = int(1000 * self._parameters.key_retention_s)
        return self._wall_ms() - retention_ms

    def _oldest_kept_ms(self) -> int:
        """Return the creation time of the oldest key whose claim is kept.

        It is in milliseconds since the epoch. The clocks of owners differ, so
        claims are kept for longer than their keys are valid.
        """
        return self._wall_ms() - int(1000 * self._kept_s)

    def _fail_all(self) -> None:
        failed = [*self._writing, *self._queued]
        self._writing = []
        self._queued = []
        self._reread_count = 0
        self._loaded = False
        self._busy = False
        for pending in failed:
            self._resolve(pending, ClaimUnconfirmed())

    def _resolve(self, pending: _PendingClaim, outcome: ClaimOutcome) -> None:
        """Report the outcome of a claim; an error affects only this claim."""
        self._outbox.run_safely('keys.claim', pending.callback, outcome)
