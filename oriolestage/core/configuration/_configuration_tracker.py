"""Keeps the configuration in force at this host, and only moves it forward.

The store holds one key for each revision. A few hosts in each data centre
watch the key of the next revision; all others learn from peers, since every
probe carries the revision of its sender.
"""

import random
from collections.abc import Callable, Sequence

import msgspec

from oriolestage._rendezvous import rendezvous_rank
from oriolestage.core._effects import Outbox, RevisionInForce, SendGossip
from oriolestage.core._errors import ChangeRefusedError
from oriolestage.core._messages import (
    ConfigurationReply,
    ConfigurationRequest,
    MemberState,
)
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import (
    StoreFound,
    StoreMissing,
    StoreOutcome,
    StorePort,
    StoreWritten,
)
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._changes import RevisionRecord, apply_change
from oriolestage.core.configuration._configuration import Configuration
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._index import ConfigurationIndex

#: Records kept in memory for peers that lag and for the history.
MAX_RECORDS_IN_MEMORY = 256
#: Time before a host that heard from no peer reads the store, in seconds.
STORE_READ_DELAY_S = 0.4
#: Time between attempts while the store does not answer, in seconds.
STORE_RETRY_S = 0.5
#: Key of the newest snapshot.
SNAPSHOT_KEY = 'config/snapshot'


def revision_key(revision: int) -> str:
    """Give the store key of one revision."""
    return f'config/revision/{revision:010d}'


class ConfigurationTracker:
    """Follows the configuration history."""

    def __init__(
        self,
        parameters: Parameters,
        randomness: random.Random,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        membership: Membership,
    ) -> None:
        """Start at revision 0, which holds nothing."""
        self._parameters = parameters
        self._random = randomness
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._membership = membership
        self._index = ConfigurationIndex(Configuration())
        self._records: dict[int, RevisionRecord] = {}
        self._watching = False
        self._loaded = False
        self._asked_at = float('-inf')
        self._on_change: list[Callable[[], None]] = []

    @property
    def index(self) -> ConfigurationIndex:
        """Lookups in the document in force."""
        return self._index

    @property
    def revision(self) -> int:
        """The revision in force at this host."""
        return self._index.revision

    @property
    def loaded(self) -> bool:
        """Tell whether a document was read or the store said there is none."""
        return self._loaded

    @property
    def records(self) -> tuple[RevisionRecord, ...]:
        """The latest records, oldest first."""
        return tuple(
            self._records[revision] for revision in sorted(self._records)
        )

    @property
    def is_reader(self) -> bool:
        """Tell whether this host watches the store for its data centre."""
        me = self._membership.identity
        neighbours = [
            member.name
            for member in self._membership.members
            if member.state is MemberState.ALIVE
            and member.data_centre == me.data_centre
        ]
        readers = rendezvous_rank('configuration-reader', neighbours)
        return me.name in readers[: self._parameters.readers_per_data_centre]

    def on_change(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` whenever another revision comes into force."""
        self._on_change.append(callback)

    def start(self) -> None:
        """Ask peers first, then the store; then follow what comes."""
        self._timers.call_after(STORE_READ_DELAY_S, self._load_if_empty)
        self._timers.call_after(STORE_READ_DELAY_S, self._follow)

    # Learning from peers.

    def on_peer_revision(self, sender: str, revision: int) -> None:
        """Ask a peer for what it knows and this host does not."""
        if revision <= self.revision:
            return
        patience = self._parameters.probe_timeout_s
        if self._timers.now - self._asked_at < patience:
            return
        self._asked_at = self._timers.now
        self._send(
            sender,
            ConfigurationRequest(self._membership.identity.name, self.revision),
        )

    def on_request(self, request: ConfigurationRequest) -> None:
        """Give a peer the records that it lacks, or the whole document."""
        lacking = self._records_after(request.have_revision)
        name = self._membership.identity.name
        if lacking:
            self._send(request.sender, ConfigurationReply(name, lacking))
            return
        document = self._index.document
        if document.revision <= request.have_revision:
            return
        reply = ConfigurationReply(name, self.records[-1:], document)
        self._send(request.sender, reply)

    def on_reply(self, reply: ConfigurationReply) -> None:
        """Take over what a peer sent."""
        if reply.document is not None:
            self.adopt_document(reply.document)
            for record in reply.records:
                self._records.setdefault(record.revision, record)
        self.adopt_records(reply.records)

    def _records_after(self, revision: int) -> tuple[RevisionRecord, ...]:
        lacking: list[RevisionRecord] = []
        for number in range(revision + 1, self.revision + 1):
            record = self._records.get(number)
            if record is None:
                return ()
            lacking.append(record)
        return tuple(lacking)

    def _send(
        self,
        peer: str,
        message: ConfigurationRequest | ConfigurationReply,
    ) -> None:
        member = self._membership.member(peer)
        if member is not None:
            self._outbox.add(SendGossip(member.gossip_address, message))

    # Moving forward.

    def adopt_document(self, document: Configuration) -> None:
        """Put a whole document in force unless it is older."""
        self._loaded = True
        if document.revision > self.revision:
            self._put_in_force(document, None)

    def adopt_records(self, records: Sequence[RevisionRecord]) -> None:
        """Put each record that follows the revision in force into force."""
        for record in records:
            if record.revision != self.revision + 1:
                continue
            self._loaded = True
            try:
                document = apply_change(self._index.document, record.change)
            except ChangeRefusedError as error:
                self._outbox.log(
                    'record_not_applicable',
                    step='configuration.apply',
                    revision=record.revision,
                    error=str(error),
                )
                return
            self._records[record.revision] = record
            self._records.pop(record.revision - MAX_RECORDS_IN_MEMORY, None)
            self._put_in_force(document, record)

    def _put_in_force(
        self,
        document: Configuration,
        record: RevisionRecord | None,
    ) -> None:
        self._index = ConfigurationIndex(document)
        self._membership.revision = document.revision
        self._outbox.add(RevisionInForce(document.revision, record))
        if record is not None:
            self._membership.announce(self._parameters.announce_fanout)
        for callback in self._on_change:
            callback()

    # Reading the store.

    def _load_if_empty(self) -> None:
        if not self._loaded:
            self._store.read(SNAPSHOT_KEY, self._on_snapshot)

    def _on_snapshot(self, outcome: StoreOutcome) -> None:
        match outcome:
            case StoreFound(content=content):
                self.adopt_document(
                    msgspec.msgpack.decode(content, type=Configuration),
                )
            case StoreMissing():
                self._loaded = True
            case _:
                jitter = 1 + self._random.random()
                self._timers.call_after(
                    STORE_RETRY_S * jitter,
                    self._load_if_empty,
                )

    def _follow(self) -> None:
        if self._watching:
            return
        if not self._loaded or not self.is_reader:
            self._timers.call_after(STORE_RETRY_S, self._follow)
            return
        self._watching = True
        self._store.watch(revision_key(self.revision + 1), 0, self._on_watched)

    def _on_watched(self, outcome: StoreOutcome) -> None:
        self._watching = False
        match outcome:
            case StoreFound(content=content):
                self.adopt_records([decode_record(content)])
                self._follow()
            case StoreMissing():
                self._follow()
            case _:
                jitter = 1 + self._random.random()
                self._timers.call_after(STORE_RETRY_S * jitter, self._follow)

    # Snapshots in the store.

    def write_snapshot_if_due(self) -> None:
        """Write the document so that hosts need not read all revisions."""
        if self.revision % self._parameters.snapshot_interval:
            return
        self._store.read(SNAPSHOT_KEY, self._replace_snapshot)

    def _replace_snapshot(self, outcome: StoreOutcome) -> None:
        expected = 0
        if isinstance(outcome, StoreFound):
            held = msgspec.msgpack.decode(outcome.content, type=Configuration)
            if held.revision >= self.revision:
                return
            expected = outcome.version
        elif not isinstance(outcome, StoreMissing):
            return
        content = msgspec.msgpack.encode(self._index.document)
        self._store.write(SNAPSHOT_KEY, expected, content, self._snapshot_done)

    def _snapshot_done(self, outcome: StoreOutcome) -> None:
        self._outbox.log(
            'snapshot_written',
            step='configuration.snapshot',
            revision=self.revision,
            written=int(isinstance(outcome, StoreWritten)),
        )


def encode_record(record: RevisionRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> RevisionRecord:
    """Decode a record read from the store."""
    return msgspec.json.decode(content, type=RevisionRecord)
