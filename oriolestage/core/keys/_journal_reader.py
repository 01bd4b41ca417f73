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


#: Segments that are read at a time, so that a long journal is loaded fast.
SEGMENT_READS_AT_ONCE = 16


@dataclasses.dataclass(frozen=True, slots=True)
class JournalContent:
    """A journal as the store holds it."""

    #: Version of the head, 0 if there is none.
    version: int = 0
    head: JournalHead = JournalHead()
    #: Claims of each segment, oldest segment first; a segment that the store
    #: has dropped has none.
    segments: dict[str, tuple[Claim, ...]] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class JournalUnreachable:
    """The store did not answer a read."""


@dataclasses.dataclass(frozen=True, slots=True)
class JournalUnreadable:
    """A value of the journal cannot be decoded."""


JournalOutcome = JournalContent | JournalUnreachable | JournalUnreadable
JournalCallback = Callable[[JournalOutcome], None]


class JournalReader:
    """Reads a journal; a new read replaces the one in progress."""

    def __init__(self, head_key: str, outbox: Outbox, store: StorePort) -> None:
        """Create a reader of the journal with a head key."""
        self._head_key = head_key
        self._outbox = outbox
        self._store = store
        self._read: _JournalRead | None = None

    def read(self, callback: JournalCallback) -> None:
        """Read the journal; ``callback`` is called once with the outcome."""
        read = _JournalRead(callback)
        self._read = read
        self._store.read(
            self._head_key,
            lambda outcome: self._on_head(read, outcome),
        )

    def _on_head(self, read: '_JournalRead', outcome: StoreOutcome) -> None:
        match outcome:
            case StoreFound(content=content, version=version):
                try:
                    head = decode_head(content)
                except MalformedError as error:
                    self._on_malformed(read, self._head_key, version, error)
                    return
            case StoreMissing():
                version = 0
                head = JournalHead()
            case _:
                self._end(read, JournalUnreachable())
                return
        self._store.unreadable.clear(self._head_key)
        segments: dict[str, tuple[Claim, ...]] = dict.fromkeys(
            head.segments, ()
        )
        read.content = JournalContent(version, head, segments)
        read.waiting = list(reversed(head.segments))
        self._read_segments(read)

    def _read_segments(self, read: '_JournalRead') -> None:
        """Read the segments that wait, some at a time."""
        if not read.waiting and not read.outstanding:
            self._end(read, read.content)
            return
        while read.waiting and read.outstanding < SEGMENT_READS_AT_ONCE:
            self._read_segment(read, read.waiting.pop())

    def _read_segment(self, read: '_JournalRead', name: str) -> None:
        read.outstanding += 1
        self._store.read(
            name,
            lambda outcome: self._on_segment(read, name, outcome),
        )

    def _on_segment(
        self, read: '_JournalRead', name: str, outcome: StoreOutcome
    ) -> None:
        read.outstanding -= 1
        if read is not self._read:
            return
        match outcome:
            case StoreFound(content=content, version=version):
                try:
                    read.content.segments[name] = decode_claims(content)
                except MalformedError as error:
                    self._on_malformed(read, name, version, error)
                    return
                self._store.unreadable.clear(name)
            case StoreMissing():
                # The store drops a segment only after the retention of its
                # claims.
                self._outbox.log(
                    'segment_expired',
                    step='keys.load',
                    key=name,
                )
            case _:
                self._end(read, JournalUnreachable())
                return
        self._read_segments(read)

    def _on_malformed(
        self,
        read: '_JournalRead',
        key: str,
        version: int,
        error: MalformedError,
    ) -> None:
        self._store.unreadable.report(key, version, str(error))
        self._end(read, JournalUnreadable())

    def _end(self, read: '_JournalRead', outcome: JournalOutcome) -> None:
        if read is self._read:
            self._read = None
            read.callback(outcome)


@dataclasses.dataclass(slots=True)
class _JournalRead:
    """The state of one read of a journal."""

    callback: JournalCallback
    content: JournalContent = JournalContent()
    #: Segments that are not read yet, the oldest last.
    waiting: list[str] = dataclasses.field(default_factory=list)
    #: Number of reads of segments without an outcome.
    outstanding: int = 0
