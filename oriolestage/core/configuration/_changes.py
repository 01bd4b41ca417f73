"""Changes that operators make to the configuration document.

Documents are immutable: :func:`apply_change` returns the next document, or
raises :class:`~oriolestage.core.ChangeRefusedError` with a reason for the
operator. A change is applied as a whole or not at all.
"""

from collections.abc import Sequence

import msgspec

from oriolestage.core._errors import ChangeRefusedError
from oriolestage.core._field_types import Count
from oriolestage.core.configuration._configuration import (
    Configuration,
    DataCentre,
    Route,
    Service,
    Target,
    serving_targets,
)
from oriolestage.core.configuration._document_checks import check_document


class SetDataCentreAccepting(msgspec.Struct, frozen=True, tag='data_centre'):
    """Takes a data centre out of service or brings it back."""

    name: str
    accepting: bool
    #: True if the operator accepts services without a target.
    confirmed: bool = False


class SetServiceAccepting(msgspec.Struct, frozen=True, tag='service'):
    """Takes a service out of service or brings it back."""

    name: str
    accepting: bool
    confirmed: bool = False


class SetTargetAccepting(msgspec.Struct, frozen=True, tag='target'):
    """Takes a target out of service or brings it back."""

    name: str
    accepting: bool
    confirmed: bool = False


class SetTargetLimits(msgspec.Struct, frozen=True, tag='limits'):
    """Sets the slots and connections of a target."""

    name: str
    slots: int
    connections: int


class PutRoute(msgspec.Struct, frozen=True, tag='route'):
    """Adds a route or replaces the one of the same name."""

    route: Route


class RemoveRoute(msgspec.Struct, frozen=True, tag='remove_route'):
    """Removes a route."""

    name: str


class ReplaceDocument(msgspec.Struct, frozen=True, tag='document'):
    """Replaces the whole document."""

    document: Configuration


Change = (
    SetDataCentreAccepting
    | SetServiceAccepting
    | SetTargetAccepting
    | SetTargetLimits
    | PutRoute
    | RemoveRoute
    | ReplaceDocument
)


class RevisionRecord(msgspec.Struct, frozen=True):
    """One entry of the configuration history, which is the audit trail."""

    revision: Count
    change: Change
    #: Name of the operator who made the change.
    operator: str
    #: Identifies the command, so that a repeated one is recognised after a
    #: lost reply.
    command_id: str
    #: Wall-clock time in milliseconds since the epoch.
    at_ms: Count
    #: State before the change, as short text.
    before: str
    #: State after the change, as short text.
    after: str


def _find_entry(entries: Sequence, kind: str, name: str):
    for entry in entries:
        if entry.name == name:
            return entry
    raise ChangeRefusedError(f'no {kind} named {name!r}')


def _replace_by_name(entries: Sequence, changed) -> tuple:
    return tuple(
        changed if entry.name == changed.name else entry for entry in entries
    )


def _unserved_services(document: Configuration) -> frozenset[str]:
    served = {target.service for target in serving_targets(document)}
    return frozenset(
        service.name
        for service in document.services
        if service.name not in served
    )


def _require_confirmation(
    before: Configuration,
    after: Configuration,
    confirmed: bool,
) -> None:
    newly_unserved = _unserved_services(after) - _unserved_services(before)
    if not newly_unserved or confirmed:
        return
    served_count = len(after.services) - len(_unserved_services(after))
    raise ChangeRefusedError(
        f'this leaves {len(newly_unserved)} services without a target '
        f'({served_count} of {len(after.services)} would still be covered); '
        'add "confirm" to do it all the same',
    )


def _set_accepting(document: Configuration, change: Change) -> Configuration:
    match change:
        case SetDataCentreAccepting(name=name, accepting=accepting):
            centre = _find_entry(document.data_centres, 'data centre', name)
            changed = msgspec.structs.replace(centre, accepting=accepting)
            centres = _replace_by_name(document.data_centres, changed)
            return msgspec.structs.replace(document, data_centres=centres)
        case SetServiceAccepting(name=name, accepting=accepting):
            service = _find_entry(document.services, 'service', name)
            changed = msgspec.structs.replace(service, accepting=accepting)
            services = _replace_by_name(document.services, changed)
            return msgspec.structs.replace(document, services=services)
        case SetTargetAccepting(name=name, accepting=accepting):
            target = _find_entry(document.targets, 'target', name)
            changed = msgspec.structs.replace(target, accepting=accepting)
            targets = _replace_by_name(document.targets, changed)
            return msgspec.structs.replace(document, targets=targets)
    raise ChangeRefusedError(f'unknown change {change!r}')


def _with_route(document: Configuration, route: Route) -> Configuration:
    others = tuple(
        entry for entry in document.routes if entry.name != route.name
    )
    return msgspec.structs.replace(document, routes=(*others, route))


def _without_route(document: Configuration, name: str) -> Configuration:
    _find_entry(document.routes, 'route', name)
    others = tuple(entry for entry in document.routes if entry.name != name)
    return msgspec.structs.replace(document, routes=others)


def _with_limits(
    document: Configuration,
    change: SetTargetLimits,
) -> Configuration:
    target = _find_entry(document.targets, 'target', change.name)
    changed = msgspec.structs.replace(
        target,
        slots=change.slots,
        connections=change.connections,
    )
    targets = _replace_by_name(document.targets, changed)
    return msgspec.structs.replace(document, targets=targets)


def apply_change(document: Configuration, change: Change) -> Configuration:
    """Return the document after ``change``, with the next revision number.

    Raises :class:`ChangeRefusedError` if the change is invalid, or if it
    leaves services without a target and is not confirmed.
    """
    match change:
        case PutRoute(route=route):
            changed = _with_route(document, route)
        case RemoveRoute(name=name):
            changed = _without_route(document, name)
        case SetTargetLimits():
            changed = _with_limits(document, change)
        case ReplaceDocument(document=new_document):
            changed = new_document
        case _:
            changed = _set_accepting(document, change)
            _require_confirmation(document, changed, change.confirmed)
    check_document(changed)
    return changed.at_revision(document.revision + 1)


def describe_change(
    document: Configuration,
    changed: Configuration,
    change: Change,
) -> tuple[str, str]:
    """Return short texts of what ``change`` affects, before and after it."""
    return _describe(document, change), _describe(changed, change)


def _describe(document: Configuration, change: Change) -> str:
    match change:
        case SetDataCentreAccepting(name=name):
            return _describe_accepting(
                _find_entry(document.data_centres, '', name)
            )
        case SetServiceAccepting(name=name):
            return _describe_accepting(_find_entry(document.services, '', name))
        case SetTargetAccepting(name=name):
            return _describe_accepting(_find_entry(document.targets, '', name))
        case SetTargetLimits(name=name):
            target = _find_entry(document.targets, '', name)
            return f'slots={target.slots} connections={target.connections}'
        case PutRoute(route=Route(name=name)) | RemoveRoute(name=name):
            for route in document.routes:
                if route.name == name:
                    return msgspec.json.encode(route).decode()
            return 'absent'
    return (
        f'services={len(document.services)} targets={len(document.targets)} '
        f'routes={len(document.routes)}'
    )


def _describe_accepting(entry: DataCentre | Service | Target) -> str:
    return 'in' if entry.accepting else 'out'
