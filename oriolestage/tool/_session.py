"""Executes commands of operators and prints their results."""

import random
import time
import uuid
from collections.abc import Callable

import msgspec

from oriolestage.core import (
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ChangeRefusedError,
    ChangeUnknown,
    InForceReport,
    ReplaceDocument,
    make_key,
)
from oriolestage.tool._client import DaemonClient
from oriolestage.tool._commands import (
    ApplyFile,
    CheckFile,
    Command,
    Compare,
    Help,
    MakeChange,
    Show,
    Watch,
)
from oriolestage.tool._documents import dump_document, load_document
from oriolestage.tool._errors import (
    AnswerLostError,
    CommandSyntaxError,
    DaemonUnreachableError,
)
from oriolestage.tool._exit_codes import ExitCode
from oriolestage.tool._language import HELP_TEXT, parse_command
from oriolestage.tool._tables import history_row, render_table, select_rows
from oriolestage.views import ChangeRequest, ErrorView, NodeView

#: How long to wait for a change to be in force on all hosts, in
#: milliseconds.
IN_FORCE_WAIT_MS = 15_000
MS_PER_S = 1000
#: Random bits in a command id.
KEY_RANDOM_BITS = 74


class Session:
    """Runs commands of one operator, one after the other."""

    def __init__(
        self,
        client: DaemonClient,
        operator: str,
        *,
        as_json: bool,
        write: Callable[[str], None],
        write_error: Callable[[str], None],
        command_id: str = '',
    ) -> None:
        """Create a session.

        ``operator`` is recorded with each change; ``write`` and
        ``write_error`` print a text and a line break. ``command_id`` is that
        of a change that is sent again; without it, each change gets a new one.
        """
        self._client = client
        self._operator = operator
        self._as_json = as_json
        self._write = write
        self._write_error = write_error
        self._command_id = command_id

    async def run(self, text: str) -> ExitCode:
        """Parse and run one command; return its exit code."""
        try:
            command = parse_command(text)
        except CommandSyntaxError as error:
            self._write_error(str(error))
            return ExitCode.USAGE
        try:
            return await self._run(command)
        except ChangeRefusedError as error:
            self._write_error(f'refused: {error}')
            return ExitCode.REFUSED
        except DaemonUnreachableError as error:
            self._write_error(f'no daemon answered: {error}')
            return ExitCode.UNREACHABLE

    async def _run(self, command: Command) -> ExitCode:
        match command:
            case Show():
                return await self._show(command)
            case MakeChange(change=change):
                return await self._change(self._build_request(change))
            case Watch():
                return await self._watch(command)
            case Compare():
                return await self._compare(command)
            case CheckFile(path=path):
                document = load_document(path)
                self._write(
                    f'{path}: good, {len(document.targets)} targets, '
                    f'{len(document.routes)} routes',
                )
            case ApplyFile(path=path):
                change = ReplaceDocument(load_document(path))
                return await self._change(self._build_request(change))
            case Help():
                self._write(HELP_TEXT)
        return ExitCode.DONE

    def _build_request(self, change) -> ChangeRequest:
        if self._command_id:
            return ChangeRequest(change, self._operator, self._command_id)
        # The time in the id tells hosts how much history to search for it.
        now_ms = int(time.time() * MS_PER_S)
        key = make_key(now_ms, random.getrandbits(KEY_RANDOM_BITS))
        return ChangeRequest(change, self._operator, uuid.UUID(key).hex)

    async def _show(self, show: Show) -> ExitCode:
        view = await self._client.view()
        self._warn_of_unreadable_values(view)
        if show.subject == 'configuration':
            if self._as_json:
                self._write(msgspec.json.encode(view.document).decode())
            else:
                self._write(dump_document(view.document))
            return ExitCode.DONE
        rows = select_rows(show, view)
        if self._as_json:
            self._write(msgspec.json.encode(rows).decode())
        else:
            self._write(render_table(rows))
        return ExitCode.DONE

    def _warn_of_unreadable_values(self, view: NodeView) -> None:
        for unreadable in view.unreadable:
            self._write_error(
                f'warning: {view.host} cannot use the value of the store key '
                f'{unreadable.key} (version {unreadable.version}) since '
                f'{unreadable.age_s:.0f} s: {unreadable.why}; the last good '
                'value stays in force',
            )

    async def _compare(self, compare: Compare) -> ExitCode:
        view = await self._client.view()
        revisions = range(compare.older + 1, compare.newer + 1)
        rows = [
            history_row(record)
            for record in view.history
            if record.revision in revisions
        ]
        if len(rows) < len(revisions):
            self._write_error(
                f'refused: the daemon holds {len(rows)} of the '
                f'{len(revisions)} revisions in between',
            )
            return ExitCode.REFUSED
        if self._as_json:
            self._write(msgspec.json.encode(rows).decode())
        else:
            self._write(render_table(rows))
        return ExitCode.DONE

    async def _change(self, request: ChangeRequest) -> ExitCode:
        try:
            outcome = await self._client.change(request)
        except AnswerLostError as error:
            self._write_error(
                f'unknown: command {request.command_id}: {error}; to find out, '
                f'send it again with --command-id {request.command_id}',
            )
            return ExitCode.UNKNOWN
        if self._as_json:
            self._write(msgspec.json.encode(outcome).decode())
        match outcome:
            case ChangeAccepted(revision=revision):
                return await self._wait_until_in_force(
                    revision, IN_FORCE_WAIT_MS
                )
            case ChangeConflict():
                self._write_error(
                    f'conflict: revision is now {outcome.revision}, by '
                    f'{outcome.operator}: {outcome.after}; nothing was '
                    'changed by this command',
                )
                return ExitCode.CONFLICT
            case ChangeRefused(why=why) | ErrorView(why=why):
                self._write_error(f'refused: {why}')
                return ExitCode.REFUSED
            case ChangeUnknown():
                self._write_error(
                    f'unknown: command {outcome.command_id}: {outcome.why}',
                )
        return ExitCode.UNKNOWN

    async def _watch(self, watch: Watch) -> ExitCode:
        revision = watch.revision
        if not revision:
            revision = (await self._client.view()).revision
        return await self._wait_until_in_force(revision, watch.wait_ms)

    async def _wait_until_in_force(
        self, revision: int, wait_ms: int
    ) -> ExitCode:
        report = await self._client.in_force(revision, wait_ms)
        if self._as_json:
            self._write(msgspec.json.encode(report).decode())
        else:
            self._write(_format_report(report))
        if report.complete:
            return ExitCode.DONE
        return ExitCode.NOT_IN_FORCE


def _format_report(report: InForceReport) -> str:
    groups = (report.in_force, report.behind, report.not_heard_from)
    total = sum(len(group) for group in groups)
    parts = [
        f'revision {report.revision} is in force on '
        f'{len(report.in_force)} of {total} hosts',
    ]
    if report.behind:
        parts.append(f'behind: {", ".join(report.behind)}')
    if report.not_heard_from:
        parts.append(f'not heard from: {", ".join(report.not_heard_from)}')
    return '; '.join(parts)
