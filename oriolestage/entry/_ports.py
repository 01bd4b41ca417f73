"""Interfaces to what lies outside the entry host: the store and HTTP.

The package :mod:`oriolestage.platform` implements them.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Protocol

from oriolestage.entry._store_eras import StoreEras
from oriolestage.rollouts._orders import HostEvidence, RolloutStatus
from oriolestage.routing._answers import (
    AttemptOutcome,
    RequestResult,
    TargetAnswer,
)
from oriolestage.routing._crash_detector import QuarantineReport
from oriolestage.routing._facts import HostRecord, StoredFact
from oriolestage.routing._trials import TrialReport


class StoreError(Exception):
    """A call to the store failed; it may or may not have taken effect."""

    def __init__(self, step: str, peer: str, cause: str) -> None:
        """Create an error from the call, the store's address and the cause."""
        super().__init__(f'step={step} peer={peer} cause={cause}')
        self.step = step
        self.peer = peer
        self.cause = cause


class AnswerRejectedError(StoreError):
    """The answer of the store cannot be used; it would be the same again."""


class HistoryLostError(StoreError):
    """The store no longer has all changes after the requested revision."""


class HistoryReplacedError(HistoryLostError):
    """The store was restored from a copy, so known revisions are void."""


class LeaseEndedError(StoreError):
    """The lease has ended and its keys are deleted."""


@dataclasses.dataclass(frozen=True, slots=True)
class StorePosition:
    """A point in the history of the store.

    Revisions of different eras cannot be compared.
    """

    #: Era of the revision; None if the store states none.
    era: int | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store.

    After a restoration of the store, its number may be another host's lease.
    """

    #: Era in which it was opened; None if the store states none.
    era: int | None
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreContents:
    """Everything read from the store.

    It is read in pages, so it may mix revisions: changes made meanwhile have
    to be applied on top.
    """

    facts: tuple[StoredFact, ...]
    #: Point after which to ask for changes.
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changes of the store after a point in its history, in order."""

    facts: tuple[StoredFact, ...]
    #: Point after which to ask for further changes.
    position: StorePosition


class Store(Protocol):
    """The store of the configuration and of registered targets and hosts.

    All calls but :meth:`close` raise :class:`StoreError` on failure.
    """

    @property
    def eras(self) -> StoreEras:
        """The era of the store, as its answers state it."""

    async def close(self) -> None:
        """Close the connections to the store."""

    async def read_all(self) -> StoreContents:
        """Return everything in the store that an entry host needs."""

    async def changes_after(
        self, position: StorePosition, wait_s: float
    ) -> StoreChanges:
        """Return the changes after a point in the history.

        If there are none yet, wait for them up to ``wait_s`` seconds.
        Raises :class:`HistoryLostError` if the store has discarded some, and
        :class:`HistoryReplacedError` if it has another history by now.
        """

    async def open_lease(self, time_to_live_s: float) -> Lease:
        """Open a lease and return it.

        If the call fails, a lease may be open that ends by itself.
        """

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease.

        Raises :class:`LeaseEndedError` if it has ended or is of an era that
        has.
        """

    async def end_lease(self, lease: Lease) -> None:
        """End a lease, which deletes its keys.

        Calls under it that are done late have no effect afterwards. Raises
        :class:`LeaseEndedError` if it has ended or is of an era that has.
        """

    async def register_host(self, record: HostRecord, lease: Lease) -> bool:
        """Store the record of this host under a lease.

        Return False if it is stored so already. A call that is done late
        neither replaces a newer record nor takes it to another lease.
        """

    async def report_crashes(
        self,
        reports: Sequence[QuarantineReport],
        lease: Lease,
    ) -> None:
        """Store at most 32 reports on quarantines under a lease."""

    async def claim_trial(self, trial: TrialReport, lease: Lease) -> None:
        """Store that this host runs a trial, under a lease.

        Raises :class:`StoreError` if another host has stored it.
        """


class RolloutStore(Store, Protocol):
    """The store with what hosts write about roll-outs."""

    async def write_evidence(
        self, reports: Sequence[HostEvidence], lease: Lease
    ) -> None:
        """Store the counters of this host for at most 32 roll-outs."""

    async def write_status(self, status: RolloutStatus) -> None:
        """Store the status of a roll-out if it still has its revision.

        Raises :class:`StoreError` if it has another one.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller states about its request in headers."""

    #: Identifier of this attempt of the caller; empty if not given.
    request_id: str
    #: Time until the caller's deadline, in seconds; None if not given.
    time_left_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class WireProtocol(Protocol):
    """Conversion between HTTP messages and the types of the entry host."""

    def request_metadata(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the metadata in a request's headers.

        Raises ``ValueError`` for malformed values.
        """

    def account_key(self, headers: tuple[tuple[str, str], ...]) -> str | None:
        """Return the key of an account in a request's headers.

        None if there is none, or not exactly one that is well formed.
        """

    def account_headers(
        self, headers: tuple[tuple[str, str], ...], account: str | None
    ) -> tuple[tuple[str, str], ...]:
        """Return headers that name an account, based on the caller's.

        They contain no key, and no account that the caller states. ``account``
        is None for a request without one.
        """

    def target_headers(
        self,
        headers: tuple[tuple[str, str], ...],
        target: str,
        time_left_s: float,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt, based on those of the caller."""

    def outcome(self, request_id: str, answer: TargetAnswer) -> AttemptOutcome:
        """Classify a target's response as an outcome of the attempt."""

    def rate_limit(self, headers: Mapping[str, str]) -> float | None:
        """Return the requests per second that a target takes from all hosts.

        None if the response states no limit. Raises ``ValueError`` for a
        malformed one.
        """

    def leaving(self, headers: Mapping[str, str]) -> bool:
        """Return whether a target states that it is about to leave.

        Raises ``ValueError`` for a malformed statement.
        """

    def rest_s(self, status: int, headers: Mapping[str, str]) -> float:
        """Return for how many seconds a target wants no request of this host.

        0 if its response does not say so. Raises ``ValueError`` for a
        malformed time.
        """

    def signature(self, headers: Mapping[str, str]) -> str:
        """Return the signature of a target's response; empty if none."""

    def response(self, result: RequestResult, request_id: str) -> Response:
        """Return the response for the result of a request."""
