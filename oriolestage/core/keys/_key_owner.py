"""Grants each idempotency key once, and repeats known outcomes."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable

import xxhash

from oriolestage.core._effects import Outbox
from oriolestage.core._messages import ClaimReply, ClaimRequest, ClaimResult
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import StorePort
from oriolestage.core._timers import Timers
from oriolestage.core.keys._claims import (
    Claim,
    ClaimGranted,
    ClaimOutcome,
    ClaimTaken,
    ClaimUnconfirmed,
)
from oriolestage.core.keys._idempotency_keys import key_created_ms
from oriolestage.core.keys._key_journal import KeyJournal
from oriolestage.core.queries._outcomes import (
    CallerOutcome,
    CommandAnswer,
    MayHaveRun,
    NotRun,
    Reason,
)
from oriolestage.core.targets._ownership import OwnershipView, PeerPort

#: Outcomes kept in memory to answer repeated requests.
MAX_CACHED_OUTCOMES = 20_000
#: Suggested wait while the store is out of reach, in milliseconds.
STORE_RETRY_MS = 1000
#: Suggested wait when another host keeps the key, in milliseconds.
OWNER_RETRY_MS = 20
#: Time kept back for the way home of a reply, in seconds.
REPLY_MARGIN_S = 0.005


@dataclasses.dataclass(slots=True)
class _Run:
    """One key that this process granted."""

    fingerprint: int
    outcome: CallerOutcome | None = None
    #: True when the run is known not to have happened.
    free: bool = False
    waiters: list[ClaimRequest] = dataclasses.field(default_factory=list)


def slice_of_key(key: str, slices: int) -> int:
    """Give the slice that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slices


class KeyOwner:
    """Keeps the slices of keys that rendezvous hashing gives this host."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        ownership: OwnershipView,
        peers: PeerPort,
        incarnation: int,
        wall_ms: Callable[[], int],
    ) -> None:
        """Start without keys."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._ownership = ownership
        self._peers = peers
        self._incarnation = incarnation
        self._wall_ms = wall_ms
        self._journals: dict[int, KeyJournal] = {}
        self._runs: OrderedDict[str, _Run] = OrderedDict()
        #: Requests for a key whose claim is being written.
        self._pending: dict[str, list[ClaimRequest]] = {}
        #: Claims that may be in the journal and were never granted.
        self._ungranted: set[str] = set()
        self._claims = 0

    def on_claim(self, request: ClaimRequest) -> None:
        """Grant a key, repeat its outcome, or refuse."""
        key_slice = slice_of_key(request.key, self._parameters.key_slices)
        if self._ownership.keeper_of(key_slice) != self._peers.me:
            self._refuse(request, Reason.NOT_OWNER, OWNER_RETRY_MS)
            return
        if self._is_expired(request):
            self._refuse(request, Reason.KEY_EXPIRED, 0)
            return
        run = self._runs.get(request.key)
        if run is not None:
            self._on_known(request, run)
            return
        waiters = self._pending.get(request.key)
        if waiters is not None:
            waiters.append(request)
            return
        self._pending[request.key] = []
        self._claims += 1
        claim = Claim(
            request.key,
            request.fingerprint,
            f'{self._peers.me}/{self._incarnation}/{self._claims}',
            request.created_ms,
        )
        self._journal(key_slice).claim(
            claim,
            lambda outcome: self._on_claimed(request, claim, outcome),
        )

    def on_result(self, result: ClaimResult) -> None:
        """Take in how a granted run ended, and tell those who wait."""
        run = self._runs.get(result.key)
        if run is None or run.outcome is not None:
            return
        waiters = run.waiters
        run.waiters = []
        if isinstance(result.outcome, NotRun):
            run.free = True
            for waiter in waiters:
                self.on_claim(waiter)
            return
        run.outcome = _replayed(result.outcome)
        for waiter in waiters:
            self._reply(waiter, granted=False, outcome=run.outcome)

    def _journal(self, key_slice: int) -> KeyJournal:
        journal = self._journals.get(key_slice)
        if journal is None:
            journal = KeyJournal(
                key_slice,
                self._parameters,
                self._outbox,
                self._timers,
                self._store,
                self._wall_ms,
            )
            self._journals[key_slice] = journal
        return journal

    def _is_expired(self, request: ClaimRequest) -> bool:
        created_ms = key_created_ms(request.key)
        if created_ms is None:
            return True
        age_s = (self._wall_ms() - created_ms) / 1000
        return age_s > self._parameters.key_retention_s

    def _on_claimed(
        self,
        request: ClaimRequest,
        claim: Claim,
        outcome: ClaimOutcome,
    ) -> None:
        later = self._pending.pop(request.key)
        match outcome:
            case ClaimGranted():
                self._grant(request, _Run(request.fingerprint))
            case ClaimTaken(claim=taken):
                self._on_taken(request, taken)
            case ClaimUnconfirmed():
                self._ungranted.add(claim.holder)
                self._refuse(
                    request,
                    Reason.STORE_UNAVAILABLE,
                    STORE_RETRY_MS,
                )
        for waiter in later:
            self.on_claim(waiter)

    def _grant(self, request: ClaimRequest, run: _Run) -> None:
        run.free = False
        self._runs[request.key] = run
        if len(self._runs) > MAX_CACHED_OUTCOMES:
            self._runs.popitem(last=False)
        self._reply(request, granted=True, outcome=None)

    def _on_taken(self, request: ClaimRequest, claim: Claim) -> None:
        run = self._runs.get(request.key)
        if run is not None:
            self._on_known(request, run)
            return
        if claim.fingerprint != request.fingerprint:
            self._refuse(request, Reason.KEY_REUSED, 0)
            return
        if claim.holder in self._ungranted:
            self._ungranted.remove(claim.holder)
            self._grant(request, _Run(request.fingerprint))
            return
        # Another process granted this key; whether it ran is not known here.
        self._reply(request, granted=False, outcome=self._unknown(request))

    def _on_known(self, request: ClaimRequest, run: _Run) -> None:
        if run.fingerprint != request.fingerprint:
            self._refuse(request, Reason.KEY_REUSED, 0)
            return
        if run.free:
            self._grant(request, run)
            return
        if run.outcome is not None:
            self._reply(request, granted=False, outcome=run.outcome)
            return
        run.waiters.append(request)
        self._timers.call_after(
            max(0, request.timeout_ms / 1000 - REPLY_MARGIN_S),
            lambda: self._end_wait(request, run),
        )

    def _end_wait(self, request: ClaimRequest, run: _Run) -> None:
        if request not in run.waiters:
            return
        run.waiters.remove(request)
        self._reply(request, granted=False, outcome=self._unknown(request))

    def _unknown(self, request: ClaimRequest) -> MayHaveRun:
        return MayHaveRun(Reason.DUPLICATE, 'keys.lookup', request.key)

    def _refuse(
        self,
        request: ClaimRequest,
        reason: Reason,
        wait_ms: int,
    ) -> None:
        refusal = NotRun(
            reason,
            'keys.claim',
            self._peers.me,
            retry_after_ms=wait_ms,
        )
        self._reply(request, granted=False, outcome=refusal)

    def _reply(
        self,
        request: ClaimRequest,
        *,
        granted: bool,
        outcome: CallerOutcome | None,
    ) -> None:
        self._peers.send(
            request.sender,
            ClaimReply(self._peers.me, request.claim, granted, outcome),
        )


def _replayed(outcome: CallerOutcome) -> CallerOutcome:
    if isinstance(outcome, CommandAnswer):
        return CommandAnswer(outcome.answer, replayed=True)
    return outcome
