"""Builds the rows that ``show`` and ``compare`` print, and renders tables."""

from collections.abc import Sequence
from datetime import UTC, datetime

import msgspec

from oriolestage.core import RevisionRecord
from oriolestage.tool._commands import Condition, Show
from oriolestage.views import NodeView

#: Text of each column of one row, by column name.
Row = dict[str, str]


def select_rows(show: Show, view: NodeView) -> list[Row]:
    """Return the rows that a ``show`` command selects from a view."""
    rows = _all_rows(show.subject, view)
    selected = [row for row in rows if _matches(row, show.conditions)]
    if show.last:
        return selected[-show.last :]
    return selected


def render_table(rows: Sequence[Row]) -> str:
    """Return rows as lines of aligned columns below a heading."""
    if not rows:
        return 'nothing to show'
    columns = list(rows[0])
    widths = {
        column: max(len(column), *(len(row[column]) for row in rows))
        for column in columns
    }
    lines = ['  '.join(column.ljust(widths[column]) for column in columns)]
    for row in rows:
        cells = [row[column].ljust(widths[column]) for column in columns]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines)


def history_row(record: RevisionRecord) -> Row:
    """Return the row of one entry of the audit trail."""
    change = msgspec.to_builtins(record.change)
    return {
        'revision': str(record.revision),
        'when': _format_time(record.at_ms),
        'operator': record.operator,
        'command': record.command_id,
        'change': f'{change["type"]} {change.get("name", "")}'.strip(),
        'before': record.before,
        'after': record.after,
    }


def _format_time(at_ms: int) -> str:
    """Return a time in UTC; one after the year 9999 stays a number."""
    try:
        when = datetime.fromtimestamp(at_ms / 1000, tz=UTC)
    except (ValueError, OverflowError, OSError):
        return f'{at_ms} ms'
    return when.isoformat(timespec='seconds')


def _all_rows(subject: str, view: NodeView) -> list[Row]:
    match subject:
        case 'targets':
            return [_struct_to_row(target) for target in view.targets]
        case 'hosts':
            return [_struct_to_row(host) for host in view.hosts]
        case 'datacentres':
            return [
                _struct_to_row(entry) for entry in view.document.data_centres
            ]
        case 'services':
            return [
                _struct_to_row(service) for service in view.document.services
            ]
        case 'routes':
            return [_struct_to_row(route) for route in view.document.routes]
        case 'history':
            return [history_row(record) for record in view.history]
        case 'requests':
            return [_request_row(view)]
    return [{'revision': str(view.revision)}]


def _request_row(view: NodeView) -> Row:
    in_flight = sum(target.in_flight for target in view.targets)
    queued = sum(target.queued for target in view.targets)
    return {
        'host': view.host,
        'state': view.state,
        'ready': _format_value(view.ready),
        'queries in flight': str(view.queries_in_flight),
        'target calls in flight': str(in_flight),
        'queued': str(queued),
        'revision': str(view.revision),
    }


def _struct_to_row(entry: msgspec.Struct) -> Row:
    fields = msgspec.to_builtins(entry)
    return {name: _format_value(content) for name, content in fields.items()}


def _format_value(content: object) -> str:
    match content:
        case bool():
            return 'yes' if content else 'no'
        case list() | tuple():
            return ','.join(str(part) for part in content)
    return str(content)


def _matches(row: Row, conditions: Sequence[Condition]) -> bool:
    return all(
        row.get(condition.field) == condition.expected
        for condition in conditions
    )
