"""The ports of the entry host: types and calls of what lies outside it."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Protocol

from oriolestage.relay._answers import AttemptOutcome, TargetAnswer, Verdict
from oriolestage.relay._crash_watch import CrashReport
from oriolestage.relay._facts import HostRecord, StoredFact


class StoreError(Exception):
    """A call to the store failed; nothing is known of its effect."""

    def __init__(self, step: str, peer: str, cause: str) -> None:
        """Name the call, the store's address and the cause."""
        super().__init__(f'step={step} peer={peer} cause={cause}')
        self.step = step
        self.peer = peer
        self.cause = cause


class HistoryLostError(StoreError):
    """The store no longer has the changes after a revision."""


class LeaseEndedError(StoreError):
    """The lease has ended; its keys are gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Everything that the store held when it was read."""

    facts: tuple[StoredFact, ...]
    #: Revision from which changes have to be followed.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanges:
    """What changed in the store after a revision, in order."""

    facts: tuple[StoredFact, ...]
    revision: int


class Store(Protocol):
    """The store in which operators, targets and hosts are found.

    All calls raise :class:`StoreError`.
    """

    async def close(self) -> None:
        """Close all connections."""

    async def read_all(self) -> StoreSnapshot:
        """Read everything that concerns an entry host."""

    async def changes_after(self, revision: int, wait_s: float) -> StoreChanges:
        """Wait for changes; raises :class:`HistoryLostError` too."""

    async def open_lease(self, time_to_live_s: float) -> int:
        """Open a lease; give its number."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises :class:`LeaseEndedError` too."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove what hangs on it."""

    async def register_host(self, record: HostRecord, lease: int) -> None:
        """Register this host for as long as its lease lives."""

    async def report_crashes(
        self,
        reports: Sequence[CrashReport],
        lease: int,
    ) -> None:
        """Tell the other hosts of at most 32 crashes."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request."""

    #: Identity of this attempt of the caller; empty if it named none.
    request_id: str
    #: Time that the caller will wait, in seconds; None if it did not say.
    time_left_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response as it goes to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class WireProtocol(Protocol):
    """How requests and answers are written on the wire."""

    def request_metadata(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Read what a caller says; raises ValueError for bad values."""

    def target_headers(
        self,
        headers: tuple[tuple[str, str], ...],
        target: str,
        time_left_s: float,
    ) -> list[tuple[str, str]]:
        """Give the headers for a target from those of the caller."""

    def outcome(self, request_id: str, answer: TargetAnswer) -> AttemptOutcome:
        """Tell what a target's response means."""

    def signature(self, headers: Mapping[str, str]) -> str:
        """Give the signature of a target's response."""

    def response(self, verdict: Verdict, request_id: str) -> Response:
        """Write the final answer of a request."""
