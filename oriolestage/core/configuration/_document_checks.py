"""Validation of configuration documents."""

from collections.abc import Sequence

from oriolestage.core._errors import ChangeRefusedError
from oriolestage.core._field_types import is_address
from oriolestage.core.configuration._configuration import (
    Configuration,
    Route,
    Target,
)

#: Upper limit of the timeouts of a route, in milliseconds.
MAXIMUM_TIMEOUT_MS = 60_000
#: Upper limit of the slots and connections of a target.
MAXIMUM_TARGET_CAPACITY = 10_000


def _check_names(kind: str, entries: Sequence) -> frozenset[str]:
    names: set[str] = set()
    for entry in entries:
        if not entry.name:
            raise ChangeRefusedError(f'a {kind} without a name')
        if entry.name in names:
            raise ChangeRefusedError(f'two {kind}s named {entry.name!r}')
        names.add(entry.name)
    return frozenset(names)


def _check_target(
    target: Target,
    services: frozenset[str],
    centres: frozenset[str],
) -> None:
    if target.service not in services:
        raise ChangeRefusedError(
            f'target {target.name!r} names service {target.service!r}, '
            'which does not exist',
        )
    if target.data_centre not in centres:
        raise ChangeRefusedError(
            f'target {target.name!r} names data centre '
            f'{target.data_centre!r}, which does not exist',
        )
    if not 1 <= target.slots <= MAXIMUM_TARGET_CAPACITY:
        raise ChangeRefusedError(
            f'target {target.name!r}: slots must be from 1 to '
            f'{MAXIMUM_TARGET_CAPACITY}, not {target.slots}',
        )
    if not target.slots <= target.connections <= MAXIMUM_TARGET_CAPACITY:
        raise ChangeRefusedError(
            f'target {target.name!r}: connections must be from its slots '
            f'({target.slots}) to {MAXIMUM_TARGET_CAPACITY}, '
            f'not {target.connections}',
        )


def _check_route(route: Route, groups: frozenset[str]) -> None:
    if route.group not in groups:
        raise ChangeRefusedError(
            f'route {route.name!r} leads to group {route.group!r}, '
            'which has no service',
        )
    if not 1 <= route.timeout_ms <= MAXIMUM_TIMEOUT_MS:
        raise ChangeRefusedError(
            f'route {route.name!r}: timeout must be from 1 to '
            f'{MAXIMUM_TIMEOUT_MS} ms, not {route.timeout_ms}',
        )
    if not 1 <= route.answer_by_ms <= MAXIMUM_TIMEOUT_MS:
        raise ChangeRefusedError(
            f'route {route.name!r}: answer_by must be from 1 to '
            f'{MAXIMUM_TIMEOUT_MS} ms, not {route.answer_by_ms}',
        )


def check_new_addresses(before: Configuration, after: Configuration) -> None:
    """Raise :class:`ChangeRefusedError` for a bad address of a new target.

    Targets that ``before`` holds unchanged are not checked, so that documents
    of earlier versions, which had no such check, can be changed.
    """
    known = {target.name: target.address for target in before.targets}
    for target in after.targets:
        if known.get(target.name) == target.address:
            continue
        if not is_address(target.address):
            raise ChangeRefusedError(
                f'target {target.name!r}: {target.address!r} is not an '
                'address such as 10.0.0.1:8080',
            )


def check_document(document: Configuration) -> None:
    """Raise :class:`ChangeRefusedError` unless the document is consistent.

    Names must be present and unique, references must exist, and limits must
    be in range.
    """
    centres = _check_names('data centre', document.data_centres)
    services = _check_names('service', document.services)
    _check_names('target', document.targets)
    _check_names('route', document.routes)
    groups = frozenset(service.group for service in document.services)
    for target in document.targets:
        _check_target(target, services, centres)
    for route in document.routes:
        _check_route(route, groups)
