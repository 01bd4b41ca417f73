"""Reads the journal of a key slice: its head and its segments."""

import dataclasses
from collections.abc import Callable

from oriolestage.core._effects import Outbox
from oriolestage.core._errors import MalformedError
from oriolestage.core._store_port import (
    StoreFound,
    StoreMissing,
    StoreOutcome,
    StorePort,
)
from oriolestage.core.keys._claims import (
    Claim,
    JournalHead,
    decode_claims,
    decode_head,
)


@dataclasses.dataclass(frozen=True, slots=True)
class JournalContent:
    """A journal as the store holds it."""

    #: Version of the head, 0 if there is none.
    version: int = 0
    head: JournalHead = JournalHead()
    claims_by_key: dict[str, Claim] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class JournalUnreachable:
    """The store did not answer a read."""


@dataclasses.dataclass(frozen=True, slots=True)
class JournalUnreadable:
    """A value of the journal cannot be decoded."""


JournalOutcome = JournalContent | JournalUnreachable | JournalUnreadable
JournalCallback = Callable[[JournalOutcome], None]


class JournalReader:
    """Reads a journal; only one read is in progress at a time."""

    def __init__(self, head_key: str, outbox: Outbox, store: StorePort) -> None:
        """Create a reader of the journal with a head key."""
        self._head_key = head_key
        self._outbox = outbox
        self._store = store
        self._content = JournalContent()
        self._callback: JournalCallback = _ignore

    def read(self, callback: JournalCallback) -> None:
        """Read the journal; ``callback`` is called once with the outcome."""
        self._callback = callback
        self._store.read(self._head_key, self._on_head)

    def _on_head(self, outcome: StoreOutcome) -> None:
        match outcome:
            case StoreFound(content=content, version=version):
                try:
                    head = decode_head(content)
                except MalformedError as error:
                    self._on_malformed(self._head_key, version, error)
                    return
            case StoreMissing():
                version = 0
                head = JournalHead()
            case _:
                self._callback(JournalUnreachable())
                return
        self._store.unreadable.clear(self._head_key)
        claims_by_key = {claim.key: claim for claim in head.claims}
        self._content = JournalContent(version, head, claims_by_key)
        self._read_segments(list(head.segments))

    def _read_segments(self, remaining: list[str]) -> None:
        if not remaining:
            self._callback(self._content)
            return
        name = remaining.pop()
        self._store.read(
            name,
            lambda outcome: self._on_segment(outcome, name, remaining),
        )

    def _on_segment(
        self, outcome: StoreOutcome, name: str, remaining: list[str]
    ) -> None:
        match outcome:
            case StoreFound(content=content, version=version):
                try:
                    claims = decode_claims(content)
                except MalformedError as error:
                    self._on_malformed(name, version, error)
                    return
                self._add_claims(name, claims)
            case StoreMissing():
                # The store drops a segment only after the retention of its
                # claims.
                self._outbox.log(
                    'segment_expired',
                    step='keys.load',
                    key=self._head_key,
                )
            case _:
                self._callback(JournalUnreachable())
                return
        self._read_segments(remaining)

    def _add_claims(self, name: str, claims: tuple[Claim, ...]) -> None:
        self._store.unreadable.clear(name)
        for claim in claims:
            self._content.claims_by_key[claim.key] = claim

    def _on_malformed(
        self, key: str, version: int, error: MalformedError
    ) -> None:
        self._store.unreadable.report(key, version, str(error))
        self._callback(JournalUnreadable())


def _ignore(outcome: JournalOutcome) -> None:
    """Ignore an outcome before the first read."""
