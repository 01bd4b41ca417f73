"""Builders of test data."""

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

#: Routes of every configuration that is built here.
QUERY_ROUTE = 'search'
COMMAND_ROUTE = 'book'


def answered(
    start: int,
    end: int,
    *,
    version: int = 1,
    partition_revision: int = 1,
) -> Answered:
    """Build the answer of a shard that covers a range."""
    return Answered(version, KeyRange(start, end), partition_revision, b'[]')


def small_configuration(
    *,
    services: int = 2,
    replicas: int = 2,
    slots: int = 2,
) -> Configuration:
    """Build two data centres, a group for queries and one for commands."""
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
            address=f'127.0.0.{place + 1}:{7200 + replica}',
            slots=slots,
            connections=25,
        )
        for place, service in enumerate(all_services)
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
