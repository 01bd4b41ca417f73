"""Tracks the configuration in force at this host; it never goes back.

The store holds one key for each revision. A few hosts in each data centre
watch the key of the next revision. The others learn of it from peers: every
probe carries the revision of its sender, and a host that lags asks for the
missing records.
"""

from collections.abc import Callable, Sequence

from oriolestage._rendezvous import rendezvous_rank
from oriolestage.core._decoding import MAX_ERROR_CHARACTERS
from oriolestage.core._effects import Outbox, RevisionInForce, SendGossip
from oriolestage.core._errors import ChangeRefusedError
from oriolestage.core._messages import (
    ConfigurationReply,
    ConfigurationRequest,
    MemberState,
)
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._changes import RevisionRecord, apply_change
from oriolestage.core.configuration._configuration import Configuration
from oriolestage.core.configuration._document_checks import check_document
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._index import ConfigurationIndex

#: Time for which a peer is not asked again after it sent a configuration that
#: cannot be applied, in seconds.
REFUSED_PEER_PAUSE_S = 5.0
#: Latest records kept in memory, for lagging peers and for the history.
MAX_RECORDS_IN_MEMORY = 256


class ConfigurationTracker:
    """Keeps this host on the newest known revision of the configuration."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        membership: Membership,
    ) -> None:
        """Start with the empty document, revision 0."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._membership = membership
        self._index = ConfigurationIndex(Configuration())
        self._records: dict[int, RevisionRecord] = {}
        self._loaded = False
        self._requested_at = float('-inf')
        #: Times until which peers are not asked for the configuration.
        self._peer_pauses: dict[str, float] = {}
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

    def record(self, revision: int) -> RevisionRecord | None:
        """Return the record of a revision, or None if it is not in memory."""
        return self._records.get(revision)

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

    # Replication from peers.

    def on_peer_revision(self, sender: str, revision: int) -> None:
        """Request the missing records from a peer with a newer revision.

        After a request, none is sent for ``probe_timeout_s``, so that one
        new revision does not cause a request to every peer.
        """
        if revision <= self.revision:
            return
        if self._timers.now < self._peer_pauses.get(sender, 0):
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
        try:
            self._adopt_reply(reply)
        except ChangeRefusedError as error:
            until = self._timers.now + REFUSED_PEER_PAUSE_S
            self._peer_pauses[reply.sender] = until
            self._outbox.log(
                'record_not_applicable',
                step='configuration.apply',
                peer=reply.sender,
                revision=self.revision + 1,
                error=str(error)[:MAX_ERROR_CHARACTERS],
            )

    def _adopt_reply(self, reply: ConfigurationReply) -> None:
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

    def start_empty(self) -> None:
        """Start from revision 0, since the store has no document to load."""
        self._loaded = True

    def adopt_document(self, document: Configuration) -> None:
        """Put a document in force if it is newer than the current one.

        Raises :class:`ChangeRefusedError` if it is inconsistent.
        """
        if document.revision > self.revision:
            check_document(document)
            self._loaded = True
            self._put_in_force(document, None)
        self._loaded = True

    def adopt_records(self, records: Sequence[RevisionRecord]) -> None:
        """Apply each record that directly follows the current revision.

        Other records are skipped. Raises :class:`ChangeRefusedError` at the
        first one that cannot be applied.
        """
        for record in records:
            if record.revision == self.revision + 1:
                self.apply_record(record)

    def apply_record(self, record: RevisionRecord) -> None:
        """Put the record of the next revision in force.

        Raises :class:`ChangeRefusedError` if it cannot be applied.
        """
        document = apply_change(self._index.document, record.change)
        self._loaded = True
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
            self._outbox.run_safely('configuration.change', callback)
