"""Loads the configuration from the store and watches for new revisions.

A value that cannot be used leaves the last good revision in force. The host
then waits for another version of the key instead of reading it again.
"""

import random

from oriolestage.core._effects import Outbox
from oriolestage.core._errors import ChangeRefusedError, MalformedError
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import (
    StoreFound,
    StoreMissing,
    StoreOutcome,
    StorePort,
    StoreWritten,
)
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.configuration._stored_revisions import (
    SNAPSHOT_KEY,
    decode_record,
    decode_snapshot,
    encode_snapshot,
    revision_key,
)

#: Time that peers have to send the configuration to a starting host before
#: it reads the store, in seconds.
STORE_READ_DELAY_S = 0.4
#: Time between checks whether to watch the store, in seconds. After a store
#: error, the delay is this times a random factor from 1 to 2.
STORE_RETRY_S = 0.5


class ConfigurationStore:
    """Reads, watches and snapshots the configuration in the store."""

    def __init__(
        self,
        parameters: Parameters,
        randomness: random.Random,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        configuration: ConfigurationTracker,
    ) -> None:
        """Create a reader that puts revisions in force in a tracker."""
        self._parameters = parameters
        self._random = randomness
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._configuration = configuration
        self._unreadable = store.unreadable
        self._watching = False
        self._next_watch_at: float = 0

    def start(self) -> None:
        """Load the configuration and start to watch for new revisions.

        Peers may send it first; the store is read after a short delay if
        they did not.
        """
        self._configuration.on_change(self._clear_passed_revision)
        self._timers.call_after(STORE_READ_DELAY_S, self._load_if_empty)
        self._timers.call_after(STORE_READ_DELAY_S, self._check_watch)

    def write_snapshot_if_due(self) -> None:
        """Write a snapshot to the store every ``snapshot_interval`` revisions.

        A starting host then need not read the whole history.
        """
        revision = self._configuration.revision
        if revision % self._parameters.snapshot_interval:
            return
        self._store.read(SNAPSHOT_KEY, self._replace_snapshot)

    def _clear_passed_revision(self) -> None:
        """Forget a bad value whose revision was received from a peer."""
        self._unreadable.clear(revision_key(self._configuration.revision))

    def _load_if_empty(self) -> None:
        if not self._configuration.loaded:
            self._store.read(SNAPSHOT_KEY, self._on_snapshot)

    def _on_snapshot(self, outcome: StoreOutcome) -> None:
        match outcome:
            case StoreFound(content=content, version=version):
                self._adopt_snapshot(content, version)
            case StoreMissing():
                self._configuration.start_empty()
            case _:
                self._timers.call_after(
                    self._retry_delay_s(), self._load_if_empty
                )

    def _adopt_snapshot(self, content: bytes, version: int) -> None:
        try:
            self._configuration.adopt_document(decode_snapshot(content))
        except (MalformedError, ChangeRefusedError) as error:
            self._skip_snapshot(version, str(error))
        except Exception as error:
            self._outbox.log_failure('configuration.snapshot', error)
            self._skip_snapshot(version, repr(error))
        else:
            self._unreadable.clear(SNAPSHOT_KEY)

    def _skip_snapshot(self, version: int, why: str) -> None:
        """Start from the first revision, since the store keeps all of them."""
        self._unreadable.report(SNAPSHOT_KEY, version, why)
        self._configuration.start_empty()

    def _check_watch(self) -> None:
        """Start a watch if none is in progress or about to start."""
        self._timers.call_after(STORE_RETRY_S, self._check_watch)
        if self._timers.now >= self._next_watch_at:
            self._watch_next_revision()

    def _watch_next_revision(self) -> None:
        configuration = self._configuration
        if self._watching or not configuration.loaded:
            return
        if not configuration.is_reader:
            return
        revision = configuration.revision + 1
        key = revision_key(revision)
        self._store.watch(
            key,
            self._unreadable.version(key),
            lambda outcome: self._on_watched(revision, outcome),
        )
        self._watching = True

    def _on_watched(self, revision: int, outcome: StoreOutcome) -> None:
        self._watching = False
        match outcome:
            case StoreFound(content=content, version=version):
                known_version = self._unreadable.version(revision_key(revision))
                if version <= known_version:
                    # The store did not wait for another version.
                    self._watch_later()
                    return
                self._adopt_revision(revision, content, version)
                self._watch_next_revision()
            case StoreMissing():
                self._watch_next_revision()
            case _:
                self._watch_later()

    def _watch_later(self) -> None:
        delay_s = self._retry_delay_s()
        self._next_watch_at = self._timers.now + delay_s
        self._timers.call_after(delay_s, self._watch_next_revision)

    def _adopt_revision(
        self, revision: int, content: bytes, version: int
    ) -> None:
        key = revision_key(revision)
        try:
            self._apply_revision(revision, content)
        except (MalformedError, ChangeRefusedError) as error:
            self._unreadable.report(key, version, str(error))
        except Exception as error:
            # The watch must go on and must not read this version again.
            self._outbox.log_failure('configuration.apply', error)
            self._unreadable.report(key, version, repr(error))

    def _apply_revision(self, revision: int, content: bytes) -> None:
        record = decode_record(content, revision)
        if revision == self._configuration.revision + 1:
            self._configuration.apply_record(record)

    def _replace_snapshot(self, outcome: StoreOutcome) -> None:
        expected = 0
        match outcome:
            case StoreFound(content=content, version=version):
                if self._is_newer_snapshot(content, version):
                    return
                expected = version
            case StoreMissing():
                expected = 0
            case _:
                return
        self._store.write(
            SNAPSHOT_KEY,
            expected,
            encode_snapshot(self._configuration.index.document),
            self._on_snapshot_written,
        )

    def _is_newer_snapshot(self, content: bytes, version: int) -> bool:
        """Return whether a stored snapshot needs no replacement."""
        try:
            stored = decode_snapshot(content)
        except MalformedError as error:
            self._unreadable.report(SNAPSHOT_KEY, version, str(error))
            return False
        return stored.revision >= self._configuration.revision

    def _on_snapshot_written(self, outcome: StoreOutcome) -> None:
        written = isinstance(outcome, StoreWritten)
        if written:
            self._unreadable.clear(SNAPSHOT_KEY)
        self._outbox.log(
            'snapshot_written',
            step='configuration.snapshot',
            revision=self._configuration.revision,
            written=int(written),
        )

    def _retry_delay_s(self) -> float:
        return STORE_RETRY_S * (1 + self._random.random())
