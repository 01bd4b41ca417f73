"""Finds out whether an operator's command took effect before.

Recent records are in memory; older ones are read from the store, back to the
time at which the command id was made.
"""

import dataclasses
from collections.abc import Callable

from oriolestage.core._errors import MalformedError
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import (
    StoreFound,
    StoreMissing,
    StoreOutcome,
    StorePort,
)
from oriolestage.core.configuration._changes import RevisionRecord
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.configuration._stored_revisions import (
    decode_record,
    revision_key,
)
from oriolestage.core.keys._idempotency_keys import uuid_created_ms

#: Latest revisions that are searched for a command id with a time.
MAX_SEARCHED_REVISIONS = 1000
#: Latest revisions that are searched for a command id without a time.
MAX_SEARCHED_WITHOUT_TIME = 256


@dataclasses.dataclass(frozen=True, slots=True)
class CommandRecorded:
    """The command took effect as a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommandNotRecorded:
    """The command did not take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryUnknown:
    """It cannot be found out whether the command took effect."""

    why: str


HistoryOutcome = CommandRecorded | CommandNotRecorded | HistoryUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class _Search:
    command_id: str
    callback: Callable[[HistoryOutcome], None]
    #: Records made before this time cannot be the command's, in milliseconds
    #: since the epoch; 0 if the command id has no time.
    oldest_ms: int
    #: First revision that is not searched any more.
    end_revision: int


class CommandHistory:
    """Searches the history for command ids, the newest records first."""

    def __init__(
        self,
        parameters: Parameters,
        store: StorePort,
        configuration: ConfigurationTracker,
    ) -> None:
        """Search the records in memory, and then those in ``store``."""
        self._parameters = parameters
        self._store = store
        self._configuration = configuration

    def search(
        self,
        command_id: str,
        now_ms: int,
        callback: Callable[[HistoryOutcome], None],
    ) -> None:
        """Search for a command; ``callback`` is called once.

        ``now_ms`` is the time in milliseconds since the epoch. A command id
        that is a UUID of version 7 has a time.
        """
        skew_ms = int(1000 * self._parameters.clock_skew_s)
        made_ms = uuid_created_ms(command_id) or 0
        revision = self._configuration.revision
        limit = MAX_SEARCHED_REVISIONS
        if not 0 < made_ms <= now_ms + skew_ms:
            made_ms = 0
            limit = MAX_SEARCHED_WITHOUT_TIME
        search = _Search(
            command_id,
            callback,
            # The clocks of the operator and of the hosts may differ.
            oldest_ms=max(0, made_ms - 2 * skew_ms),
            end_revision=max(0, revision - limit),
        )
        self._search_back(search, revision)

    def _search_back(self, search: _Search, newest: int) -> None:
        """Search from a revision on; read the first one not in memory."""
        for revision in range(newest, search.end_revision, -1):
            record = self._configuration.record(revision)
            if record is None:
                self._read(search, revision)
                return
            if self._ends_search(search, record):
                return
        if search.end_revision and search.oldest_ms:
            why = f'the latest {MAX_SEARCHED_REVISIONS} revisions are newer'
            search.callback(HistoryUnknown(why))
            return
        self._end_not_recorded(search)

    def _ends_search(self, search: _Search, record: RevisionRecord) -> bool:
        """Report the outcome if a record decides it."""
        if record.command_id == search.command_id:
            search.callback(CommandRecorded(record.revision))
            return True
        if record.at_ms < search.oldest_ms:
            self._end_not_recorded(search)
            return True
        return False

    def _end_not_recorded(self, search: _Search) -> None:
        """Report that no record was found, unless one arrived meanwhile."""
        for record in self._configuration.records:
            if record.command_id == search.command_id:
                search.callback(CommandRecorded(record.revision))
                return
        search.callback(CommandNotRecorded())

    def _read(self, search: _Search, revision: int) -> None:
        self._store.read(
            revision_key(revision),
            lambda outcome: self._on_read(search, revision, outcome),
        )

    def _on_read(
        self, search: _Search, revision: int, outcome: StoreOutcome
    ) -> None:
        match outcome:
            case StoreFound(content=content, version=version):
                self._on_content(search, revision, content, version)
            case StoreMissing():
                self._end_not_recorded(search)
            case _:
                search.callback(
                    HistoryUnknown('the store cannot be reached'),
                )

    def _on_content(
        self, search: _Search, revision: int, content: bytes, version: int
    ) -> None:
        try:
            record = decode_record(content, revision)
        except MalformedError as error:
            key = revision_key(revision)
            self._store.unreadable.report(key, version, str(error))
            search.callback(HistoryUnknown(f'{key} cannot be read: {error}'))
            return
        if not self._ends_search(search, record):
            self._search_back(search, revision - 1)
