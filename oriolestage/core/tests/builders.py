"""Builders of configurations and shard answers for tests."""

from oriolestage.core import (
    Answered,
    Configuration,
    DataCentre,
    KeyRange,
    Route,
    RouteKind,
    Service,
    Target,
)

#: Names of the routes in :func:`small_configuration`.
QUERY_ROUTE = 'search'
COMMAND_ROUTE = 'book'


def answered(
    start: int,
    end: int,
    *,
    version: int = 1,
    partition_revision: int = 1,
) -> Answered:
    """Build a shard answer that covers the keys from start up to end."""
    return Answered(version, KeyRange(start, end), partition_revision, b'[]')


def small_configuration(
    *,
    services: int = 2,
    replicas: int = 2,
    slots: int = 2,
) -> Configuration:
    """Build a document with two data centres and two groups.

    The group ``search`` has ``services`` shards and takes queries; the group
    ``book`` has one and takes commands. The replicas of a service alternate
    between the data centres.
    """
    centres = (DataCentre('ege-a', 'ege'), DataCentre('marmara-a', 'marmara'))
    all_services = [
        *(Service(f'search-{number}', 'search') for number in range(services)),
        Service('book-0', 'book'),
    ]
    targets = [
        Target(
            name=f'{service.name}-{replica}',
            service=service.name,
            data_centre=centres[replica % len(centres)].name,
            address=f'127.0.0.{service_index + 1}:{7200 + replica}',
            slots=slots,
            connections=25,
        )
        for service_index, service in enumerate(all_services)
        for replica in range(replicas)
    ]
    return Configuration(
        data_centres=centres,
        services=tuple(all_services),
        targets=tuple(targets),
        routes=(
            Route(QUERY_ROUTE, 'search'),
            Route(COMMAND_ROUTE, 'book', RouteKind.COMMAND),
        ),
    )
