"""Grants each idempotency key once, and repeats the outcome of its run.

Each key belongs to a slice, and each slice to one owner: the host that
rendezvous hashing selects.
"""

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
    ClaimExpired,
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
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger

#: Maximum number of granted keys kept in memory, with the outcomes of their
#: runs, to answer repeated requests.
MAX_GRANTED_RUNS = 20_000
#: Retry delay suggested when the store did not confirm a claim, in
#: milliseconds.
STORE_RETRY_MS = 1000
#: Retry delay suggested when another host owns the key, in milliseconds.
OWNER_RETRY_MS = 20
#: Time reserved for the reply to reach the entry host, in seconds.
REPLY_MARGIN_S = 0.005


@dataclasses.dataclass(slots=True)
class _GrantedRun:
    """A key that this process granted, and the run of its command."""

    fingerprint: int
    #: Outcome for repeated requests; None until the entry host reports it.
    outcome: CallerOutcome | None = None
    #: True when the work was not run, so that the key may be granted again.
    may_regrant: bool = False
    #: Repeated requests that wait for the outcome.
    waiters: list[ClaimRequest] = dataclasses.field(default_factory=list)


def slice_of_key(key: str, slices: int) -> int:
    """Return the number of the slice that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slices


class KeyOwner:
    """Grants the keys in the slices that this host owns."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        ownership: OwnershipView,
        peers: PeerMessenger,
        incarnation: int,
        wall_ms: Callable[[], int],
    ) -> None:
        """Start without granted keys.

        ``wall_ms`` returns the time in milliseconds since the epoch.
        """
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._ownership = ownership
        self._peers = peers
        self._incarnation = incarnation
        self._wall_ms = wall_ms
        self._journals: dict[int, KeyJournal] = {}
        self._granted_runs: OrderedDict[str, _GrantedRun] = OrderedDict()
        #: Requests that wait for the journal to decide on an earlier claim of
        #: the same key.
        self._pending: dict[str, list[ClaimRequest]] = {}
        #: Holders of claims that the store did not confirm. If the journal
        #: holds such a claim, its key was never granted.
        self._unconfirmed_holders: set[str] = set()
        self._claim_count = 0

    def on_claim(self, request: ClaimRequest) -> None:
        """Grant a key, reply with the outcome of its run, or refuse.

        While the key is being claimed or its command runs, the reply is
        delayed.
        """
        key_slice = slice_of_key(request.key, self._parameters.key_slices)
        if (
            self._ownership.owner_of_key_slice(key_slice)
            != self._peers.local_name
        ):
            self._refuse(request, Reason.NOT_OWNER, OWNER_RETRY_MS)
            return
        created_ms = key_created_ms(request.key)
        if created_ms is None or not self._is_remembered(created_ms):
            self._refuse(request, Reason.KEY_EXPIRED, 0)
            return
        run = self._granted_runs.get(request.key)
        if run is not None:
            self._on_known(request, run)
            return
        waiters = self._pending.get(request.key)
        if waiters is not None:
            waiters.append(request)
            return
        self._pending[request.key] = []
        self._claim_count += 1
        claim = Claim(
            request.key,
            request.fingerprint,
            f'{self._peers.local_name}/{self._incarnation}/{self._claim_count}',
            created_ms,
        )
        self._journal(key_slice).claim(
            claim,
            lambda outcome: self._on_claimed(request, claim, outcome),
        )

    def on_result(self, result: ClaimResult) -> None:
        """Record the outcome of a granted run and reply to waiting requests.

        If the work was not run, the first waiting request gets the key.
        """
        run = self._granted_runs.get(result.key)
        if run is None or run.outcome is not None:
            return
        waiters = run.waiters
        run.waiters = []
        if isinstance(result.outcome, NotRun):
            run.may_regrant = True
            for waiter in waiters:
                self.on_claim(waiter)
            return
        run.outcome = _as_replay(result.outcome)
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

    def _is_remembered(self, created_ms: int) -> bool:
        """Return whether the claim of a key outlives the key.

        That of an old key may be forgotten. A key made in the future would be
        valid for longer than the journal keeps its claim.
        """
        age_s = (self._wall_ms() - created_ms) / 1000
        if age_s < -self._parameters.clock_skew_s:
            return False
        return age_s <= self._parameters.key_retention_s

    def _on_claimed(
        self,
        request: ClaimRequest,
        claim: Claim,
        outcome: ClaimOutcome,
    ) -> None:
        waiters = self._pending.pop(request.key)
        match outcome:
            case ClaimGranted():
                self._grant(request, _GrantedRun(request.fingerprint))
            case ClaimTaken(claim=existing):
                self._on_taken(request, existing)
            case ClaimExpired():
                self._refuse(request, Reason.KEY_EXPIRED, 0)
            case ClaimUnconfirmed():
                self._unconfirmed_holders.add(claim.holder)
                self._refuse(
                    request,
                    Reason.STORE_UNAVAILABLE,
                    STORE_RETRY_MS,
                )
        for waiter in waiters:
            self.on_claim(waiter)

    def _grant(self, request: ClaimRequest, run: _GrantedRun) -> None:
        run.may_regrant = False
        self._granted_runs[request.key] = run
        if len(self._granted_runs) > MAX_GRANTED_RUNS:
            self._granted_runs.popitem(last=False)
        self._reply(request, granted=True, outcome=None)

    def _on_taken(self, request: ClaimRequest, claim: Claim) -> None:
        run = self._granted_runs.get(request.key)
        if run is not None:
            self._on_known(request, run)
            return
        if claim.fingerprint != request.fingerprint:
            self._refuse(request, Reason.KEY_REUSED, 0)
            return
        if claim.holder in self._unconfirmed_holders:
            self._unconfirmed_holders.remove(claim.holder)
            self._grant(request, _GrantedRun(request.fingerprint))
            return
        # Another process granted this key, or this one no longer has it in
        # memory; whether the work ran is not known.
        self._reply(
            request, granted=False, outcome=self._unknown_outcome(request)
        )

    def _on_known(self, request: ClaimRequest, run: _GrantedRun) -> None:
        if run.fingerprint != request.fingerprint:
            self._refuse(request, Reason.KEY_REUSED, 0)
            return
        if run.may_regrant:
            self._grant(request, run)
            return
        if run.outcome is not None:
            self._reply(request, granted=False, outcome=run.outcome)
            return
        run.waiters.append(request)
        self._timers.call_after(
            max(0, request.timeout_ms / 1000 - REPLY_MARGIN_S),
            lambda: self._on_wait_timeout(request, run),
        )

    def _on_wait_timeout(self, request: ClaimRequest, run: _GrantedRun) -> None:
        if request not in run.waiters:
            return
        run.waiters.remove(request)
        self._reply(
            request, granted=False, outcome=self._unknown_outcome(request)
        )

    def _unknown_outcome(self, request: ClaimRequest) -> MayHaveRun:
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
            self._peers.local_name,
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
            ClaimReply(self._peers.local_name, request.claim, granted, outcome),
        )


def _as_replay(outcome: CallerOutcome) -> CallerOutcome:
    if isinstance(outcome, CommandAnswer):
        return CommandAnswer(outcome.answer, replayed=True)
    return outcome
