"""Tracks the configuration in force at this host; it never goes back.

The store holds one key for each revision. A few hosts in each data centre
watch the key of the next revision. The others learn of it from peers: every
probe carries the revision of its sender, and a host that lags asks for the
missing records.
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

#: Latest records kept in memory, for lagging peers and for the history.
MAX_RECORDS_IN_MEMORY = 256
#: Time that peers have to send the configuration to a starting host before
#: it reads the store, in seconds.
STORE_READ_DELAY_S = 0.4
#: Time between checks whether to watch the store, in seconds. After a store
#: error, the delay is this times a random factor from 1 to 2.
STORE_RETRY_S = 0.5
#: Store key of the newest snapshot.
SNAPSHOT_KEY = 'config/snapshot'


def revision_key(revision: int) -> str:
    """Return the store key of a revision."""
    return f'config/revision/{revision:010d}'


class ConfigurationTracker:
    """Keeps this host on the newest known revision of the configuration."""

    def __init__(
        self,
        parameters: Parameters,
        randomness: random.Random,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        membership: Membership,
    ) -> None:
        """Start with the empty document, revision 0."""
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
        self._requested_at = float('-inf')
        self._on_change: list[Callable[[], None]] = []

    @property
    def index(self) -> ConfigurationIndex:
        """Lookups in the document that is in force."""
        return self._index

    @property
    def revision(self) -> int:
        """The revision in force at this host."""
        return self._index.revision

    @property
    def loaded(self) -> bool:
        """Whether a configuration was received, or the store has none."""
        return self._loaded

    @property
    def records(self) -> tuple[RevisionRecord, ...]:
        """The latest records of the history, oldest first."""
        return tuple(
            self._records[revision] for revision in sorted(self._records)
        )

    @property
    def is_reader(self) -> bool:
        """Whether this host watches the store for its data centre.

        The readers are chosen by rendezvous hashing among the hosts of the
        data centre that are alive in this view.
        """
        identity = self._membership.identity
        alive_names = [
            member.name
            for member in self._membership.members
            if member.state is MemberState.ALIVE
            and member.data_centre == identity.data_centre
        ]
        readers = rendezvous_rank('configuration-reader', alive_names)
        return (
            identity.name in readers[: self._parameters.readers_per_data_centre]
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` whenever a new revision comes into force."""
        self._on_change.append(callback)

    def start(self) -> None:
        """Load the configuration and start to watch for new revisions.

        Peers may send it first; the store is read after a short delay if
        they did not.
        """
        self._timers.call_after(STORE_READ_DELAY_S, self._load_if_empty)
        self._timers.call_after(STORE_READ_DELAY_S, self._watch_next_revision)

    # Replication from peers.

    def on_peer_revision(self, sender: str, revision: int) -> None:
        """Request the missing records from a peer with a newer revision.

        After a request, none is sent for ``probe_timeout_s``, so that one
        new revision does not cause a request to every peer.
        """
        if revision <= self.revision:
            return
        reply_timeout_s = self._parameters.probe_timeout_s
        if self._timers.now - self._requested_at < reply_timeout_s:
            return
        self._requested_at = self._timers.now
        self._send(
            sender,
            ConfigurationRequest(self._membership.identity.name, self.revision),
        )

    def on_request(self, request: ConfigurationRequest) -> None:
        """Send a peer its missing records, or the whole document."""
        missing_records = self._records_after(request.have_revision)
        name = self._membership.identity.name
        if missing_records:
            self._send(
                request.sender, ConfigurationReply(name, missing_records)
            )
            return
        document = self._index.document
        if document.revision <= request.have_revision:
            return
        reply = ConfigurationReply(name, self.records[-1:], document)
        self._send(request.sender, reply)

    def on_reply(self, reply: ConfigurationReply) -> None:
        """Adopt the records or the document that a peer sent."""
        if reply.document is not None:
            self.adopt_document(reply.document)
            for record in reply.records:
                self._records.setdefault(record.revision, record)
        self.adopt_records(reply.records)

    def _records_after(self, revision: int) -> tuple[RevisionRecord, ...]:
        missing_records: list[RevisionRecord] = []
        for number in range(revision + 1, self.revision + 1):
            record = self._records.get(number)
            if record is None:
                return ()
            missing_records.append(record)
        return tuple(missing_records)

    def _send(
        self,
        peer: str,
        message: ConfigurationRequest | ConfigurationReply,
    ) -> None:
        member = self._membership.member(peer)
        if member is not None:
            self._outbox.add(SendGossip(member.gossip_address, message))

    # Applying new revisions.

    def adopt_document(self, document: Configuration) -> None:
        """Put a document in force if it is newer than the current one."""
        self._loaded = True
        if document.revision > self.revision:
            self._put_in_force(document, None)

    def adopt_records(self, records: Sequence[RevisionRecord]) -> None:
        """Apply each record that directly follows the current revision.

        Other records are skipped. A record that cannot be applied is logged
        and ends the loop.
        """
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

    # Loading from the store.

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

    def _watch_next_revision(self) -> None:
        if self._watching:
            return
        if not self._loaded or not self.is_reader:
            self._timers.call_after(STORE_RETRY_S, self._watch_next_revision)
            return
        self._watching = True
        self._store.watch(revision_key(self.revision + 1), 0, self._on_watched)

    def _on_watched(self, outcome: StoreOutcome) -> None:
        self._watching = False
        match outcome:
            case StoreFound(content=content):
                self.adopt_records([decode_record(content)])
                self._watch_next_revision()
            case StoreMissing():
                self._watch_next_revision()
            case _:
                jitter = 1 + self._random.random()
                self._timers.call_after(
                    STORE_RETRY_S * jitter, self._watch_next_revision
                )

    # Snapshots in the store.

    def write_snapshot_if_due(self) -> None:
        """Write a snapshot to the store every ``snapshot_interval`` revisions.

        A starting host then need not read the whole history.
        """
        if self.revision % self._parameters.snapshot_interval:
            return
        self._store.read(SNAPSHOT_KEY, self._replace_snapshot)

    def _replace_snapshot(self, outcome: StoreOutcome) -> None:
        expected = 0
        if isinstance(outcome, StoreFound):
            stored = msgspec.msgpack.decode(outcome.content, type=Configuration)
            if stored.revision >= self.revision:
                return
            expected = outcome.version
        elif not isinstance(outcome, StoreMissing):
            return
        content = msgspec.msgpack.encode(self._index.document)
        self._store.write(
            SNAPSHOT_KEY, expected, content, self._on_snapshot_written
        )

    def _on_snapshot_written(self, outcome: StoreOutcome) -> None:
        self._outbox.log(
            'snapshot_written',
            step='configuration.snapshot',
            revision=self.revision,
            written=int(isinstance(outcome, StoreWritten)),
        )


def encode_record(record: RevisionRecord) -> bytes:
    """Encode a record as JSON for the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> RevisionRecord:
    """Decode a stored record; raise ``msgspec.DecodeError`` if malformed."""
    return msgspec.json.decode(content, type=RevisionRecord)
