"""Processing of the operators' commands that change the configuration.

A change is one write of the store key of the next revision, which must not
exist yet. If the reply to the write is lost, the key is read back to find out
whether the write took effect.
"""

from collections.abc import Callable

from oriolestage.core._charts import StateChart, load_chart
from oriolestage.core._errors import ChangeRefusedError, MalformedError
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import (
    StoreFound,
    StoreMismatch,
    StoreMissing,
    StoreOutcome,
    StorePort,
    StoreUnreachable,
    StoreWritten,
)
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._change_outcomes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRefused,
    ChangeUnknown,
    OperatorCommand,
)
from oriolestage.core.configuration._changes import (
    RevisionRecord,
    apply_change,
    describe_change,
)
from oriolestage.core.configuration._command_history import (
    CommandHistory,
    CommandRecorded,
    HistoryOutcome,
    HistoryUnknown,
)
from oriolestage.core.configuration._configuration_store import (
    ConfigurationStore,
)
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.configuration._document_checks import (
    check_new_addresses,
)
from oriolestage.core.configuration._freshness import has_majority
from oriolestage.core.configuration._stored_revisions import (
    decode_record,
    encode_record,
    revision_key,
)
from oriolestage.core.membership._membership import Membership

#: Time limit for finding out whether a write took effect, in seconds.
OUTCOME_CHECK_TIMEOUT_S = 4.0
#: Delay before the key of a write without a reply is read, in seconds.
OUTCOME_CHECK_PERIOD_S = 0.25


class _Submission:
    """A command whose record is being written to the store."""

    def __init__(
        self,
        record: RevisionRecord,
        callback: Callable[[ChangeOutcome], None],
        give_up_at: float,
    ) -> None:
        self.record = record
        self.callback = callback
        self.give_up_at = give_up_at
        self.chart = StateChart(load_chart('configuration_change'))


class OperatorCommands:
    """Writes commands to the store as revisions, by compare-and-swap."""

    def __init__(
        self,
        parameters: Parameters,
        timers: Timers,
        store: StorePort,
        membership: Membership,
        configuration: ConfigurationTracker,
        configuration_store: ConfigurationStore,
    ) -> None:
        """Start without commands in progress."""
        self._timers = timers
        self._store = store
        self._membership = membership
        self._configuration = configuration
        self._configuration_store = configuration_store
        self._history = CommandHistory(parameters, store, configuration)
        self._unreadable = store.unreadable

    def submit(
        self,
        command: OperatorCommand,
        callback: Callable[[ChangeOutcome], None],
    ) -> None:
        """Try to make a change; call ``callback`` once with the outcome.

        A command that is already in the history is accepted at once.
        """
        self._history.search(
            command.command_id,
            command.at_ms,
            lambda outcome: self._on_history(command, callback, outcome),
        )

    def _on_history(
        self,
        command: OperatorCommand,
        callback: Callable[[ChangeOutcome], None],
        outcome: HistoryOutcome,
    ) -> None:
        match outcome:
            case CommandRecorded(revision=revision):
                callback(ChangeAccepted(revision))
            case HistoryUnknown(why=why):
                text = (
                    'it is not known whether this command took effect '
                    f'before, and it was not applied again: {why}'
                )
                callback(ChangeRefused(text))
            case _:
                self._submit_new(command, callback)

    def _submit_new(
        self,
        command: OperatorCommand,
        callback: Callable[[ChangeOutcome], None],
    ) -> None:
        try:
            record = self._build_record(command)
        except ChangeRefusedError as error:
            callback(ChangeRefused(str(error)))
            return
        give_up_at = self._timers.now + OUTCOME_CHECK_TIMEOUT_S
        self._write(_Submission(record, callback, give_up_at))

    def _build_record(self, command: OperatorCommand) -> RevisionRecord:
        if not self._configuration.loaded:
            raise ChangeRefusedError(
                'this host has not read the configuration yet',
            )
        alive = self._membership.alive_count
        fleet = self._membership.fleet_size
        if not has_majority(alive, fleet):
            raise ChangeRefusedError(
                f'this host sees {alive} of {fleet} hosts, which is no '
                'majority; a change could not be put in force everywhere',
            )
        document = self._configuration.index.document
        changed = apply_change(document, command.change)
        check_new_addresses(document, changed)
        before, after = describe_change(document, changed, command.change)
        return RevisionRecord(
            revision=changed.revision,
            change=command.change,
            operator=command.operator,
            command_id=command.command_id,
            at_ms=command.at_ms,
            before=before,
            after=after,
        )

    def _write(self, submission: _Submission) -> None:
        submission.chart.fire('write')
        self._store.write(
            revision_key(submission.record.revision),
            0,
            encode_record(submission.record),
            lambda outcome: self._on_written(submission, outcome),
        )

    def _on_written(
        self,
        submission: _Submission,
        outcome: StoreOutcome,
    ) -> None:
        match outcome:
            case StoreWritten():
                self._accept(submission)
            case StoreMismatch():
                submission.chart.fire('mismatch')
                self._read_back(submission)
            case StoreUnreachable(sent=False):
                self._on_not_sent(submission)
            case _:
                submission.chart.fire('no_reply')
                self._check_outcome_later(submission)

    def _on_not_sent(self, submission: _Submission) -> None:
        if submission.chart.was_in('settling'):
            self._check_outcome_later(submission)
            return
        submission.chart.fire('unreachable')
        why = 'the store cannot be reached; nothing was changed'
        submission.callback(ChangeRefused(why))

    def _accept(self, submission: _Submission) -> None:
        submission.chart.fire('written')
        self._configuration.adopt_records([submission.record])
        self._configuration_store.write_snapshot_if_due()
        submission.callback(ChangeAccepted(submission.record.revision))

    def _check_outcome_later(self, submission: _Submission) -> None:
        if self._timers.now >= submission.give_up_at:
            submission.chart.fire('give_up')
            why = (
                'the write was sent and no reply came; the history will show '
                'whether it took effect, or send the same command id again'
            )
            submission.callback(
                ChangeUnknown(submission.record.command_id, why),
            )
            return
        self._timers.call_after(
            OUTCOME_CHECK_PERIOD_S,
            lambda: self._read_back(submission),
        )

    def _read_back(self, submission: _Submission) -> None:
        self._store.read(
            revision_key(submission.record.revision),
            lambda outcome: self._on_read_back(submission, outcome),
        )

    def _on_read_back(
        self,
        submission: _Submission,
        outcome: StoreOutcome,
    ) -> None:
        match outcome:
            case StoreFound():
                self._on_found(submission, outcome)
            case StoreMissing():
                # The first write may still reach the store. Writing again is
                # safe, since only one of the writes can create the key.
                self._write(submission)
            case _:
                self._check_outcome_later(submission)

    def _on_found(self, submission: _Submission, found: StoreFound) -> None:
        try:
            record = decode_record(found.content, submission.record.revision)
        except MalformedError as error:
            self._on_unreadable(submission, found.version, str(error))
            return
        if record.command_id == submission.record.command_id:
            self._accept(submission)
            return
        submission.chart.fire('other_found')
        self._adopt_other(record, found.version)
        submission.callback(
            ChangeConflict(record.revision, record.operator, record.after),
        )

    def _adopt_other(self, record: RevisionRecord, version: int) -> None:
        try:
            self._configuration.adopt_records([record])
        except ChangeRefusedError as error:
            key = revision_key(record.revision)
            self._unreadable.report(key, version, str(error))

    def _on_unreadable(
        self, submission: _Submission, version: int, why: str
    ) -> None:
        """End a command whose revision key holds a malformed value.

        A write without a reply may have been accepted and then overwritten.
        """
        key = revision_key(submission.record.revision)
        self._unreadable.report(key, version, why)
        text = f'the store key {key} holds a value that cannot be read: {why}'
        if submission.chart.was_in('settling'):
            submission.chart.fire('give_up')
            submission.callback(
                ChangeUnknown(submission.record.command_id, text),
            )
            return
        submission.chart.fire('unreadable')
        submission.callback(ChangeRefused(f'{text}; nothing was changed'))
